package holdmux.simhost;

import holdmux.config.ConfigException;
import holdmux.config.SettingsReader;
import holdmux.decision.ReadWriteSplitter;
import holdmux.decision.SplitterApi.Event;
import holdmux.decision.SplitterApi.Settings;
import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Hosts instances of the decision module for the simulator, over its wire protocol on standard input and output. */
public final class SimHost implements WireReader.Sink {
    /** One instance of the decision module and its events in the current batch. */
    private static final class HostedInstance {
        final ReadWriteSplitter splitter;
        final long zeroNs;
        final List<Event> events = new ArrayList<>();

        HostedInstance(Settings settings, long seed) {
            splitter = new ReadWriteSplitter(settings, seed);
            zeroNs = settings.zeroNs();
        }
    }

    private final Map<Integer, HostedInstance> instances = new HashMap<>();
    private final List<Integer> pendingInstances = new ArrayList<>();

    /** Processes batches from standard input until its end. Returns the exit status. */
    public static int run() {
        InputStream in = new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16);
        return run(in, new FileOutputStream(FileDescriptor.out), System.err);
    }

    static int run(InputStream in, OutputStream out, java.io.PrintStream err) {
        try {
            new SimHost().processBatches(in, out);
            return 0;
        } catch (IOException | WireException | ConfigException e) {
            err.println("holdmux: " + e.getMessage());
            return 1;
        }
    }

    private void processBatches(InputStream in, OutputStream out) throws IOException {
        WireReader reader = new WireReader(in);
        WireWriter writer = new WireWriter();
        while (reader.readBatch()) {
            reader.decode(this);
            writer.beginReply();
            for (int instance : pendingInstances) {
                HostedInstance hosted = instances.get(instance);
                if (hosted != null && !hosted.events.isEmpty()) {
                    step(instance, hosted, reader.batchTimeNs(), writer);
                }
            }
            pendingInstances.clear();
            writer.flushTo(out);
        }
    }

    private static void step(int instance, HostedInstance hosted, long now, WireWriter writer) {
        try {
            hosted.splitter.handle(now, hosted.events, action -> writer.write(instance, action));
        } catch (RuntimeException e) {
            writer.crash(instance, e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "?"));
        }
        hosted.events.clear();
    }

    @Override
    public void spawn(int instance, long seed, String config) {
        instances.put(instance, new HostedInstance(SettingsReader.read(config), seed));
    }

    @Override
    public void killed(int instance) {
        instances.remove(instance);
    }

    @Override
    public void event(int instance, Event event) {
        HostedInstance hosted = instances.get(instance);
        if (hosted == null) {
            return;
        }
        if (hosted.events.isEmpty()) {
            pendingInstances.add(instance);
        }
        hosted.events.add(event);
    }

    @Override
    public long zeroNs(int instance) {
        HostedInstance hosted = instances.get(instance);
        return hosted == null ? 0 : hosted.zeroNs;
    }
}
