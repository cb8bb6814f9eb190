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

/** Hosts one module instance for each query router the simulator names; instances share nothing. */
public final class SimulatorHost {

    /** An instance and what it has heard in the batch at hand. */
    private static final class Instance {
        final Aggregator module;
        final int reportFields;
        final List<Aggregator.Event> events = new ArrayList<>();

        Instance(Aggregator module, int reportFields) {
            this.module = module;
            this.reportFields = reportFields;
        }
    }

    private final Map<Integer, Instance> instances = new LinkedHashMap<>();
    private final SimulatorCodec wire = new SimulatorCodec();

    public void run(InputStream in, OutputStream out) throws IOException {
        for (SimulatorCodec.Batch batch = wire.read(in); batch != null; batch = wire.read(in)) {
            answer(batch).write(out, batch.number());
        }
    }

    private SimulatorCodec.Reply answer(SimulatorCodec.Batch batch) {
        SimulatorCodec.Reply reply = new SimulatorCodec.Reply();
        Map<Integer, Instance> heard = new LinkedHashMap<>();
        for (SimulatorCodec.InputRecord item : batch.records()) {
            if (item instanceof SimulatorCodec.InstanceStarted s) {
                Aggregator.Settings settings = SettingsParser.parse(s.settings());
                Instance fresh = new Instance(new Decide(settings, s.seed()), settings.reportFields().size());
                instances.put(s.instance(), fresh);
                heard.put(s.instance(), fresh);
            } else if (item instanceof SimulatorCodec.InstanceStopped s) {
                instances.remove(s.instance());
                heard.remove(s.instance());
            } else if (item instanceof SimulatorCodec.InstanceEvent h) {
                Instance held = instances.get(h.instance());
                if (held == null) {
                    throw new InputFormatException("event for instance " + h.instance() + ", which was never started");
                }
                if (h.reportLength() != 0 && h.reportLength() != held.reportFields) {
                    throw new InputFormatException("a load report of " + h.reportLength() + " values where "
                            + held.reportFields + " are named");
                }
                heard.put(h.instance(), held);
                if (h.event() != null) {
                    held.events.add(h.event());
                }
            }
        }
        heard.forEach((number, instance) -> decide(reply, number, instance, batch.clock()));
        return reply;
    }

    private static void decide(SimulatorCodec.Reply reply, int number, Instance instance, long clock) {
        List<Aggregator.Action> actions;
        try {
            actions = instance.module.round(clock, instance.events);
        } catch (RuntimeException e) {
            StackTraceElement[] at = e.getStackTrace();
            reply.addInstance(number);
            reply.addFailure(e + (at.length > 0 ? " at " + at[0] : ""));
            return;
        } finally {
            instance.events.clear();
        }
        if (!actions.isEmpty()) {
            reply.addInstance(number);
            actions.forEach(reply::addAction);
        }
    }
}
