package burlford.adapter;

import burlford.policy.Aggregator;
import burlford.policy.Decide;
import burlford.settings.BadInput;
import burlford.settings.Settings;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Hosts one module instance for each query router the simulator names; instances share nothing. */
public final class SimHost {

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
    private final Wire wire = new Wire();

    public void run(InputStream in, OutputStream out) throws IOException {
        for (Wire.Batch batch = wire.read(in); batch != null; batch = wire.read(in)) {
            answer(batch).write(out, batch.number());
        }
    }

    private Wire.Reply answer(Wire.Batch batch) {
        Wire.Reply reply = new Wire.Reply();
        Map<Integer, Instance> heard = new LinkedHashMap<>();
        for (Wire.Item item : batch.items()) {
            if (item instanceof Wire.Started s) {
                Aggregator.Settings settings = Settings.parse(s.settings());
                Instance fresh = new Instance(new Decide(settings, s.seed()), settings.reportFields().size());
                instances.put(s.instance(), fresh);
                heard.put(s.instance(), fresh);
            } else if (item instanceof Wire.Stopped s) {
                instances.remove(s.instance());
                heard.remove(s.instance());
            } else if (item instanceof Wire.Happened h) {
                Instance held = instances.get(h.instance());
                if (held == null) {
                    throw new BadInput("event for instance " + h.instance() + ", which was never started");
                }
                if (h.reportLength() != 0 && h.reportLength() != held.reportFields) {
                    throw new BadInput("a load report of " + h.reportLength() + " values where "
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

    private static void decide(Wire.Reply reply, int number, Instance instance, long clock) {
        List<Aggregator.Action> actions;
        try {
            actions = instance.module.round(clock, instance.events);
        } catch (RuntimeException e) {
            StackTraceElement[] at = e.getStackTrace();
            reply.speaking(number);
            reply.die(e + (at.length > 0 ? " at " + at[0] : ""));
            return;
        } finally {
            instance.events.clear();
        }
        if (!actions.isEmpty()) {
            reply.speaking(number);
            actions.forEach(reply::action);
        }
    }
}
