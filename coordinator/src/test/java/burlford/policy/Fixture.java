package burlford.policy;

import burlford.policy.Aggregator.Action;
import burlford.policy.Aggregator.Event;
import java.util.ArrayList;
import java.util.List;

/** Settings and events for tests, with figures of its own. */
final class Fixture {

    static final long MS = 1000;
    static final long START_US = 5_000_000_000L;

    boolean mayHedge;
    boolean watchesList;
    boolean mayProbe;
    long aim = 2000 * MS;
    int maxAttempts = 3;
    int open = 10_000;
    int reach = 3;
    int cells = 3;
    int instances = 2;
    long callWork;
    double budgetBase = -1;
    double budgetShare;
    double need = 1;
    double floor = 1;
    int followUp;
    long overloadWindow;
    double lateWorth;
    double crossZone;
    double probePrice = 0.01;
    double handshakePrice;
    boolean clientsMarkRetries;
    List<Aggregator.ReportField> reportFields = List.of(Aggregator.ReportField.QUEUE);

    Aggregator.Settings settings() {
        List<Aggregator.QueryClass> classes = new ArrayList<>();
        for (Aggregator.Effect effect : Aggregator.Effect.values()) {
            classes.add(new Aggregator.QueryClass(aim, 6000 * MS, effect, 1500 * MS, 1, lateWorth, need, floor,
                    0.9, followUp));
        }
        return new Aggregator.Settings(0, instances, 0, watchesList, cells, reach, cells, 4, callWork, true, 1,
                reportFields, classes, List.of(), new Aggregator.Rules(1000 * MS, 0.2, 10_000 * MS, 2, overloadWindow,
                budgetBase >= 0, Math.max(0, budgetBase), budgetShare, 5000 * MS, 20 * MS, 10_000 * MS),
                new Aggregator.Allowed(maxAttempts, open, mayHedge, true, mayProbe, true, 500 * MS),
                new Aggregator.Prices(crossZone, handshakePrice, probePrice), clientsMarkRetries);
    }

    static Aggregator.ListEntry server(long id, int cell) {
        return new Aggregator.ListEntry(id, 0, cell, Aggregator.Status.READY, 1, 0);
    }

    static Aggregator.ListUpdate listUpdate(Aggregator.ListEntry... entries) {
        return new Aggregator.ListUpdate(Aggregator.ListKind.WHOLE, List.of(entries));
    }

    /** A query of one part for each shard given; part ids follow the query's. */
    static List<Event> queryEvents(long id, int cls, long key, int... shards) {
        List<Event> events = new ArrayList<>();
        events.add(new Aggregator.QueryArrived(id, id, cls, shards.length, 6000 * MS, 0, false, key, 0));
        for (int i = 0; i < shards.length; i++) {
            events.add(new Aggregator.PartArrived(id + 1 + i, id, shards[i], 1.0 / shards.length, 0, key));
        }
        return events;
    }

    static Aggregator.AttemptEnded attemptEnded(long part, int attempt, long replica, Aggregator.Outcome outcome,
            long elapsed, double... report) {
        return new Aggregator.AttemptEnded(part, attempt, replica, outcome, elapsed, outcome == Aggregator.Outcome.OK,
                report);
    }

    static <T extends Action> List<T> filterByType(List<Action> actions, Class<T> kind) {
        return actions.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    private Fixture() { }

    static Fixture withDefaults() {
        return new Fixture();
    }
}
