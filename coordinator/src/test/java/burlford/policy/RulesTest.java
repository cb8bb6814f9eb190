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

/** Tests the rules of the decision module: each rule on its own, then all of them under random events from a seed. */
class RulesTest {

    private static final long MS = Fixture.MS;
    // Indices of the query classes of the fixture: one class for each effect.
    private static final int SAFE = 0;
    private static final int KEYED = 1;
    private static final int UNSAFE = 2;

    private long now = Fixture.START_US;
    private Decide module;

    private List<Action> roundAt(long timeMs, List<? extends Event> events) {
        now = Fixture.START_US + timeMs * MS;
        return module.round(now, new ArrayList<>(events));
    }

    private void startModule(Fixture fixture) {
        module = new Decide(fixture.settings(), 3);
        roundAt(0, List.of(Fixture.listUpdate(Fixture.readyServer(11, 0), Fixture.readyServer(12, 1),
                Fixture.readyServer(13, 2))));
    }

    private Send sendOnePart(int queryClass) {
        return Fixture.filterByType(roundAt(1, Fixture.queryEvents(1, queryClass, 7, 0)), Send.class).get(0);
    }

    /** Guards against keeping a query that no server ever received until its deadline: a late refusal costs worth. */
    @Test
    void queryThatNoServerReceivedIsRefusedByHalfItsTime() {
        startModule(Fixture.withDefaults());
        roundAt(1, List.of(new Aggregator.ListUpdate(Aggregator.ListKind.WHOLE, List.of())));
        List<Action> actions = new ArrayList<>(roundAt(10, Fixture.queryEvents(1, SAFE, 7, 0)));
        for (int timeMs = 35; timeMs <= 3010; timeMs += 25) {
            actions.addAll(roundAt(timeMs, List.of()));
        }
        assertEquals(1, Fixture.filterByType(actions, Refuse.class).size());
    }

    @Test
    void drainingAndGoneServersReceiveNoParts() {
        startModule(Fixture.withDefaults());
        roundAt(1, List.of(new Aggregator.ListUpdate(Aggregator.ListKind.CHANGES, List.of(
                new ListEntry(11, 0, 0, Status.DRAINING, 1, 0), new ListEntry(12, 0, 1, Status.GONE, 1, 0)))));
        for (int i = 0; i < 20; i++) {
            for (Send s : Fixture.filterByType(roundAt(2 + i, Fixture.queryEvents(100 + 10 * i, SAFE, i, 0)),
                    Send.class)) {
                assertEquals(13, s.replica());
            }
        }
    }

    @Test
    void partIsSentOnlyToHoldersOfItsShard() {
        Fixture fixture = Fixture.withDefaults();
        fixture.reach = 1;
        startModule(fixture);
        for (int i = 0; i < 9; i++) {
            assertEquals(11 + i % 3, Fixture.filterByType(
                    roundAt(1 + i, Fixture.queryEvents(100 + 10 * i, SAFE, i, i % 3)), Send.class).get(0).replica());
        }
    }

    @Test
    void unsafePartIsSentAgainOnlyIfItNeverRan() {
        startModule(Fixture.withDefaults());
        Send send = sendOnePart(UNSAFE);
        List<Action> actions = roundAt(5, List.of(Fixture.attemptEnded(2, 0, send.replica(), Outcome.FULL, MS)));
        assertEquals(1, Fixture.filterByType(actions, Send.class).size());
        actions = roundAt(9, List.of(Fixture.attemptEnded(2, 1,
                Fixture.filterByType(actions, Send.class).get(0).replica(), Outcome.ERROR, MS)));
        for (long timeMs = 20; timeMs < 6000; timeMs += 20) {
            assertEquals(0, Fixture.filterByType(actions, Send.class).size()
                    + Fixture.filterByType(actions, Refuse.class).size());
            if (!Fixture.filterByType(actions, Fail.class).isEmpty()) {
                return;
            }
            actions = roundAt(timeMs, List.of());
        }
        throw new AssertionError("the query did not fail");
    }

    @Test
    void keyedPartIsSentAgainOnlyWithinItsRepeatWindow() {
        startModule(Fixture.withDefaults());
        Send send = sendOnePart(KEYED);
        List<Action> actions = roundAt(100, List.of(Fixture.attemptEnded(2, 0, send.replica(), Outcome.DROPPED, MS)));
        assertEquals(1, Fixture.filterByType(actions, Send.class).size());
        startModule(Fixture.withDefaults());
        send = sendOnePart(KEYED);
        actions = roundAt(1500, List.of(Fixture.attemptEnded(2, 0, send.replica(), Outcome.DROPPED, MS)));
        assertEquals(0, Fixture.filterByType(actions, Send.class).size());
    }

