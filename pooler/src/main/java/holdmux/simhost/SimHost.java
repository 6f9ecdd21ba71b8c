package holdmux.simhost;

import holdmux.config.ConfigException;
import holdmux.config.SettingsReader;
import holdmux.decision.ReadWriteSplitter;
import holdmux.decision.SplitterApi.Event;
import holdmux.decision.SplitterApi.Settings;
import java.io.BufferedInputStream;
import java.io.FileInputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Hosts the instances of the decision module on the simulator's wire. */
public final class SimHost implements WireReader.Sink {
    /** One front: its module and what came in for it in this batch. */
    private static final class Front {
        final ReadWriteSplitter splitter;
        final long zeroNs;
        final List<Event> events = new ArrayList<>();

        Front(Settings settings, long seed) {
            splitter = new ReadWriteSplitter(settings, seed);
            zeroNs = settings.zeroNs();
        }
    }

    private final Map<Integer, Front> fronts = new HashMap<>();
    private final List<Integer> touched = new ArrayList<>();

    /** Plays batches from standard input until it ends; the exit status. */
    public static int run() {
        InputStream in = new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16);
        return run(in, new FileOutputStream(FileDescriptor.out), System.err);
    }

    static int run(InputStream in, OutputStream out, java.io.PrintStream err) {
        try {
            new SimHost().play(in, out);
            return 0;
        } catch (IOException | WireException | ConfigException e) {
            err.println("holdmux: " + e.getMessage());
            return 1;
        }
    }

    private void play(InputStream in, OutputStream out) throws IOException {
        WireReader reader = new WireReader(in);
        WireWriter writer = new WireWriter();
        while (reader.next()) {
            reader.decode(this);
            writer.begin();
            for (int instance : touched) {
                Front front = fronts.get(instance);
                if (front != null && !front.events.isEmpty()) {
                    step(instance, front, reader.clock(), writer);
                }
            }
            touched.clear();
            writer.flushTo(out);
        }
    }

    private static void step(int instance, Front front, long now, WireWriter writer) {
        try {
            front.splitter.handle(now, front.events, action -> writer.write(instance, action));
        } catch (RuntimeException e) {
            writer.crash(instance, e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "?"));
        }
        front.events.clear();
    }

    @Override
    public void spawn(int instance, long seed, String config) {
        fronts.put(instance, new Front(SettingsReader.read(config), seed));
    }

    @Override
    public void killed(int instance) {
        fronts.remove(instance);
    }

    @Override
    public void event(int instance, Event event) {
        Front front = fronts.get(instance);
        if (front == null) {
            return;
        }
        if (front.events.isEmpty()) {
            touched.add(instance);
        }
        front.events.add(event);
    }

    @Override
    public long zeroNs(int instance) {
        Front front = fronts.get(instance);
        return front == null ? 0 : front.zeroNs;
    }
}
