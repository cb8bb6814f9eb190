package burlford.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlford.policy.Aggregator.Action;
import burlford.policy.Aggregator.Event;
import burlford.policy.Aggregator.ListEntry;
import burlford.policy.Aggregator.Outcome;
import burlford.policy.Aggregator.Probe;
import burlford.policy.Aggregator.ProbeEnded;
import burlford.policy.Aggregator.Refuse;
import burlford.policy.Aggregator.Send;
import burlford.policy.Aggregator.Status;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** One test for each kind of trouble that was found: each fails without the defence against it. */
class FaultHandlingTest {

    private static final long MS = Fixture.MS;
    private static final int SAFE = 0;
    private static final int KEYED = 1;

    private Decide decide;

    private List<Action> at(long ms, List<? extends Event> events) {
        return decide.round(Fixture.START_US + ms * MS, new ArrayList<>(events));
    }

    private void start(Fixture f) {
        decide = new Decide(f.settings(), 3);
        at(0, List.of(Fixture.listUpdate(Fixture.server(11, 0), Fixture.server(12, 1), Fixture.server(13, 2))));
    }

    private static Fixture probing() {
        Fixture f = Fixture.withDefaults();
        f.mayProbe = true;
        return f;
    }

    private static Fixture oneHolder() {
        Fixture f = Fixture.withDefaults();
        f.reach = 1;
        return f;
    }

    private static List<Send> sends(List<Action> actions) {
        return Fixture.filterByType(actions, Send.class);
    }

    /** The queue is reported by probes; a standing or hung server must not get the part meanwhile. */
    @Test
    void partGoesElsewhereWhenTheServerAskedDoesNotAnswer() {
        start(probing());
        List<Action> first = at(1, Fixture.queryEvents(1, SAFE, 7, 0));
        assertTrue(sends(first).isEmpty());
        long asked = Fixture.filterByType(first, Probe.class).get(0).replica();
        List<Send> sent = new ArrayList<>();
        for (long t = 5; t < 200 && sent.isEmpty(); t += 5) {
            List<Event> in = new ArrayList<>();
            for (Probe p : Fixture.filterByType(first, Probe.class)) {
                if (p.replica() != asked) {
                    in.add(new ProbeEnded(p.replica(), Outcome.OK, MS, new double[] {0}));
                }
            }
            first = at(t, in);
            sent.addAll(sends(first));
        }
        assertEquals(1, sent.size());
        assertNotEquals(asked, sent.get(0).replica());
    }

    /** A probe's work is always the same: one that takes several times the usual shows a slow server at once. */
    @Test
    void partGoesElsewhereWhenTheProbeTakesManyTimesTheUsual() {
        start(probing());
        long id = 10;
        for (int i = 0; i < 20; i++) {
            List<Event> in = new ArrayList<>();
            for (long s = 11; s <= 13; s++) {
                in.add(new ProbeEnded(s, Outcome.OK, MS, new double[] {0}));
            }
            at(10 + i, in);
        }
        List<Action> out = at(1000, Fixture.queryEvents(id, SAFE, 7, 0));
        long asked = Fixture.filterByType(out, Probe.class).get(0).replica();
        out = at(1005, List.of(new ProbeEnded(asked, Outcome.OK, 6 * MS, new double[] {0})));
        for (Probe p : Fixture.filterByType(out, Probe.class)) {
            assertNotEquals(asked, p.replica());
            out = at(1010, List.of(new ProbeEnded(p.replica(), Outcome.OK, MS, new double[] {0})));
        }
        assertEquals(1, sends(out).size());
        assertNotEquals(asked, sends(out).get(0).replica());
    }

    /** A queue reported once says little of the queue seconds later. */
    @Test
    void oldReportFades() {
        start(Fixture.withDefaults());
        List<Event> in = new ArrayList<>();
        for (long s = 11; s <= 13; s++) {
            in.add(new ProbeEnded(s, Outcome.OK, MS, new double[] {s == 11 ? 9 : 1}));
        }
        at(1, in);
        Map<Long, Integer> to = new HashMap<>();
        for (int i = 0; i < 30; i++) {
            for (Send s : sends(at(8000 + i, Fixture.queryEvents(10L * (i + 1), SAFE, i, 0)))) {
                to.merge(s.replica(), 1, Integer::sum);
            }
        }
        assertTrue(to.getOrDefault(11L, 0) >= 7, "still kept away: " + to);
    }

