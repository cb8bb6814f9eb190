package burlford.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlford.policy.Aggregator.Action;
import burlford.policy.Aggregator.Answer;
import burlford.policy.Aggregator.Cancel;
import burlford.policy.Aggregator.Event;
import burlford.policy.Aggregator.Fail;
import burlford.policy.Aggregator.ListEntry;
import burlford.policy.Aggregator.Outcome;
import burlford.policy.Aggregator.Refuse;
import burlford.policy.Aggregator.Send;
import burlford.policy.Aggregator.Status;
import burlford.policy.Aggregator.WatchList;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Each rule on its own, then all of them under seeded random events. */
class RulesTest {

    private static final long MS = Fixture.MS;
    private static final int SAFE = 0;
    private static final int KEYED = 1;
    private static final int UNSAFE = 2;

    private long now = Fixture.START_US;
    private Decide decide;

    private List<Action> at(long ms, List<? extends Event> events) {
        now = Fixture.START_US + ms * MS;
        return decide.round(now, new ArrayList<>(events));
    }

    private void start(Fixture f) {
        decide = new Decide(f.settings(), 3);
        at(0, List.of(Fixture.listUpdate(Fixture.server(11, 0), Fixture.server(12, 1), Fixture.server(13, 2))));
    }

    private Send sendOne(int cls) {
        return Fixture.filterByType(at(1, Fixture.queryEvents(1, cls, 7, 0)), Send.class).get(0);
    }

    /** Held to its end, a query that no server ever had cost worth for being refused late. */
    @Test
    void whatNoServerHadIsRefusedByHalfTime() {
        start(Fixture.withDefaults());
        at(1, List.of(new Aggregator.ListUpdate(Aggregator.ListKind.WHOLE, List.of())));
        List<Action> ends = new ArrayList<>(at(10, Fixture.queryEvents(1, SAFE, 7, 0)));
        for (int ms = 35; ms <= 3010; ms += 25) {
            ends.addAll(at(ms, List.of()));
        }
        assertEquals(1, Fixture.filterByType(ends, Refuse.class).size());
    }

    @Test
    void drainingAndGoneServersGetNothing() {
        start(Fixture.withDefaults());
        at(1, List.of(new Aggregator.ListUpdate(Aggregator.ListKind.CHANGES, List.of(
                new ListEntry(11, 0, 0, Status.DRAINING, 1, 0), new ListEntry(12, 0, 1, Status.GONE, 1, 0)))));
        for (int i = 0; i < 20; i++) {
            for (Send s : Fixture.filterByType(at(2 + i, Fixture.queryEvents(100 + 10 * i, SAFE, i, 0)), Send.class)) {
                assertEquals(13, s.replica());
            }
        }
    }

    @Test
    void onlyHoldersOfTheShardAreSentIt() {
        Fixture f = Fixture.withDefaults();
        f.reach = 1;
        start(f);
        for (int i = 0; i < 9; i++) {
            assertEquals(11 + i % 3, Fixture.filterByType(at(1 + i, Fixture.queryEvents(100 + 10 * i, SAFE, i, i % 3)),
                    Send.class).get(0).replica());
        }
    }

    @Test
    void unsafePartIsResentOnlyWhenItNeverRan() {
        start(Fixture.withDefaults());
        Send s = sendOne(UNSAFE);
        List<Action> next = at(5, List.of(Fixture.attemptEnded(2, 0, s.replica(), Outcome.FULL, MS)));
        assertEquals(1, Fixture.filterByType(next, Send.class).size());
        next = at(9, List.of(Fixture.attemptEnded(2, 1, Fixture.filterByType(next, Send.class).get(0).replica(),
                Outcome.ERROR, MS)));
        for (long t = 20; t < 6000; t += 20) {
            assertEquals(0, Fixture.filterByType(next, Send.class).size() + Fixture.filterByType(next, Refuse.class)
                    .size());
            if (!Fixture.filterByType(next, Fail.class).isEmpty()) {
                return;
            }
            next = at(t, List.of());
        }
        throw new AssertionError("the query was never failed");
    }