    @Test
    void twoAttemptsOfAPartAreInFlightOnlyIfHedgingIsAllowed() {
        for (boolean mayHedge : new boolean[] {false, true}) {
            Fixture fixture = Fixture.withDefaults();
            fixture.mayHedge = mayHedge;
            startModule(fixture);
            sendOnePart(SAFE);
            int sends = 0;
            int cancels = 0;
            for (long timeMs = 20; timeMs < 1900; timeMs += 20) {
                List<Action> actions = roundAt(timeMs, List.of());
                sends += Fixture.filterByType(actions, Send.class).size();
                cancels += Fixture.filterByType(actions, Cancel.class).size();
            }
            assertEquals(mayHedge ? 1 : 0, sends);
            // Without hedging the first attempt is cancelled, and nothing is sent before its end is reported.
            assertEquals(mayHedge ? 0 : 1, cancels);
        }
    }

    @Test
    void cancelledPartIsSentToAnotherServerInALaterRound() {
        startModule(Fixture.withDefaults());
        Send firstSend = sendOnePart(SAFE);
        long cancelledAtMs = 20;
        while (Fixture.filterByType(roundAt(cancelledAtMs, List.of()), Cancel.class).isEmpty()
                && cancelledAtMs < 1900) {
            cancelledAtMs += 20;
        }
        assertEquals(List.of(), Fixture.filterByType(roundAt(cancelledAtMs, List.of(Fixture.attemptEnded(2, 0,
                firstSend.replica(), Outcome.CANCELLED, cancelledAtMs * MS))), Send.class));
        List<Send> furtherSends = Fixture.filterByType(roundAt(cancelledAtMs + 30, List.of()), Send.class);
        assertEquals(1, furtherSends.size());
        assertTrue(furtherSends.get(0).replica() != firstSend.replica());
    }

    @Test
    void partIsNotSentMoreOftenThanAllowed() {
        Fixture fixture = Fixture.withDefaults();
        fixture.maxAttempts = 2;
        startModule(fixture);
        Send send = sendOnePart(SAFE);
        send = Fixture.filterByType(roundAt(5,
                List.of(Fixture.attemptEnded(2, 0, send.replica(), Outcome.ERROR, MS))), Send.class).get(0);
        List<Action> actions = roundAt(9, List.of(Fixture.attemptEnded(2, 1, send.replica(), Outcome.ERROR, MS)));
        assertTrue(Fixture.filterByType(actions, Send.class).isEmpty());
    }

    @Test
    void furtherAttemptsStayWithinTheBudget() {
        Fixture fixture = Fixture.withDefaults();
        fixture.budgetBase = 1;
        fixture.budgetShare = 0.5;
        startModule(fixture);
        Send send = sendOnePart(SAFE); // a query and a part came in: 1 + 0.5 * 2 further attempts
        for (int i = 0; i < 2; i++) {
            send = Fixture.filterByType(roundAt(5 + i,
                    List.of(Fixture.attemptEnded(2, i, send.replica(), Outcome.FULL, MS))), Send.class).get(0);
        }
        startModule(fixture);
        fixture.budgetShare = 0;
        startModule(fixture);
        send = sendOnePart(SAFE);
        send = Fixture.filterByType(roundAt(5, List.of(Fixture.attemptEnded(2, 0, send.replica(), Outcome.FULL, MS))),
                Send.class).get(0);
        assertTrue(Fixture.filterByType(roundAt(6,
                List.of(Fixture.attemptEnded(2, 1, send.replica(), Outcome.FULL, MS))), Send.class).isEmpty());
    }