    /** Every part of it was reset and none answered: the query is at fault, and more servers must not be lost. */
    @Test
    void queryWhosePartsAreAllResetIsGivenUpAndItsKeyTurnedAway() {
        start(Fixture.withDefaults());
        List<Send> sent = sends(at(1, Fixture.queryEvents(1, SAFE, 7, 0, 1, 2)));
        List<Event> resets = new ArrayList<>();
        for (Send s : sent) {
            resets.add(Fixture.attemptEnded(s.part(), 0, s.replica(), Outcome.DROPPED, 40 * MS));
        }
        List<Action> out = at(41, resets);
        assertTrue(sends(out).isEmpty(), "sent again: " + out);
        assertEquals(1, Fixture.filterByType(out, Refuse.class).size());
        assertEquals(1, Fixture.filterByType(at(300, Fixture.queryEvents(10, SAFE, 7, 0, 1, 2)), Refuse.class).size());
        assertEquals(3, sends(at(301, Fixture.queryEvents(20, SAFE, 8, 0, 1, 2))).size());
    }

    /** Queries that silent readers kept to the end must not have all others shed for seconds. */
    @Test
    void queriesKeptBySilentReadersDoNotShedAllOthers() {
        start(oneHolder());
        for (int i = 0; i < 200; i++) {
            long number = 10L * (i + 1);
            for (Send s : sends(at(10000L * i + 1, Fixture.queryEvents(number, SAFE, i, 0)))) {
                at(10000L * i + 21, List.of(Fixture.attemptEnded(s.part(), 0, 11, Outcome.OK, 20 * MS)));
            }
        }
        long t = 10000L * 200;
        List<Event> late = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            sends(at(t, Fixture.queryEvents(10000L + 10 * i, SAFE, i, 0)))
                    .forEach(s -> late.add(Fixture.attemptEnded(s.part(), 0, 11, Outcome.OK, 1900 * MS)));
        }
        at(t + 1900, late);
        assertEquals(1, sends(at(t + 1901, Fixture.queryEvents(90000L, SAFE, 7, 0))).size());
    }

    /** Some clients wait less than others: with readers idle their queries are no later tries that come too late. */
    @Test
    void shortTimeLeftIsServedWhileThereIsRoom() {
        start(Fixture.withDefaults());
        for (int i = 0; i < 20; i++) {
            for (Send s : sends(at(100L * i + 1, Fixture.queryEvents(10L * (i + 1), SAFE, i, 0)))) {
                at(100L * i + 21, List.of(Fixture.attemptEnded(s.part(), 0, s.replica(), Outcome.OK, 20 * MS)));
            }
        }
        List<Event> hasty = new ArrayList<>(List.of(new Aggregator.QueryArrived(900, 900, SAFE, 1, 600 * MS, 0, false,
                7, 0), new Aggregator.PartArrived(901, 900, 0, 1, 0, 7)));
        assertEquals(1, sends(at(3000, hasty)).size());
    }

    /** One part reset, the other failed: nothing is sent again, so the client is not kept until its time is up. */
    @Test
    void queryThatSendsNothingAgainIsAnsweredAtOnce() {
        start(Fixture.withDefaults());
        List<Send> sent = sends(at(1, Fixture.queryEvents(1, SAFE, 7, 0, 1)));
        at(20, List.of(Fixture.attemptEnded(sent.get(0).part(), 0, sent.get(0).replica(), Outcome.DROPPED, MS)));
        List<Action> out = at(30, List.of(Fixture.attemptEnded(sent.get(1).part(), 0, sent.get(1).replica(),
                Outcome.ERROR, MS)));
        assertEquals(1, Fixture.filterByType(out, Refuse.class).size(), "" + out);
    }

    /** A victim of another's crash is told from it by its answered parts, and goes on. */
    @Test
    void resetPartIsSentAgainOnceAnotherWasAnswered() {
        start(Fixture.withDefaults());
        List<Send> sent = sends(at(1, Fixture.queryEvents(1, SAFE, 7, 0, 1, 2)));
        assertTrue(sends(at(20, List.of(Fixture.attemptEnded(2, 0, sent.get(0).replica(), Outcome.DROPPED, MS))))
                .isEmpty());
        List<Send> again = sends(at(60, List.of(Fixture.attemptEnded(3, 0, sent.get(1).replica(), Outcome.OK,
                59 * MS))));
        assertEquals(1, again.size());
        assertEquals(2, again.get(0).part());
    }

    /** While servers die unannounced, a query that kills must not take one server a part. */
    @Test
    void onePartLeadsWhileServersDie() {
        start(Fixture.withDefaults());
        at(1, List.of(new Aggregator.ListUpdate(Aggregator.ListKind.CHANGES,
                List.of(new ListEntry(12, 0, 1, Status.READY, 1, Fixture.START_US)))));
        List<Send> sent = sends(at(2, Fixture.queryEvents(1, SAFE, 7, 0, 1, 2)));
        assertEquals(1, sent.size());
        Send s = sent.get(0);
        assertEquals(2, sends(at(60, List.of(Fixture.attemptEnded(s.part(), 0, s.replica(), Outcome.OK, 58 * MS))))
                .size());
    }

    /** A server silent for one class and sound for the other is kept out for the one only. */
    @Test
    void silenceForOneClassDoesNotKeepTheServerFromOthers() {
        start(Fixture.withDefaults());
        long id = 100;
        int[] to = new int[2];
        for (int i = 0; i < 40; i++) {
            List<Event> in = new ArrayList<>();
            Map<Long, Integer> classOf = new HashMap<>();
            for (int k = 0; k < 6; k++) {
                in.addAll(Fixture.queryEvents(id, k == 0 ? SAFE : KEYED, i, 0));
                classOf.put(id + 1, k == 0 ? SAFE : KEYED);
                id += 10;
            }
            List<Event> ends = new ArrayList<>();
            for (Send s : sends(at(200L * i + 1, in))) {
                int cls = classOf.get(s.part());
                boolean lost = s.replica() == 11 && cls == SAFE;
                to[cls] += i >= 10 && s.replica() == 11 ? 1 : 0;
                ends.add(Fixture.attemptEnded(s.part(), 0, s.replica(), lost ? Outcome.ERROR : Outcome.OK, 190 * MS));
                ends.add(new Aggregator.ClientLeft(s.part() - 1));
            }
            at(200L * i + 191, ends);
        }
        assertTrue(to[SAFE] <= 3, "sent to the silent server: " + to[SAFE]);
        assertTrue(to[KEYED] >= 30, "kept from the sound class: " + to[KEYED]);
    }

    /** A holder that leaves must not move the home of keys whose home stays. */
    @Test
    void homesStayWhenAnotherHolderLeaves() {
        int moved = 0;
        for (long key = 1; key <= 60; key++) {
            start(Fixture.withDefaults());
            long before = sends(at(1, Fixture.queryEvents(1, SAFE, key, 0))).get(0).replica();
            long gone = before == 13 ? 12 : 13;
            decide = new Decide(Fixture.withDefaults().settings(), 5);
            List<ListEntry> left = new ArrayList<>();
            for (long s = 11; s <= 13; s++) {
                if (s != gone) {
                    left.add(Fixture.server(s, (int) s - 11));
                }
            }
            at(0, List.of(Fixture.listUpdate(left.toArray(ListEntry[]::new))));
            moved += sends(at(1, Fixture.queryEvents(1, SAFE, key, 0))).get(0).replica() == before ? 0 : 1;
        }
        assertEquals(0, moved);
    }

    /** An answer given at the aim reaches the client late: a partial one goes out just before it. */
    @Test
    void partialAnswerIsGivenInTimeForTheAim() {
        for (double late : new double[] {0, 0.1}) {
            Fixture f = Fixture.withDefaults();
            f.floor = 0.6;
            f.lateWorth = late;
            start(f);
            List<Send> sent = sends(at(1, Fixture.queryEvents(1, SAFE, 7, 0, 1, 2)));
            List<Event> in = new ArrayList<>();
            for (Send s : sent.subList(0, 2)) {
                in.add(Fixture.attemptEnded(s.part(), 0, s.replica(), Outcome.OK, 99 * MS));
            }
            List<Action> out = at(100, in);
            long t = 100;
            while (Fixture.filterByType(out, Aggregator.Answer.class).isEmpty() && t < 3000) {
                assertTrue(Fixture.filterByType(out, Refuse.class).isEmpty(), "refused what may be answered in part");
                t += 5;
                out = at(t, List.of());
            }
            assertTrue(t > 1700 && t < 1990, "answered at " + t + " ms, the aim is 2001");
            assertEquals(false, Fixture.filterByType(out, Aggregator.Answer.class).get(0).whole());
        }
    }

    /** Rounds of idle time and then a query: counts the sends whose server's idle connection was closed first. */
    private int closedFirst(int rounds, boolean newOnesAnswer) {
        start(Fixture.withDefaults());
        int closed = 0;
        for (int i = 0; i < rounds; i++) {
            long t = 3000L * i + 1;
            List<Action> out = at(t, Fixture.queryEvents(10L * (i + 1), SAFE, i, 0, 1, 2));
            List<Event> ends = new ArrayList<>();
            for (Send s : sends(out)) {
                boolean drop = out.indexOf(new Aggregator.CloseIdleConnections(s.replica())) >= 0
                        && out.indexOf(new Aggregator.CloseIdleConnections(s.replica())) < out.indexOf(s);
                closed += drop && i >= rounds - 5 ? 1 : 0;
                if (i < 3 || drop && newOnesAnswer) {
                    ends.add(Fixture.attemptEnded(s.part(), 0, s.replica(), Outcome.OK, 199 * MS));
                }
            }
            at(t + 199, ends);
            for (long w = 225; w < 2100; w += 25) {
                for (Aggregator.Cancel c : Fixture.filterByType(at(t + w, List.of()), Aggregator.Cancel.class)) {
                    at(t + w, List.of(Fixture.attemptEnded(c.part(), c.attempt(), 0, Outcome.CANCELLED, w * MS)));
                }
            }
        }
        return closed;
    }

    /** What is sent after a pause gets no answer while new connections are served: they are closed before use. */
    @Test
    void idleConnectionsThatWereDroppedUnseenAreClosedBeforeUse() {
        int closed = closedFirst(20, true);
        assertTrue(closed >= 10, "closed before use: " + closed);
    }

    /** Servers that swallow everything do so on new connections too: closing would only cost. */
    @Test
    void silentServersAreNotTakenForDroppedConnections() {
        int closed = closedFirst(20, false);
        assertTrue(closed <= 4, "closed before use: " + closed);
    }

    /** Busy servers whose reports never come show by what parts took there: what would be late is turned away. */
    @Test
    void admissionCountsHowSlowServersProved() {
        Fixture f = oneHolder();
        f.lateWorth = 0.1;
        start(f);
        int slowTaken = 0;
        for (int i = 0; i < 60; i++) {
            boolean slow = i >= 30 && i % 3 == 0;
            long t = 20L * i + 1;
            for (Send s : sends(at(t, Fixture.queryEvents(10L * (i + 1), SAFE, i, slow ? 0 : 1 + i % 2)))) {
                slowTaken += slow && i >= 48 ? 1 : 0;
                at(t + 1, List.of(Fixture.attemptEnded(s.part(), 0, s.replica(), Outcome.OK, slow ? 3500 * MS
                        : 250 * MS, 0)));
            }
        }
        assertTrue(slowTaken <= 2, "sent to the slow server: " + slowTaken + " of 4");
    }

    /** Turned away as full is a report of a long queue: later queries that need that server are shed at once. */
    @Test
    void fullCountsAsAReportOfALongQueue() {
        Fixture f = oneHolder();
        start(f);
        int sent = 0;
        for (int i = 0; i < 6; i++) {
            List<Send> next = sends(at(10L * i + 1, Fixture.queryEvents(10L * (i + 1), SAFE, i, 0)));
            for (int k = 1; !next.isEmpty(); k++) {
                sent += i >= 4 ? 1 : 0;
                Send s = next.get(0);
                next = sends(at(10L * i + 1 + k, List.of(Fixture.attemptEnded(s.part(), k - 1, 11, Outcome.FULL, MS))));
            }
        }
        assertEquals(0, sent, "sent to the full server");
    }

    /** Parts turned away one after the other doubled the queue each time, to 350,000 parts: shed for good. */
    @Test
    void queueOfAServerThatTurnsAwayIsBounded() {
        Fixture f = oneHolder();
        start(f);
        List<Send> out = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            out.addAll(sends(at(i + 1, Fixture.queryEvents(10L * (i + 1), SAFE, i, 0))));
        }
        Map<Long, Integer> attempts = new HashMap<>();
        for (int k = 0; !out.isEmpty(); k++) {
            Send s = out.remove(out.size() - 1);
            int attempt = attempts.merge(s.part(), 1, Integer::sum) - 1;
            out.addAll(sends(at(20 + k, List.of(Fixture.attemptEnded(s.part(), attempt, 11, Outcome.FULL, MS)))));
        }
        at(6000, List.of());
        assertEquals(1, sends(at(6001, Fixture.queryEvents(1000, SAFE, 100, 0))).size());
    }

    /**
     * Parts turned away together double the queue once: of a server that held four it is not believed to be hundreds.
     */
    @Test
    void partsTurnedAwayTogetherAreOneReport() {
        Fixture f = oneHolder();
        f.maxAttempts = 1;
        start(f);
        List<Send> sent = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            sent.addAll(sends(at(i + 1, Fixture.queryEvents(10L * (i + 1), SAFE, i, 0))));
        }
        sent.forEach(s -> at(20, List.of(Fixture.attemptEnded(s.part(), 0, 11, Outcome.FULL, MS))));
        assertEquals(1, sends(at(30, Fixture.queryEvents(100, SAFE, 100, 0))).size());
    }

    /** A server that errs at once looks idle and kept its load low: all attempts of a part went to it within 2 ms. */
    @Test
    void furtherAttemptsGoToHoldersThatHaveNotFailedThePart() {
        Fixture f = Fixture.withDefaults();
        start(f);
        Map<Long, Long> failed = new HashMap<>();
        for (int i = 0; i < 30; i++) {
            List<Send> next = sends(at(i + 1, Fixture.queryEvents(10L * (i + 1), SAFE, i, 0)));
            if (i % 3 > 0 && next.get(0).replica() == 11) {
                at(i + 1, List.of(Fixture.attemptEnded(next.get(0).part(), 0, 11, Outcome.OK, 20 * MS)));
                next = List.of();
            }
            for (int k = 0; !next.isEmpty() && next.get(0).replica() == 11; k++) {
                failed.merge(next.get(0).part(), 1L, Long::sum);
                next = sends(at(i + 1, List.of(Fixture.attemptEnded(next.get(0).part(), k, 11, Outcome.ERROR, MS))));
            }
        }
        assertTrue(!failed.isEmpty() && failed.values().stream().allMatch(n -> n == 1), "" + failed);
    }

    /**
     * Where failures cost no time a server that fails every other part still relieves busy ones, but for last attempts.
     */
    @Test
    void failuresAtOnceCostLessThanLateOnes() {
        assertTrue(failed(1) > 1.5 * failed(700), "at once " + failed(1) + ", late " + failed(700));
    }

    /** Parts that came to nothing at a server that fails every other one after so long, in 40 rounds of 30. */
    private int failed(long after) {
        start(Fixture.withDefaults());
        int failed = 0;
        for (long i = 0; i < 40; i++) {
            List<Send> out = new ArrayList<>();
            for (int k = 0; k < 30; k++) {
                out.addAll(sends(at(1000 * i + 1, Fixture.queryEvents(1000 * i + 10 * k + 10, SAFE, 30 * i + k + 1,
                        0))));
            }
            List<Event> ends = new ArrayList<>();
            for (Send s : out) {
                boolean fails = s.replica() == 11 && s.part() % 20 > 9;
                failed += fails ? 1 : 0;
                ends.add(Fixture.attemptEnded(s.part(), 0, s.replica(), fails ? Outcome.ERROR : Outcome.OK,
                        (fails ? after : 100) * MS));
            }
            List<Event> again = new ArrayList<>();
            sends(at(1000 * i + 101, ends)).forEach(s -> again.add(Fixture.attemptEnded(s.part(), 1, s.replica(),
                    Outcome.OK, 100 * MS)));
            at(1000 * i + 201, again);
        }
        return failed;
    }

    /** A query one of whose parts used all its attempts cannot be answered: it ends at once, not at its aim. */
    @Test
    void lostQueryEndsAtOnce() {
        Fixture f = Fixture.withDefaults();
        f.maxAttempts = 2;
        start(f);
        List<Send> sent = sends(at(1, Fixture.queryEvents(1, SAFE, 7, 0, 1)));
        Send s = sent.get(0);
        Send again = sends(at(2, List.of(Fixture.attemptEnded(s.part(), 0, s.replica(), Outcome.FULL, MS)))).get(0);
        List<Action> out = at(3, List.of(Fixture.attemptEnded(s.part(), 1, again.replica(), Outcome.FULL, MS)));
        assertEquals(1, Fixture.filterByType(out, Refuse.class).size());
        assertEquals(1, Fixture.filterByType(out, Aggregator.Cancel.class).size());
    }

    /** Where enough other parts are left, the one whose holders would be late is not asked at all. */
    @Test
    void partThatWouldBeLateIsNotAskedWhereTheOthersAreEnough() {
        Fixture f = oneHolder();
        f.floor = 0.6;
        start(f);
        at(1, List.of(new ProbeEnded(11, Outcome.OK, MS, new double[] {90}), new ProbeEnded(12, Outcome.OK, MS,
                new double[] {0}), new ProbeEnded(13, Outcome.OK, MS, new double[] {0})));
        List<Send> sent = sends(at(2, Fixture.queryEvents(1, SAFE, 7, 0, 1, 2)));
        assertEquals(2, sent.size());
        assertTrue(sent.stream().noneMatch(s -> s.replica() == 11));
    }

    /** Where crossing zones has a price, an idle holder near by is the home. */
    @Test
    void homeIsNearWhereCrossingHasAPrice() {
        int far = 0;
        for (int key = 1; key <= 20; key++) {
            Fixture f = Fixture.withDefaults();
            f.crossZone = 0.04;
            decide = new Decide(f.settings(), 3);
            at(0, List.of(Fixture.listUpdate(new ListEntry(11, 1, 0, Status.READY, 1, 0),
                    new ListEntry(12, 0, 1, Status.READY, 1, 0), new ListEntry(13, 2, 2, Status.READY, 1, 0))));
            far += sends(at(1, Fixture.queryEvents(1, SAFE, key, 0))).get(0).replica() == 12 ? 0 : 1;
        }
        assertEquals(0, far);
    }

    /** Where clients mark their later tries, an unmarked query with little time left is a first one. */
    @Test
    void shortTimeLeftIsNoLaterTryWhereClientsMarkThem() {
        Fixture f = Fixture.withDefaults();
        f.clientsMarkRetries = true;
        start(f);
        at(1, Fixture.queryEvents(1, SAFE, 7, 0));
        at(2, List.of(Fixture.attemptEnded(2, 0, 11, Outcome.OK, MS)));
        List<Action> out = at(3, List.of(new Aggregator.QueryArrived(10, 10, SAFE, 1, 1500 * MS, 0, false, 8, 0),
                new Aggregator.PartArrived(11, 10, 0, 1, 0, 8)));
        assertEquals(1, sends(out).size(), "turned away: " + out);
    }

    /** A query turned away for a short queue is told when room is expected, not the longest time permitted. */
    @Test
    void comeBackTimeFollowsWhatIsKnown() {
        Fixture f = oneHolder();
        start(f);
        List<Long> told = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            told.addAll(Fixture.filterByType(at(1 + i, Fixture.queryEvents(10L * (i + 1), SAFE, i, 0)), Refuse.class)
                    .stream().map(Refuse::retryAfter).toList());
        }
        assertTrue(told.stream().anyMatch(t -> t > 0 && t < 500 * MS), "told to come back after " + told);
        assertTrue(told.stream().allMatch(t -> t > 0 && t <= 500 * MS), "told to come back after " + told);
    }
}
