package burlford.adapter;

import burlford.policy.Aggregator;
import burlford.policy.Decide;
import burlford.settings.InputFormatException;
import burlford.settings.SettingsParser;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Runs a separate module instance for each query router of the simulator; the instances share nothing. */
public final class SimulatorHost {

    /** A module instance with its events of the current batch. */
    private static final class Instance {
        final Aggregator module;
        final int reportFieldCount;
        final List<Aggregator.Event> pendingEvents = new ArrayList<>();

        Instance(Aggregator module, int reportFieldCount) {
            this.module = module;
            this.reportFieldCount = reportFieldCount;
        }
    }

    private final Map<Integer, Instance> instances = new LinkedHashMap<>();
    private final SimulatorCodec codec = new SimulatorCodec();

    /**
     * Reads batches of events and writes a reply frame for each of them, until the input ends.
     *
     * @throws burlford.settings.InputFormatException if a batch or an instance's settings are malformed
     */
    public void run(InputStream in, OutputStream out) throws IOException {
        for (SimulatorCodec.Batch batch = codec.read(in); batch != null; batch = codec.read(in)) {
            process(batch).write(out, batch.number());
        }
    }

    private SimulatorCodec.Reply process(SimulatorCodec.Batch batch) {
        SimulatorCodec.Reply reply = new SimulatorCodec.Reply();
        Map<Integer, Instance> addressed = new LinkedHashMap<>();
        for (SimulatorCodec.InputRecord record : batch.records()) {
            if (record instanceof SimulatorCodec.InstanceStarted started) {
                Aggregator.Settings settings = SettingsParser.parse(started.settings());
                Instance instance = new Instance(new Decide(settings, started.seed()), settings.reportFields().size());
                instances.put(started.instance(), instance);
                addressed.put(started.instance(), instance);
            } else if (record instanceof SimulatorCodec.InstanceStopped stopped) {
                instances.remove(stopped.instance());
                addressed.remove(stopped.instance());
            } else if (record instanceof SimulatorCodec.InstanceEvent received) {
                Instance instance = instances.get(received.instance());
                if (instance == null) {
                    throw new InputFormatException("event for instance " + received.instance()
                            + ", which was never started");
                }
                if (received.reportLength() != 0 && received.reportLength() != instance.reportFieldCount) {
                    throw new InputFormatException("a load report of " + received.reportLength()
                            + " values where " + instance.reportFieldCount + " are named");
                }
                addressed.put(received.instance(), instance);
                if (received.event() != null) {
                    instance.pendingEvents.add(received.event());
                }
            }
        }
        addressed.forEach((number, instance) -> runRound(reply, number, instance, batch.clock()));
        return reply;
    }

    private static void runRound(SimulatorCodec.Reply reply, int number, Instance instance, long clock) {
        List<Aggregator.Action> actions;
        try {
            actions = instance.module.round(clock, instance.pendingEvents);
        } catch (RuntimeException e) {
            StackTraceElement[] stackTrace = e.getStackTrace();
            reply.addInstance(number);
            reply.addFailure(e + (stackTrace.length > 0 ? " at " + stackTrace[0] : ""));
            return;
        } finally {
            instance.pendingEvents.clear();
        }
        if (!actions.isEmpty()) {
            reply.addInstance(number);
            actions.forEach(reply::addAction);
        }
    }
}