    /**
     * Guards against overloading a server in slow start. Several instances with unequal traffic, each of which knows
     * only its own, all send to the same server. Within any overload window they may together send it no more than
     * overloadMultiple x capacity x cores x window, and still they have to use it long before it is warm.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 10, 30, 75})
    void serverInSlowStartIsUsedButNotOverloaded(int instances) {
        double cores = 2;
        double workPerPartMs = 200;
        for (int seed = 0; seed < 6; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Fixture fixture = Fixture.withDefaults();
            fixture.overloadWindow = 1000 * MS;
            fixture.reach = 1;
            fixture.instances = instances;
            List<Decide> modules = new ArrayList<>();
            for (int i = 0; i < instances; i++) {
                modules.add(new Decide(fixture.settings(), random.nextLong()));
                modules.get(i).round(Fixture.START_US, List.of(Fixture.listUpdate(
                        new ListEntry(11, 0, 0, Status.READY, 1, Fixture.START_US))));
            }
            List<Long> sendTimesMs = new ArrayList<>();
            int earlySends = 0;
            for (int timeMs = 10; timeMs < 10_000; timeMs += 10) {
                for (int i = 0; i < instances; i++) {
                    // The first instances get most of the queries: the i-th about 20 / i per second.
                    if (random.nextDouble() < 0.2 / Math.min(instances, 1 + i)) {
                        List<Event> events = new ArrayList<>(Fixture.queryEvents(10L * timeMs + 1, SAFE, 7, 0));
                        for (Send s : Fixture.filterByType(modules.get(i).round(Fixture.START_US + timeMs * MS,
                                events), Send.class)) {
                            sendTimesMs.add((long) timeMs);
                        }
                    }
                }
                double capacity = 0.2 + 0.8 * timeMs / 10_000;
                int windowStartMs = timeMs - 1000;
                double workSentMs = sendTimesMs.stream().filter(s -> s > windowStartMs).count() * workPerPartMs;
                assertTrue(workSentMs <= 2 * capacity * cores * 1000 + workPerPartMs,
                        "seed " + seed + ", at " + timeMs + " ms, work sent in the window: " + workSentMs);
                earlySends = timeMs < 6000 ? sendTimesMs.size() : earlySends;
            }
            assertTrue(earlySends >= 3, "seed " + seed + ": parts sent in the first 6 s: " + earlySends);
        }
    }

    @Test
    void queryIsAnsweredWholeOnlyWithAllParts() {
        startModule(Fixture.withDefaults());
        List<Send> sends = Fixture.filterByType(roundAt(1, Fixture.queryEvents(1, SAFE, 7, 0, 1)), Send.class);
        List<Action> actions = roundAt(5, List.of(Fixture.attemptEnded(2, 0, sends.get(0).replica(), Outcome.OK, MS)));
        assertTrue(Fixture.filterByType(actions, Answer.class).isEmpty());
        actions = roundAt(6, List.of(Fixture.attemptEnded(3, 0, sends.get(1).replica(), Outcome.OK, MS)));
        assertEquals(List.of(new Answer(1, true)), Fixture.filterByType(actions, Answer.class));
    }

    @Test
    void partialAnswerThatReachesTheFloorIsNotMarkedWhole() {
        Fixture fixture = Fixture.withDefaults();
        fixture.floor = 0.5;
        startModule(fixture);
        List<Send> sends = Fixture.filterByType(roundAt(1, Fixture.queryEvents(1, UNSAFE, 7, 0, 1)), Send.class);
        roundAt(5, List.of(Fixture.attemptEnded(2, 0, sends.get(0).replica(), Outcome.OK, MS)));
        List<Action> actions = new ArrayList<>();
        for (long timeMs = 20; timeMs < 6000; timeMs += 20) {
            actions.addAll(roundAt(timeMs, List.of()));
        }
        assertEquals(List.of(new Answer(1, false)), Fixture.filterByType(actions, Answer.class));
        assertTrue(Fixture.filterByType(actions, Fail.class).isEmpty());
    }

    @Test
    void secondStepIsNotAnsweredBeforeItsParts() {
        Fixture fixture = Fixture.withDefaults();
        fixture.followUp = 1;
        startModule(fixture);
        Send send = sendOnePart(SAFE);
        assertEquals(1, Fixture.filterByType(roundAt(5,
                List.of(Fixture.attemptEnded(2, 0, send.replica(), Outcome.OK, MS))), Answer.class).size());
        assertTrue(Fixture.filterByType(roundAt(9, List.of()), Answer.class).isEmpty());
        List<Action> actions = roundAt(10, List.of(new Aggregator.PartArrived(3, 1, 0, 1, 0, 7)));
        send = Fixture.filterByType(actions, Send.class).get(0);
        actions = roundAt(20, List.of(Fixture.attemptEnded(3, 0, send.replica(), Outcome.OK, MS)));
        assertEquals(List.of(new Answer(1, true)), Fixture.filterByType(actions, Answer.class));
    }

    /**
     * Guards against one client with more time left than the others raising the usual time left so far that the first
     * tries of the others look like retries.
     */
    @Test
    void oneClientWithMoreTimeLeftDoesNotShortenTheAimOfOthers() {
        startModule(Fixture.withDefaults());
        for (int i = 0; i < 3; i++) {
            roundAt(1 + i, List.of(new Aggregator.QueryArrived(10 + i, 10 + i, SAFE, 1,
                    (i == 1 ? 5900 : 4000) * MS, 0, false, 7, 0)));
        }
        long refusedAtMs = 0;
        for (long timeMs = 20; timeMs < 2600 && refusedAtMs == 0; timeMs += 20) {
            for (Refuse refusal : Fixture.filterByType(roundAt(timeMs, List.of()), Refuse.class)) {
                refusedAtMs = refusal.query() == 12 ? timeMs : refusedAtMs;
            }
        }
        assertTrue(refusedAtMs >= 2000, "refused at " + refusedAtMs + " ms, before its aim");
    }

