package holdmux.core;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Combines all fronts of a process into one. */
public final class Fronts implements Front {
    private final List<Front> all;

    private Fronts(List<Front> all) {
        this.all = List.copyOf(all);
    }

    /** Combines a front with those of the extensions that have one. */
    public static Fronts of(Front first, List<Extension> extensions, Services services) throws IOException {
        List<Front> all = new ArrayList<>(List.of(first));
        for (Extension extension : extensions) {
            Front front = extension.front(services);
            if (front != null) {
                all.add(front);
            }
        }
        return new Fronts(all);
    }

    @Override
    public void listen() throws IOException {
        for (Front front : all) {
            front.listen();
        }
    }

    @Override
    public boolean isServing() {
        return all.stream().allMatch(Front::isServing);
    }

    @Override
    public void setEvacuating(boolean evacuating) {
        all.forEach(front -> front.setEvacuating(evacuating));
    }

    @Override
    public void announceShutdown(long delayNs) {
        all.forEach(front -> front.announceShutdown(delayNs));
    }

    @Override
    public void handOver() {
        all.forEach(Front::handOver);
    }

    @Override
    public void stopAccepting() throws InterruptedException {
        for (Front front : all) {
            front.stopAccepting();
        }
    }

    @Override
    public void closeWhenIdle() {
        all.forEach(Front::closeWhenIdle);
    }

    @Override
    public int openClients() {
        return all.stream().mapToInt(Front::openClients).sum();
    }
}