    @Test
    void keyedPartIsResentInsideItsWindowOnly() {
        start(Fixture.withDefaults());
        Send s = sendOne(KEYED);
        List<Action> next = at(100, List.of(Fixture.attemptEnded(2, 0, s.replica(), Outcome.DROPPED, MS)));
        assertEquals(1, Fixture.filterByType(next, Send.class).size());
        start(Fixture.withDefaults());
        s = sendOne(KEYED);
        next = at(1500, List.of(Fixture.attemptEnded(2, 0, s.replica(), Outcome.DROPPED, MS)));
        assertEquals(0, Fixture.filterByType(next, Send.class).size());
    }

    @Test
    void oneCopyOutUnlessAllowed() {
        for (boolean copies : new boolean[] {false, true}) {
            Fixture f = Fixture.withDefaults();
            f.mayHedge = copies;
            start(f);
            sendOne(SAFE);
            int sends = 0;
            int cancels = 0;
            for (long t = 20; t < 1900; t += 20) {
                List<Action> next = at(t, List.of());
                sends += Fixture.filterByType(next, Send.class).size();
                cancels += Fixture.filterByType(next, Cancel.class).size();
            }
            assertEquals(copies ? 1 : 0, sends);
            // Where one copy may be out it is recalled, and nothing is sent before its end is told.
            assertEquals(copies ? 0 : 1, cancels);
        }
    }

    @Test
    void recalledPartGoesToAnotherServerAndNotInTheSameMoment() {
        start(Fixture.withDefaults());
        Send first = sendOne(SAFE);
        long recalled = 20;
        while (Fixture.filterByType(at(recalled, List.of()), Cancel.class).isEmpty() && recalled < 1900) {
            recalled += 20;
        }
        assertEquals(List.of(),
                Fixture.filterByType(at(recalled, List.of(Fixture.attemptEnded(2, 0, first.replica(), Outcome.CANCELLED,
                recalled * MS))), Send.class));
        List<Send> again = Fixture.filterByType(at(recalled + 30, List.of()), Send.class);
        assertEquals(1, again.size());
        assertTrue(again.get(0).replica() != first.replica());
    }

    @Test
    void attemptCapHolds() {
        Fixture f = Fixture.withDefaults();
        f.maxAttempts = 2;
        start(f);
        Send s = sendOne(SAFE);
        s = Fixture.filterByType(at(5, List.of(Fixture.attemptEnded(2, 0, s.replica(), Outcome.ERROR, MS))), Send.class)
                .get(0);
        List<Action> next = at(9, List.of(Fixture.attemptEnded(2, 1, s.replica(), Outcome.ERROR, MS)));
        assertTrue(Fixture.filterByType(next, Send.class).isEmpty());
    }

    @Test
    void retryBudgetHolds() {
        Fixture f = Fixture.withDefaults();
        f.budgetBase = 1;
        f.budgetShare = 0.5;
        start(f);
        Send s = sendOne(SAFE); // taken: a query and a part, so two further attempts
        for (int i = 0; i < 2; i++) {
            s = Fixture.filterByType(at(5 + i, List.of(Fixture.attemptEnded(2, i, s.replica(), Outcome.FULL, MS))),
                    Send.class).get(0);
        }
        start(f);
        f.budgetShare = 0;
        start(f);
        s = sendOne(SAFE);
        s = Fixture.filterByType(at(5, List.of(Fixture.attemptEnded(2, 0, s.replica(), Outcome.FULL, MS))), Send.class)
                .get(0);
        assertTrue(Fixture.filterByType(at(6, List.of(Fixture.attemptEnded(2, 1, s.replica(), Outcome.FULL, MS))),
                Send.class).isEmpty());
    }