    /** Guards against a new aim for a marked retry of a refused query: it has what is left of the first try's aim. */
    @Test
    void markedRetryKeepsTheAimOfItsFirstTry() {
        startModule(Fixture.withDefaults());
        roundAt(1, List.of(new Aggregator.QueryArrived(10, 10, SAFE, 1, 5000 * MS, 0, false, 7, 0)));
        boolean refused = false;
        for (long timeMs = 20; timeMs < 2600 && !refused; timeMs += 20) {
            refused = !Fixture.filterByType(roundAt(timeMs, List.of()), Refuse.class).isEmpty();
        }
        assertTrue(refused);
        List<Event> retry = new ArrayList<>();
        retry.add(new Aggregator.QueryArrived(20, 20, SAFE, 1, 5000 * MS, 0, true, 7, 0));
        retry.add(new Aggregator.PartArrived(21, 20, 0, 1, 0, 7));
        assertEquals(1, Fixture.filterByType(roundAt(2700, retry), Refuse.class).size());
        assertEquals(1, Fixture.filterByType(roundAt(2701, Fixture.queryEvents(30, SAFE, 8, 0)), Send.class).size());
    }

    @Test
    void failedListCallsAreRepeatedWithGrowingDelays() {
        Fixture fixture = Fixture.withDefaults();
        fixture.watchesList = true;
        startModule(fixture);
        List<Long> callTimesMs = new ArrayList<>();
        for (long timeMs = 1; timeMs < 20_000 && callTimesMs.size() < 4; timeMs += 5) {
            boolean asksForList = !Fixture.filterByType(roundAt(timeMs, callTimesMs.isEmpty() && timeMs == 1
                    ? List.of(new Aggregator.ListUpdate(Aggregator.ListKind.FAILED, List.of())) : List.of()),
                    WatchList.class).isEmpty();
            if (asksForList) {
                callTimesMs.add(timeMs);
                roundAt(timeMs + 1, List.of(new Aggregator.ListUpdate(Aggregator.ListKind.FAILED, List.of())));
            }
        }
        assertEquals(4, callTimesMs.size());
        assertTrue(callTimesMs.get(3) - callTimesMs.get(2) > 1000,
                "no growing delay between list calls: " + callTimesMs);
    }

    @Test
    void eventsWithUnknownIdsAreIgnoredAndABackwardClockIsRejected() {
        startModule(Fixture.withDefaults());
        List<Action> actions = roundAt(1, List.of(Fixture.attemptEnded(99, 0, 11, Outcome.OK, MS),
                new Aggregator.ClientLeft(98), new Aggregator.PartArrived(97, 96, 0, 1, 0, 0),
                new Aggregator.Alarm(95), new Aggregator.ProbeEnded(94, Outcome.OK, MS, new double[] {1}),
                Fixture.listUpdate()));
        assertTrue(Fixture.filterByType(actions, Send.class).isEmpty());
        assertFalse(Fixture.filterByType(roundAt(2, Fixture.queryEvents(1, SAFE, 0, 0)), Refuse.class).size() > 1);
        assertThrows(IllegalArgumentException.class, () -> module.round(now - 1, List.of()));
    }

