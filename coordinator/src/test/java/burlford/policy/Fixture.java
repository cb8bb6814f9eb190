package burlford.policy;

import burlford.policy.Aggregator.Action;
import burlford.policy.Aggregator.Event;
import java.util.ArrayList;
import java.util.List;

/** Settings and events for tests, with figures of its own. */
final class Fixture {

    static final long MS = 1000;
    static final long START = 5_000_000_000L;

    boolean secondCopies;
    boolean ask;
    boolean probe;
    long aim = 2000 * MS;
    int attempts = 3;
    int open = 10_000;
    int reach = 3;
    int cells = 3;
    int instances = 2;
    long callWork;
    double budgetFree = -1;
    double budgetShare;
    double need = 1;
    double floor = 1;
    int followUp;
    long coldSpan;
    double late;
    double crossZone;
    double probePrice = 0.01;
    double handshakePrice;
    boolean marked;
    List<Aggregator.Field> fields = List.of(Aggregator.Field.QUEUE);

    Aggregator.Settings settings() {
        List<Aggregator.QueryClass> classes = new ArrayList<>();
        for (Aggregator.Effect effect : Aggregator.Effect.values()) {
            classes.add(new Aggregator.QueryClass(aim, 6000 * MS, effect, 1500 * MS, 1, late, need, floor,
                    0.9, followUp));
        }
        return new Aggregator.Settings(0, instances, 0, ask, cells, reach, cells, 4, callWork, true, 1, fields, classes,
                List.of(), new Aggregator.Rules(1000 * MS, 0.2, 10_000 * MS, 2, coldSpan, budgetFree >= 0,
                Math.max(0, budgetFree), budgetShare, 5000 * MS, 20 * MS, 10_000 * MS),
                new Aggregator.Allowed(attempts, open, secondCopies, true, probe, true, 500 * MS),
                new Aggregator.Prices(crossZone, handshakePrice, probePrice), marked);
    }

    static Aggregator.Listed server(long id, int cell) {
        return new Aggregator.Listed(id, 0, cell, Aggregator.Status.READY, 1, 0);
    }

    static Aggregator.Replicas list(Aggregator.Listed... entries) {
        return new Aggregator.Replicas(Aggregator.ListKind.WHOLE, List.of(entries));
    }

    /** A query of one part for each shard given; part ids follow the query's. */
    static List<Event> query(long id, int cls, long key, int... shards) {
        List<Event> events = new ArrayList<>();
        events.add(new Aggregator.QueryIn(id, id, cls, shards.length, 6000 * MS, 0, false, key, 0));
        for (int i = 0; i < shards.length; i++) {
            events.add(new Aggregator.PartIn(id + 1 + i, id, shards[i], 1.0 / shards.length, 0, key));
        }
        return events;
    }

    static Aggregator.AttemptEnd end(long part, int attempt, long replica, Aggregator.Outcome outcome, long elapsed,
            double... report) {
        return new Aggregator.AttemptEnd(part, attempt, replica, outcome, elapsed, outcome == Aggregator.Outcome.OK,
                report);
    }

    static <T extends Action> List<T> only(List<Action> actions, Class<T> kind) {
        return actions.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    private Fixture() { }

    static Fixture plain() {
        return new Fixture();
    }
}