    /**
     * Many routers of unequal traffic, each seeing only its own, all wanting one cold server: in no span do they
     * send more than multiple x capacity x cores x span, and yet it is used long before it is warm.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 10, 30, 75})
    void coldServerIsUsedAndNotPushedOver(int routers) {
        double cores = 2;
        double work = 200;
        for (int seed = 0; seed < 6; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Fixture f = Fixture.withDefaults();
            f.overloadWindow = 1000 * MS;
            f.reach = 1;
            f.instances = routers;
            List<Decide> all = new ArrayList<>();
            for (int i = 0; i < routers; i++) {
                all.add(new Decide(f.settings(), random.nextLong()));
                all.get(i).round(Fixture.START_US, List.of(Fixture.listUpdate(new ListEntry(11, 0, 0, Status.READY, 1,
                        Fixture.START_US))));
            }
            List<Long> sent = new ArrayList<>();
            int early = 0;
            for (int t = 10; t < 10_000; t += 10) {
                for (int i = 0; i < routers; i++) {
                    // Together ten parts a second, the first routers most of them.
                    if (random.nextDouble() < 0.2 / Math.min(routers, 1 + i)) {
                        List<Event> in = new ArrayList<>(Fixture.queryEvents(10L * t + 1, SAFE, 7, 0));
                        for (Send s : Fixture.filterByType(all.get(i).round(Fixture.START_US + t * MS, in),
                                Send.class)) {
                            sent.add((long) t);
                        }
                    }
                }
                double capacity = 0.2 + 0.8 * t / 10_000;
                int from = t - 1000;
                double load = sent.stream().filter(s -> s > from).count() * work;
                assertTrue(load <= 2 * capacity * cores * 1000 + work, "seed " + seed + ", at " + t + " ms: " + load);
                early = t < 6000 ? sent.size() : early;
            }
            assertTrue(early >= 3, "seed " + seed + ": not used: " + early);
        }
    }

    @Test
    void answerIsWholeOnlyWithAllParts() {
        start(Fixture.withDefaults());
        List<Send> sends = Fixture.filterByType(at(1, Fixture.queryEvents(1, SAFE, 7, 0, 1)), Send.class);
        List<Action> next = at(5, List.of(Fixture.attemptEnded(2, 0, sends.get(0).replica(), Outcome.OK, MS)));
        assertTrue(Fixture.filterByType(next, Answer.class).isEmpty());
        next = at(6, List.of(Fixture.attemptEnded(3, 0, sends.get(1).replica(), Outcome.OK, MS)));
        assertEquals(List.of(new Answer(1, true)), Fixture.filterByType(next, Answer.class));
    }

    @Test
    void partialAnswerFromTheLeastShareAndNotMarkedWhole() {
        Fixture f = Fixture.withDefaults();
        f.floor = 0.5;
        start(f);
        List<Send> sends = Fixture.filterByType(at(1, Fixture.queryEvents(1, UNSAFE, 7, 0, 1)), Send.class);
        at(5, List.of(Fixture.attemptEnded(2, 0, sends.get(0).replica(), Outcome.OK, MS)));
        List<Action> all = new ArrayList<>();
        for (long t = 20; t < 6000; t += 20) {
            all.addAll(at(t, List.of()));
        }
        assertEquals(List.of(new Answer(1, false)), Fixture.filterByType(all, Answer.class));
        assertTrue(Fixture.filterByType(all, Fail.class).isEmpty());
    }

    @Test
    void secondStepWaitsForItsParts() {
        Fixture f = Fixture.withDefaults();
        f.followUp = 1;
        start(f);
        Send s = sendOne(SAFE);
        assertEquals(1, Fixture.filterByType(at(5, List.of(Fixture.attemptEnded(2, 0, s.replica(), Outcome.OK, MS))),
                Answer.class).size());
        assertTrue(Fixture.filterByType(at(9, List.of()), Answer.class).isEmpty());
        List<Action> next = at(10, List.of(new Aggregator.PartArrived(3, 1, 0, 1, 0, 7)));
        s = Fixture.filterByType(next, Send.class).get(0);
        next = at(20, List.of(Fixture.attemptEnded(3, 0, s.replica(), Outcome.OK, MS)));
        assertEquals(List.of(new Answer(1, true)), Fixture.filterByType(next, Answer.class));
    }

    /** A client with more time left than the others must not make later first tries look like repeats. */
    @Test
    void oneOddClientDoesNotShortenTheAimOfAll() {
        start(Fixture.withDefaults());
        for (int i = 0; i < 3; i++) {
            at(1 + i, List.of(new Aggregator.QueryArrived(10 + i, 10 + i, SAFE, 1, (i == 1 ? 5900 : 4000) * MS, 0,
                    false, 7, 0)));
        }
        long gaveUpAt = 0;
        for (long t = 20; t < 2600 && gaveUpAt == 0; t += 20) {
            for (Refuse r : Fixture.filterByType(at(t, List.of()), Refuse.class)) {
                gaveUpAt = r.query() == 12 ? t : gaveUpAt;
            }
        }
        assertTrue(gaveUpAt >= 2000, "given up at " + gaveUpAt + " ms, before its aim");
    }