    /** Feeds random events to the module and checks every action against the rules, with state tracked separately. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11})
    void rulesHoldUnderRandomEvents(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Fixture fixture = Fixture.withDefaults();
        fixture.mayHedge = random.nextBoolean();
        fixture.budgetBase = random.nextBoolean() ? 3 : -1;
        fixture.budgetShare = 0.1;
        fixture.reach = 1 + random.nextInt(3);
        fixture.cells = 4;
        fixture.mayProbe = random.nextBoolean();
        fixture.floor = random.nextBoolean() ? 1 : 0.5;
        fixture.lateWorth = random.nextBoolean() ? 0 : 0.1;
        fixture.callWork = random.nextBoolean() ? 0 : 50 * MS;
        Aggregator.Settings settings = fixture.settings();
        module = new Decide(settings, seed);
        RuleChecker checker = new RuleChecker(settings, fixture.mayHedge);
        List<Event> events = new ArrayList<>();
        List<ListEntry> servers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            servers.add(Fixture.readyServer(20 + i, i % 4));
        }
        events.add(Fixture.listUpdate(servers.toArray(ListEntry[]::new)));
        long nextId = 1;
        for (int step = 0; step < 4000; step++) {
            now += 1 + random.nextInt(20_000);
            if (step < 3000 && random.nextInt(4) == 0) {
                int parts = 1 + random.nextInt(4);
                int[] shards = random.ints(parts, 0, 4).toArray();
                events.addAll(Fixture.queryEvents(nextId, random.nextInt(3), random.nextInt(50), shards));
                nextId += 1 + parts;
            }
            if (random.nextInt(60) == 0) {
                int i = random.nextInt(8);
                Status status = Status.values()[random.nextInt(3)];
                events.add(new Aggregator.ListUpdate(Aggregator.ListKind.CHANGES,
                        List.of(new ListEntry(20 + i, 0, i % 4, status, 1, random.nextBoolean() ? 0 : now))));
            }
            checker.endRandomAttempts(random, events, now);
            checker.recordEvents(now, events);
            checker.checkActions(now, module.round(now, events));
            events.clear();
        }
        assertTrue(checker.sendCount > 100, "too few sends to test the rules: " + checker.sendCount);
        assertEquals(List.of(), checker.queriesWithoutFinalAnswer(now), "queries without a final answer");
    }

    /** Checks actions against the rules. Tracks the state that the rules refer to independently of the module. */
    private static final class RuleChecker {
        record SentAttempt(long part, int number, long server, long sentAt) { }

        final Aggregator.Settings settings;
        final boolean mayHedge;
        final Map<Long, Aggregator.QueryArrived> openQueries = new LinkedHashMap<>();
        final Map<Long, Long> deadlineByQuery = new LinkedHashMap<>();
        final Map<Long, Aggregator.PartArrived> parts = new LinkedHashMap<>();
        final Map<Long, List<Outcome>> outcomesByPart = new LinkedHashMap<>();
        final Map<Long, Long> firstSendAt = new LinkedHashMap<>();
        final Map<Long, Status> statusByServer = new LinkedHashMap<>();
        final List<SentAttempt> inFlight = new ArrayList<>();
        final List<Long> furtherAttemptTimes = new ArrayList<>();
        final List<Long> arrivalTimes = new ArrayList<>();
        int sendCount;

        RuleChecker(Aggregator.Settings settings, boolean mayHedge) {
            this.settings = settings;
            this.mayHedge = mayHedge;
        }

        void endRandomAttempts(SplittableRandom random, List<Event> events, long now) {
            for (SentAttempt attempt : new ArrayList<>(inFlight)) {
                if (random.nextInt(30) == 0) {
                    Outcome outcome = random.nextInt(3) > 0 ? Outcome.OK
                            : Outcome.values()[random.nextInt(Outcome.values().length)];
                    events.add(Fixture.attemptEnded(attempt.part, attempt.number, attempt.server, outcome,
                            now - attempt.sentAt,
                            random.nextInt(3) == 0 ? new double[0] : new double[] {random.nextInt(9)}));
                    inFlight.remove(attempt);
                    outcomesByPart.get(attempt.part).set(attempt.number, outcome);
                }
            }
        }

        void recordEvents(long now, List<Event> events) {
            for (Event event : events) {
                if (event instanceof Aggregator.QueryArrived query) {
                    openQueries.put(query.number(), query);
                    deadlineByQuery.put(query.query(), now + query.timeLeft());
                    arrivalTimes.add(now);
                } else if (event instanceof Aggregator.PartArrived part) {
                    parts.put(part.part(), part);
                    outcomesByPart.put(part.part(), new ArrayList<>());
                    arrivalTimes.add(now);
                } else if (event instanceof Aggregator.ListUpdate update) {
                    update.entries().forEach(l -> statusByServer.put(l.replica(), l.status()));
                }
            }
        }

