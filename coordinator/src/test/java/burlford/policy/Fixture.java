package burlford.policy;

import burlford.policy.Aggregator.Action;
import burlford.policy.Aggregator.Event;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds settings and events for tests of the decision module. The fields hold default values, which a test changes
 * before it calls {@link #settings}. All times are microseconds.
 */
final class Fixture {

    /** One millisecond in microseconds. */
    static final long MS = 1000;
    /** First time on the clock of the tests. */
    static final long START_US = 5_000_000_000L;

    boolean mayHedge;
    boolean watchesList;
    boolean mayProbe;
    long aim = 2000 * MS;
    int maxAttempts = 3;
    int maxOpen = 10_000;
    int reach = 3;
    int cells = 3;
    int instances = 2;
    long callWork;
    /** Negative: the rules set no budget of further attempts. */
    double budgetBase = -1;
    double budgetShare;
    double need = 1;
    double floor = 1;
    int followUp;
    /** 0: the overload rule is not stated, and servers have no slow start. */
    long overloadWindow;
    double lateWorth;
    double crossZone;
    double probePrice = 0.01;
    double handshakePrice;
    boolean clientsMarkRetries;
    List<Aggregator.ReportField> reportFields = List.of(Aggregator.ReportField.QUEUE);

    /** Settings with one query class for each effect, in the order of {@link Aggregator.Effect}. */
    Aggregator.Settings settings() {
        List<Aggregator.QueryClass> classes = new ArrayList<>();
        for (Aggregator.Effect effect : Aggregator.Effect.values()) {
            classes.add(new Aggregator.QueryClass(aim, 6000 * MS, effect, 1500 * MS, 1, lateWorth, need, floor,
                    0.9, followUp));
        }
        return new Aggregator.Settings(0, instances, 0, watchesList, cells, reach, cells, 4, callWork, true, 1,
                reportFields, classes, List.of(), new Aggregator.Rules(1000 * MS, 0.2, 10_000 * MS, 2, overloadWindow,
                budgetBase >= 0, Math.max(0, budgetBase), budgetShare, 5000 * MS, 20 * MS, 10_000 * MS),
                new Aggregator.Allowed(maxAttempts, maxOpen, mayHedge, true, mayProbe, true, 500 * MS),
                new Aggregator.Prices(crossZone, handshakePrice, probePrice), clientsMarkRetries);
    }

    /** List entry of a ready server that started long ago. */
    static Aggregator.ListEntry readyServer(long id, int cell) {
        return new Aggregator.ListEntry(id, 0, cell, Aggregator.Status.READY, 1, 0);
    }

    /** Event with a whole reader list. */
    static Aggregator.ListUpdate listUpdate(Aggregator.ListEntry... entries) {
        return new Aggregator.ListUpdate(Aggregator.ListKind.WHOLE, List.of(entries));
    }

    /**
     * Events of a query with one part for each of the given shards. The id is also the query's number; its parts have
     * the ids that follow.
     */
    static List<Event> queryEvents(long id, int queryClass, long key, int... shards) {
        List<Event> events = new ArrayList<>();
        events.add(new Aggregator.QueryArrived(id, id, queryClass, shards.length, 6000 * MS, 0, false, key, 0));
        for (int i = 0; i < shards.length; i++) {
            events.add(new Aggregator.PartArrived(id + 1 + i, id, shards[i], 1.0 / shards.length, 0, key));
        }
        return events;
    }

    /** Event of an attempt's end; an answered part is closed. */
    static Aggregator.AttemptEnded attemptEnded(long part, int attempt, long replica, Aggregator.Outcome outcome,
            long elapsed, double... loadReport) {
        return new Aggregator.AttemptEnded(part, attempt, replica, outcome, elapsed, outcome == Aggregator.Outcome.OK,
                loadReport);
    }

    /** Returns the actions of the given type, in order. */
    static <T extends Action> List<T> filterByType(List<Action> actions, Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private Fixture() { }

    static Fixture withDefaults() {
        return new Fixture();
    }
}