    /** A marked later try of a query that was given up has only what is left of its first try's aim. */
    @Test
    void laterTryKeepsTheAimOfItsFirst() {
        start(Fixture.withDefaults());
        at(1, List.of(new Aggregator.QueryArrived(10, 10, SAFE, 1, 5000 * MS, 0, false, 7, 0)));
        boolean gaveUp = false;
        for (long t = 20; t < 2600 && !gaveUp; t += 20) {
            gaveUp = !Fixture.filterByType(at(t, List.of()), Refuse.class).isEmpty();
        }
        assertTrue(gaveUp);
        List<Event> again = new ArrayList<>();
        again.add(new Aggregator.QueryArrived(20, 20, SAFE, 1, 5000 * MS, 0, true, 7, 0));
        again.add(new Aggregator.PartArrived(21, 20, 0, 1, 0, 7));
        assertEquals(1, Fixture.filterByType(at(2700, again), Refuse.class).size());
        assertEquals(1, Fixture.filterByType(at(2701, Fixture.queryEvents(30, SAFE, 8, 0)), Send.class).size());
    }

    @Test
    void failedListCallsAreRepeatedLaterEachTime() {
        Fixture f = Fixture.withDefaults();
        f.watchesList = true;
        start(f);
        List<Long> calls = new ArrayList<>();
        for (long t = 1; t < 20_000 && calls.size() < 4; t += 5) {
            boolean call = !Fixture.filterByType(at(t, calls.isEmpty() && t == 1 ? List.of(new Aggregator.ListUpdate(
                    Aggregator.ListKind.FAILED, List.of())) : List.of()), WatchList.class).isEmpty();
            if (call) {
                calls.add(t);
                at(t + 1, List.of(new Aggregator.ListUpdate(Aggregator.ListKind.FAILED, List.of())));
            }
        }
        assertEquals(4, calls.size());
        assertTrue(calls.get(3) - calls.get(2) > 1000, "no back-off: " + calls);
    }

    @Test
    void oddEventsAreIgnored() {
        start(Fixture.withDefaults());
        List<Action> next = at(1, List.of(Fixture.attemptEnded(99, 0, 11, Outcome.OK, MS),
                new Aggregator.ClientLeft(98), new Aggregator.PartArrived(97, 96, 0, 1, 0, 0), new Aggregator.Alarm(95),
                new Aggregator.ProbeEnded(94, Outcome.OK, MS, new double[] {1}), Fixture.listUpdate()));
        assertTrue(Fixture.filterByType(next, Send.class).isEmpty());
        assertFalse(Fixture.filterByType(at(2, Fixture.queryEvents(1, SAFE, 0, 0)), Refuse.class).size() > 1);
        assertThrows(IllegalArgumentException.class, () -> decide.round(now - 1, List.of()));
    }