        void checkActions(long now, List<Action> actions) {
            for (Action action : actions) {
                if (action instanceof Send send) {
                    checkSend(now, send);
                } else if (action instanceof Answer finalAnswer) {
                    double weight = 0;
                    for (Aggregator.PartArrived part : parts.values()) {
                        weight += part.number() == finalAnswer.query()
                                && outcomesByPart.get(part.part()).contains(Outcome.OK) ? part.weight() : 0;
                    }
                    Aggregator.QueryArrived query = closeQuery(finalAnswer.query());
                    assertTrue(weight >= settings.classes().get(query.queryClass()).floor() - 1e-4,
                            "answered below the floor");
                    assertTrue(!finalAnswer.whole() || weight >= 1 - 1e-4, "partial answer marked whole");
                } else if (action instanceof Refuse finalAnswer) {
                    Aggregator.QueryArrived query = closeQuery(finalAnswer.query());
                    if (settings.classes().get(query.queryClass()).effect() != Aggregator.Effect.SAFE) {
                        for (Aggregator.PartArrived part : parts.values()) {
                            assertTrue(part.number() != query.number() || neverRan(part.part()),
                                    "refused although a part may have run");
                        }
                    }
                } else if (action instanceof Fail finalAnswer) {
                    closeQuery(finalAnswer.query());
                }
            }
        }

        private boolean neverRan(long part) {
            return outcomesByPart.get(part).stream().allMatch(o -> o != null && o.neverRan);
        }

        private Aggregator.QueryArrived closeQuery(long query) {
            Aggregator.QueryArrived closed = openQueries.remove(query);
            assertTrue(closed != null, "final answer to a query that is not open");
            return closed;
        }

        private void checkSend(long now, Send send) {
            sendCount++;
            Aggregator.PartArrived part = parts.get(send.part());
            Aggregator.QueryArrived query = openQueries.get(part.number());
            assertTrue(query != null, "sent after its query ended");
            Aggregator.QueryClass queryClass = settings.classes().get(query.queryClass());
            assertEquals(Status.READY, statusByServer.get(send.replica()), "sent to a server that is not ready");
            assertTrue(Math.floorMod((send.replica() - 20) % 4 - part.shard(), 4) < settings.reach(),
                    "sent to a server that does not hold the shard");
            List<Outcome> outcomes = outcomesByPart.get(send.part());
            assertTrue(outcomes.size() < settings.allowed().maxAttempts(), "too many attempts");
            assertFalse(outcomes.contains(Outcome.OK), "sent after it was answered");
            boolean attemptInFlight = outcomes.contains(null);
            assertTrue(!attemptInFlight || mayHedge, "sent while another attempt is in flight");
            if (!neverRan(send.part())) {
                assertTrue(queryClass.effect() != Aggregator.Effect.UNSAFE,
                        "unsafe part sent again although it may have run");
                assertTrue(queryClass.effect() != Aggregator.Effect.KEYED
                        || now - firstSendAt.get(send.part()) <= queryClass.repeatWindow(),
                        "keyed part sent again after its repeat window");
            }
            if (!outcomes.isEmpty()) {
                furtherAttemptTimes.add(now);
                if (settings.rules().hasBudget()) {
                    long windowStart = now - settings.rules().budgetWindow();
                    long furtherAttempts = furtherAttemptTimes.stream().filter(t -> t >= windowStart).count();
                    long arrivals = arrivalTimes.stream().filter(t -> t > windowStart).count();
                    assertTrue(furtherAttempts <= settings.rules().budgetBase()
                            + settings.rules().budgetShare() * arrivals, "further attempts exceed the budget");
                }
            }
            if (neverRan(send.part())) {
                firstSendAt.put(send.part(), now);
            }
            inFlight.add(new SentAttempt(send.part(), outcomes.size(), send.replica(), now));
            outcomes.add(null);
        }

        List<Long> queriesWithoutFinalAnswer(long now) {
            return deadlineByQuery.entrySet().stream()
                    .filter(e -> e.getValue() + settings.rules().answerSlack() < now
                            && openQueries.values().stream().anyMatch(q -> q.query() == e.getKey()))
                    .map(Map.Entry::getKey).toList();
        }
    }
}
