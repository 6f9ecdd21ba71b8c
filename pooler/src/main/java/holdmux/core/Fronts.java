package holdmux.core;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** All fronts of a process as one. */
public final class Fronts implements Front {
    private final List<Front> all;

    private Fronts(List<Front> all) {
        this.all = List.copyOf(all);
    }

    /** A front and those of the parts that have one. */
    public static Fronts of(Front first, List<Part> parts, Services services) throws IOException {
        List<Front> all = new ArrayList<>(List.of(first));
        for (Part part : parts) {
            Front front = part.front(services);
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
    public void sendAway(boolean yes) {
        all.forEach(front -> front.sendAway(yes));
    }

    @Override
    public void endAfter(long afterNs) {
        all.forEach(front -> front.endAfter(afterNs));
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