    /** Drives the module with random events and checks every action against the rules, kept on its own. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11})
    void rulesHoldUnderRandomEvents(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Fixture f = Fixture.withDefaults();
        f.mayHedge = random.nextBoolean();
        f.budgetBase = random.nextBoolean() ? 3 : -1;
        f.budgetShare = 0.1;
        f.reach = 1 + random.nextInt(3);
        f.cells = 4;
        f.mayProbe = random.nextBoolean();
        f.floor = random.nextBoolean() ? 1 : 0.5;
        f.lateWorth = random.nextBoolean() ? 0 : 0.1;
        f.callWork = random.nextBoolean() ? 0 : 50 * MS;
        Aggregator.Settings settings = f.settings();
        decide = new Decide(settings, seed);
        Checker checker = new Checker(settings, f.mayHedge);
        List<Event> events = new ArrayList<>();
        List<ListEntry> fleet = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            fleet.add(Fixture.server(20 + i, i % 4));
        }
        events.add(Fixture.listUpdate(fleet.toArray(ListEntry[]::new)));
        long id = 1;
        for (int step = 0; step < 4000; step++) {
            now += 1 + random.nextInt(20_000);
            if (step < 3000 && random.nextInt(4) == 0) {
                int parts = 1 + random.nextInt(4);
                int[] shards = random.ints(parts, 0, 4).toArray();
                events.addAll(Fixture.queryEvents(id, random.nextInt(3), random.nextInt(50), shards));
                id += 1 + parts;
            }
            if (random.nextInt(60) == 0) {
                int i = random.nextInt(8);
                Status status = Status.values()[random.nextInt(3)];
                events.add(new Aggregator.ListUpdate(Aggregator.ListKind.CHANGES,
                        List.of(new ListEntry(20 + i, 0, i % 4, status, 1, random.nextBoolean() ? 0 : now))));
            }
            checker.outcomes(random, events, now);
            checker.see(now, events);
            checker.check(now, decide.round(now, events));
            events.clear();
        }
        assertTrue(checker.sends > 100, "few sends: " + checker.sends);
        assertEquals(List.of(), checker.overdue(now), "queries without an outcome");
    }

    /** What the rules need to know, kept apart from the module. */
    private static final class Checker {
        record Out(long part, int attempt, long server, long at) { }

        final Aggregator.Settings set;
        final boolean copies;
        final Map<Long, Aggregator.QueryArrived> open = new LinkedHashMap<>();
        final Map<Long, Long> ends = new LinkedHashMap<>();
        final Map<Long, Aggregator.PartArrived> parts = new LinkedHashMap<>();
        final Map<Long, List<Outcome>> tries = new LinkedHashMap<>();
        final Map<Long, Long> firstSend = new LinkedHashMap<>();
        final Map<Long, Status> status = new LinkedHashMap<>();
        final List<Out> out = new ArrayList<>();
        final List<Long> extra = new ArrayList<>();
        final List<Long> taken = new ArrayList<>();
        int sends;

        Checker(Aggregator.Settings set, boolean copies) {
            this.set = set;
            this.copies = copies;
        }

        void outcomes(SplittableRandom random, List<Event> events, long now) {
            for (Out o : new ArrayList<>(out)) {
                if (random.nextInt(30) == 0) {
                    Outcome how = random.nextInt(3) > 0 ? Outcome.OK
                            : Outcome.values()[random.nextInt(Outcome.values().length)];
                    events.add(Fixture.attemptEnded(o.part, o.attempt, o.server, how, now - o.at,
                            random.nextInt(3) == 0 ? new double[0] : new double[] {random.nextInt(9)}));
                    out.remove(o);
                    tries.get(o.part).set(o.attempt, how);
                }
            }
        }

        void see(long now, List<Event> events) {
            for (Event e : events) {
                if (e instanceof Aggregator.QueryArrived q) {
                    open.put(q.number(), q);
                    ends.put(q.query(), now + q.timeLeft());
                    taken.add(now);
                } else if (e instanceof Aggregator.PartArrived p) {
                    parts.put(p.part(), p);
                    tries.put(p.part(), new ArrayList<>());
                    taken.add(now);
                } else if (e instanceof Aggregator.ListUpdate r) {
                    r.entries().forEach(l -> status.put(l.replica(), l.status()));
                }
            }
        }

        void check(long now, List<Action> actions) {
            for (Action a : actions) {
                if (a instanceof Send s) {
                    send(now, s);
                } else if (a instanceof Answer x) {
                    double weight = 0;
                    for (Aggregator.PartArrived p : parts.values()) {
                        weight += p.number() == x.query() && tries.get(p.part()).contains(Outcome.OK) ? p.weight() : 0;
                    }
                    Aggregator.QueryArrived q = ended(x.query());
                    assertTrue(weight >= set.classes().get(q.queryClass()).floor() - 1e-4, "answer under the floor");
                    assertTrue(!x.whole() || weight >= 1 - 1e-4, "marked whole");
                } else if (a instanceof Refuse x) {
                    Aggregator.QueryArrived q = ended(x.query());
                    if (set.classes().get(q.queryClass()).effect() != Aggregator.Effect.SAFE) {
                        for (Aggregator.PartArrived p : parts.values()) {
                            assertTrue(p.number() != q.number() || neverRan(p.part()),
                                    "refused though it may have run");
                        }
                    }
                } else if (a instanceof Fail x) {
                    ended(x.query());
                }
            }
        }

        private boolean neverRan(long part) {
            return tries.get(part).stream().allMatch(o -> o != null && o.neverRan);
        }

        private Aggregator.QueryArrived ended(long query) {
            Aggregator.QueryArrived q = open.remove(query);
            assertTrue(q != null, "two final answers, or none was owed");
            return q;
        }

        private void send(long now, Send s) {
            sends++;
            Aggregator.PartArrived p = parts.get(s.part());
            Aggregator.QueryArrived q = open.get(p.number());
            assertTrue(q != null, "sent after its query ended");
            Aggregator.QueryClass c = set.classes().get(q.queryClass());
            assertEquals(Status.READY, status.get(s.replica()), "sent to a drained server");
            assertTrue(Math.floorMod((s.replica() - 20) % 4 - p.shard(), 4) < set.reach(), "does not hold the shard");
            List<Outcome> tried = tries.get(s.part());
            assertTrue(tried.size() < set.allowed().maxAttempts(), "too many attempts");
            assertFalse(tried.contains(Outcome.OK), "sent after its answer");
            boolean outNow = tried.contains(null);
            assertTrue(!outNow || copies, "two copies out");
            if (!neverRan(s.part())) {
                assertTrue(c.effect() != Aggregator.Effect.UNSAFE, "unsafe part sent twice");
                assertTrue(c.effect() != Aggregator.Effect.KEYED
                        || now - firstSend.get(s.part()) <= c.repeatWindow(), "keyed part sent after its window");
            }
            if (!tried.isEmpty()) {
                extra.add(now);
                if (set.rules().hasBudget()) {
                    long from = now - set.rules().budgetWindow();
                    long used = extra.stream().filter(t -> t >= from).count();
                    long had = taken.stream().filter(t -> t > from).count();
                    assertTrue(used <= set.rules().budgetBase() + set.rules().budgetShare() * had, "over the budget");
                }
            }
            if (neverRan(s.part())) {
                firstSend.put(s.part(), now);
            }
            out.add(new Out(s.part(), tried.size(), s.replica(), now));
            tried.add(null);
        }

        List<Long> overdue(long now) {
            return ends.entrySet().stream().filter(e -> e.getValue() + set.rules().answerSlack() < now
                    && open.values().stream().anyMatch(q -> q.query() == e.getKey())).map(Map.Entry::getKey).toList();
        }
    }
}
