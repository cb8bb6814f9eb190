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

/** Tests how the decision module handles faults. Each test fails without the code that handles its fault. */
class FaultHandlingTest {

    private static final long MS = Fixture.MS;
    // Indices of query classes of the fixture.
    private static final int SAFE = 0;
    private static final int KEYED = 1;

    private Decide module;

    private List<Action> roundAt(long timeMs, List<? extends Event> events) {
        return module.round(Fixture.START_US + timeMs * MS, new ArrayList<>(events));
    }

    private void startModule(Fixture fixture) {
        module = new Decide(fixture.settings(), 3);
        roundAt(0, List.of(Fixture.listUpdate(Fixture.readyServer(11, 0), Fixture.readyServer(12, 1),
                Fixture.readyServer(13, 2))));
    }

    private static Fixture withProbing() {
        Fixture fixture = Fixture.withDefaults();
        fixture.mayProbe = true;
        return fixture;
    }

    private static Fixture withOneHolderPerShard() {
        Fixture fixture = Fixture.withDefaults();
        fixture.reach = 1;
        return fixture;
    }

    private static List<Send> sendsIn(List<Action> actions) {
        return Fixture.filterByType(actions, Send.class);
    }

    /**
     * Guards against sending a part to a stalled server: the server is probed first, and as long as it does not answer
     * the probe, the part goes to another holder.
     */
    @Test
    void partIsSentElsewhereWhenTheProbedServerDoesNotAnswer() {
        startModule(withProbing());
        List<Action> actions = roundAt(1, Fixture.queryEvents(1, SAFE, 7, 0));
        assertTrue(sendsIn(actions).isEmpty());
        long probedServer = Fixture.filterByType(actions, Probe.class).get(0).replica();
        List<Send> sends = new ArrayList<>();
        for (long timeMs = 5; timeMs < 200 && sends.isEmpty(); timeMs += 5) {
            List<Event> events = new ArrayList<>();
            for (Probe probe : Fixture.filterByType(actions, Probe.class)) {
                if (probe.replica() != probedServer) {
                    events.add(new ProbeEnded(probe.replica(), Outcome.OK, MS, new double[] {0}));
                }
            }
            actions = roundAt(timeMs, events);
            sends.addAll(sendsIn(actions));
        }
        assertEquals(1, sends.size());
        assertNotEquals(probedServer, sends.get(0).replica());
    }

    /**
     * Guards against sending a part to a slow server. Every probe costs the same work, so a probe that takes several
     * times as long as usual shows that its server is slow.
     */
    @Test
    void partIsSentElsewhereAfterASlowProbe() {
        startModule(withProbing());
        long queryId = 10;
        for (int i = 0; i < 20; i++) {
            List<Event> events = new ArrayList<>();
            for (long server = 11; server <= 13; server++) {
                events.add(new ProbeEnded(server, Outcome.OK, MS, new double[] {0}));
            }
            roundAt(10 + i, events);
        }
        List<Action> actions = roundAt(1000, Fixture.queryEvents(queryId, SAFE, 7, 0));
        long slowServer = Fixture.filterByType(actions, Probe.class).get(0).replica();
        actions = roundAt(1005, List.of(new ProbeEnded(slowServer, Outcome.OK, 6 * MS, new double[] {0})));
        for (Probe probe : Fixture.filterByType(actions, Probe.class)) {
            assertNotEquals(slowServer, probe.replica());
            actions = roundAt(1010, List.of(new ProbeEnded(probe.replica(), Outcome.OK, MS, new double[] {0})));
        }
        assertEquals(1, sendsIn(actions).size());
        assertNotEquals(slowServer, sendsIn(actions).get(0).replica());
    }

    /** Guards against avoiding a server because of a long queue that it reported seconds ago. */
    @Test
    void effectOfAnOldLoadReportFades() {
        startModule(Fixture.withDefaults());
        List<Event> events = new ArrayList<>();
        for (long s = 11; s <= 13; s++) {
            events.add(new ProbeEnded(s, Outcome.OK, MS, new double[] {s == 11 ? 9 : 1}));
        }
        roundAt(1, events);
        Map<Long, Integer> sendsByServer = new HashMap<>();
        for (int i = 0; i < 30; i++) {
            for (Send s : sendsIn(roundAt(8000 + i, Fixture.queryEvents(10L * (i + 1), SAFE, i, 0)))) {
                sendsByServer.merge(s.replica(), 1, Integer::sum);
            }
        }
        assertTrue(sendsByServer.getOrDefault(11L, 0) >= 7, "too few parts at server 11: " + sendsByServer);
    }

    /**
     * Guards against losing more servers to a query that crashes them. If each of its parts ends with a broken
     * connection and none is answered, the query is at fault: it is not sent again, nor is another one with its key.
     */
    @Test
    void queryThatBreaksEveryConnectionIsRefusedAndSoIsItsKey() {
        startModule(Fixture.withDefaults());
        List<Send> sends = sendsIn(roundAt(1, Fixture.queryEvents(1, SAFE, 7, 0, 1, 2)));
        List<Event> drops = new ArrayList<>();
        for (Send s : sends) {
            drops.add(Fixture.attemptEnded(s.part(), 0, s.replica(), Outcome.DROPPED, 40 * MS));
        }
        List<Action> actions = roundAt(41, drops);
        assertTrue(sendsIn(actions).isEmpty(), "sent again: " + actions);
        assertEquals(1, Fixture.filterByType(actions, Refuse.class).size());
        assertEquals(1,
                Fixture.filterByType(roundAt(300, Fixture.queryEvents(10, SAFE, 7, 0, 1, 2)), Refuse.class).size());
        assertEquals(3, sendsIn(roundAt(301, Fixture.queryEvents(20, SAFE, 8, 0, 1, 2))).size());
    }

    /**
     * Guards against refusing all queries for seconds after slow servers held some of them almost up to their aim: the
     * overrun of those queries must not raise the expected time of all others without bound.
     */
    @Test
    void queriesHeldBySlowServersDoNotCauseOthersToBeRefused() {
        startModule(withOneHolderPerShard());
        for (int i = 0; i < 200; i++) {
            long queryId = 10L * (i + 1);
            for (Send s : sendsIn(roundAt(10000L * i + 1, Fixture.queryEvents(queryId, SAFE, i, 0)))) {
                roundAt(10000L * i + 21, List.of(Fixture.attemptEnded(s.part(), 0, 11, Outcome.OK, 20 * MS)));
            }
        }
        long timeMs = 10000L * 200;
        List<Event> lateEnds = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            sendsIn(roundAt(timeMs, Fixture.queryEvents(10000L + 10 * i, SAFE, i, 0))).forEach(s ->
                    lateEnds.add(Fixture.attemptEnded(s.part(), 0, 11, Outcome.OK, 1900 * MS)));
        }
        roundAt(timeMs + 1900, lateEnds);
        assertEquals(1, sendsIn(roundAt(timeMs + 1901, Fixture.queryEvents(90000L, SAFE, 7, 0))).size());
    }

    /**
     * Guards against refusing the queries of clients that wait less long than others: a short time left looks like a
     * late retry, but while servers are idle the query is served like a first try.
     */
    @Test
    void queryWithLittleTimeLeftIsServedWhileServersAreIdle() {
        startModule(Fixture.withDefaults());
        for (int i = 0; i < 20; i++) {
            for (Send send : sendsIn(roundAt(100L * i + 1, Fixture.queryEvents(10L * (i + 1), SAFE, i, 0)))) {
                roundAt(100L * i + 21, List.of(Fixture.attemptEnded(send.part(), 0, send.replica(), Outcome.OK,
                        20 * MS)));
            }
        }
        List<Event> shortQuery = new ArrayList<>(List.of(
                new Aggregator.QueryArrived(900, 900, SAFE, 1, 600 * MS, 0, false, 7, 0),
                new Aggregator.PartArrived(901, 900, 0, 1, 0, 7)));
        assertEquals(1, sendsIn(roundAt(3000, shortQuery)).size());
    }

    /**
     * Guards against making a client wait until its deadline although nothing more is sent for its query: the
     * connection of one part broke, the other part failed.
     */
    @Test
    void suspectQueryWithNothingInFlightIsRefusedAtOnce() {
        startModule(Fixture.withDefaults());
        List<Send> sends = sendsIn(roundAt(1, Fixture.queryEvents(1, SAFE, 7, 0, 1)));
        roundAt(20, List.of(Fixture.attemptEnded(sends.get(0).part(), 0, sends.get(0).replica(), Outcome.DROPPED, MS)));
        List<Action> actions = roundAt(30,
                List.of(Fixture.attemptEnded(sends.get(1).part(), 0, sends.get(1).replica(), Outcome.ERROR, MS)));
        assertEquals(1, Fixture.filterByType(actions, Refuse.class).size(), "" + actions);
    }

    /**
     * Guards against giving up a query whose connection broke because another query crashed the server: once one of
     * its parts is answered it is no longer suspect, and the dropped part is sent again.
     */
    @Test
    void droppedPartIsSentAgainOnceAnotherPartIsAnswered() {
        startModule(Fixture.withDefaults());
        List<Send> sends = sendsIn(roundAt(1, Fixture.queryEvents(1, SAFE, 7, 0, 1, 2)));
        assertTrue(sendsIn(roundAt(20,
                List.of(Fixture.attemptEnded(2, 0, sends.get(0).replica(), Outcome.DROPPED, MS)))).isEmpty());
        List<Send> furtherSends = sendsIn(roundAt(60,
                List.of(Fixture.attemptEnded(3, 0, sends.get(1).replica(), Outcome.OK, 59 * MS))));
        assertEquals(1, furtherSends.size());
        assertEquals(2, furtherSends.get(0).part());
    }

    /**
     * Guards against a query that crashes one server for each of its parts. While servers restart unannounced, one
     * part is sent first, and the others follow once it is answered.
     */
    @Test
    void onePartIsSentAheadOfTheOthersWhileServersCrash() {
        startModule(Fixture.withDefaults());
        roundAt(1, List.of(new Aggregator.ListUpdate(Aggregator.ListKind.CHANGES,
                List.of(new ListEntry(12, 0, 1, Status.READY, 1, Fixture.START_US)))));
        List<Send> sends = sendsIn(roundAt(2, Fixture.queryEvents(1, SAFE, 7, 0, 1, 2)));
        assertEquals(1, sends.size());
        Send send = sends.get(0);
        assertEquals(2, sendsIn(roundAt(60,
                List.of(Fixture.attemptEnded(send.part(), 0, send.replica(), Outcome.OK, 58 * MS)))).size());
    }

    /** Guards against avoiding a server for all query classes when only the parts of one class fail there. */
    @Test
    void failuresOfOneClassDoNotKeepOtherClassesFromTheServer() {
        startModule(Fixture.withDefaults());
        long queryId = 100;
        int[] sentToServer11 = new int[2];
        for (int i = 0; i < 40; i++) {
            List<Event> events = new ArrayList<>();
            Map<Long, Integer> classByPart = new HashMap<>();
            for (int k = 0; k < 6; k++) {
                events.addAll(Fixture.queryEvents(queryId, k == 0 ? SAFE : KEYED, i, 0));
                classByPart.put(queryId + 1, k == 0 ? SAFE : KEYED);
                queryId += 10;
            }
            List<Event> ends = new ArrayList<>();
            for (Send send : sendsIn(roundAt(200L * i + 1, events))) {
                int queryClass = classByPart.get(send.part());
                boolean fails = send.replica() == 11 && queryClass == SAFE;
                sentToServer11[queryClass] += i >= 10 && send.replica() == 11 ? 1 : 0;
                ends.add(Fixture.attemptEnded(send.part(), 0, send.replica(), fails ? Outcome.ERROR : Outcome.OK,
                        190 * MS));
                ends.add(new Aggregator.ClientLeft(send.part() - 1));
            }
            roundAt(200L * i + 191, ends);
        }
        assertTrue(sentToServer11[SAFE] <= 3, "failing class sent to server 11: " + sentToServer11[SAFE]);
        assertTrue(sentToServer11[KEYED] >= 30, "other class sent to server 11: " + sentToServer11[KEYED]);
    }

    /** Guards against moving the home of a key when a server other than its home leaves. */
    @Test
    void homeOfAKeyStaysWhenAnotherHolderLeaves() {
        int movedKeys = 0;
        for (long key = 1; key <= 60; key++) {
            startModule(Fixture.withDefaults());
            long home = sendsIn(roundAt(1, Fixture.queryEvents(1, SAFE, key, 0))).get(0).replica();
            long goneServer = home == 13 ? 12 : 13;
            module = new Decide(Fixture.withDefaults().settings(), 5);
            List<ListEntry> remaining = new ArrayList<>();
            for (long server = 11; server <= 13; server++) {
                if (server != goneServer) {
                    remaining.add(Fixture.readyServer(server, (int) server - 11));
                }
            }
            roundAt(0, List.of(Fixture.listUpdate(remaining.toArray(ListEntry[]::new))));
            movedKeys += sendsIn(roundAt(1, Fixture.queryEvents(1, SAFE, key, 0))).get(0).replica() == home ? 0 : 1;
        }
        assertEquals(0, movedKeys);
    }

    /** Guards against giving a partial answer only at the aim: it would reach the client after it. */
    @Test
    void partialAnswerIsGivenShortlyBeforeTheAim() {
        for (double lateWorth : new double[] {0, 0.1}) {
            Fixture fixture = Fixture.withDefaults();
            fixture.floor = 0.6;
            fixture.lateWorth = lateWorth;
            startModule(fixture);
            List<Send> sends = sendsIn(roundAt(1, Fixture.queryEvents(1, SAFE, 7, 0, 1, 2)));
            List<Event> events = new ArrayList<>();
            for (Send s : sends.subList(0, 2)) {
                events.add(Fixture.attemptEnded(s.part(), 0, s.replica(), Outcome.OK, 99 * MS));
            }
            List<Action> actions = roundAt(100, events);
            long timeMs = 100;
            while (Fixture.filterByType(actions, Aggregator.Answer.class).isEmpty() && timeMs < 3000) {
                assertTrue(Fixture.filterByType(actions, Refuse.class).isEmpty(),
                        "refused although a partial answer is allowed");
                timeMs += 5;
                actions = roundAt(timeMs, List.of());
            }
            assertTrue(timeMs > 1700 && timeMs < 1990, "answered at " + timeMs + " ms, the aim is 2001");
            assertEquals(false, Fixture.filterByType(actions, Aggregator.Answer.class).get(0).whole());
        }
    }

    /**
     * Submits a query of three parts in each round, with idle time between rounds. From the fourth round on, parts sent
     * on idle connections are not answered.
     *
     * @param newConnectionsAnswer whether parts are answered that are sent after closing idle connections
     * @return the number of parts in the last five rounds for which idle connections were closed first
     */
    private int countSendsWithIdleConnectionsClosed(int rounds, boolean newConnectionsAnswer) {
        startModule(Fixture.withDefaults());
        int closed = 0;
        for (int i = 0; i < rounds; i++) {
            long timeMs = 3000L * i + 1;
            List<Action> actions = roundAt(timeMs, Fixture.queryEvents(10L * (i + 1), SAFE, i, 0, 1, 2));
            List<Event> ends = new ArrayList<>();
            for (Send send : sendsIn(actions)) {
                boolean closesFirst = actions.indexOf(new Aggregator.CloseIdleConnections(send.replica())) >= 0
                        && actions.indexOf(new Aggregator.CloseIdleConnections(send.replica())) < actions.indexOf(send);
                closed += closesFirst && i >= rounds - 5 ? 1 : 0;
                if (i < 3 || closesFirst && newConnectionsAnswer) {
                    ends.add(Fixture.attemptEnded(send.part(), 0, send.replica(), Outcome.OK, 199 * MS));
                }
            }
            roundAt(timeMs + 199, ends);
            for (long elapsedMs = 225; elapsedMs < 2100; elapsedMs += 25) {
                for (Aggregator.Cancel cancel : Fixture.filterByType(roundAt(timeMs + elapsedMs, List.of()),
                        Aggregator.Cancel.class)) {
                    roundAt(timeMs + elapsedMs, List.of(Fixture.attemptEnded(cancel.part(), cancel.attempt(), 0,
                            Outcome.CANCELLED, elapsedMs * MS)));
                }
            }
        }
        return closed;
    }

    /**
     * Guards against losing parts on idle connections that were lost without notice: parts sent on them get no answer,
     * while parts on new connections are answered.
     */
    @Test
    void idleConnectionsLostWithoutNoticeAreClosedBeforeUse() {
        int closed = countSendsWithIdleConnectionsClosed(20, true);
        assertTrue(closed >= 10, "parts sent after closing idle connections: " + closed);
    }

    /** Guards against closing connections for nothing: silent servers do not answer on new connections either. */
    @Test
    void silentServersAreNotMistakenForLostConnections() {
        int closed = countSendsWithIdleConnectionsClosed(20, false);
        assertTrue(closed <= 4, "parts sent after closing idle connections: " + closed);
    }

    /**
     * Guards against admitting queries that a busy server would answer late. Its reports show no queue, so only the
     * time that parts take there shows that it is slow.
     */
    @Test
    void admissionAccountsForMeasuredSlownessOfServers() {
        Fixture fixture = withOneHolderPerShard();
        fixture.lateWorth = 0.1;
        startModule(fixture);
        int sentToSlowServer = 0;
        for (int i = 0; i < 60; i++) {
            boolean slow = i >= 30 && i % 3 == 0;
            long timeMs = 20L * i + 1;
            for (Send send : sendsIn(roundAt(timeMs,
                    Fixture.queryEvents(10L * (i + 1), SAFE, i, slow ? 0 : 1 + i % 2)))) {
                sentToSlowServer += slow && i >= 48 ? 1 : 0;
                roundAt(timeMs + 1, List.of(Fixture.attemptEnded(send.part(), 0, send.replica(), Outcome.OK,
                        slow ? 3500 * MS : 250 * MS, 0)));
            }
        }
        assertTrue(sentToSlowServer <= 2, "queries sent to the slow server: " + sentToSlowServer + " of 4");
    }

    /**
     * Guards against sending more parts to a server that has just rejected some as full: this counts as a report of a
     * long queue, so later queries that need the server are refused at once.
     */
    @Test
    void outcomeFullCountsAsAReportOfALongQueue() {
        Fixture fixture = withOneHolderPerShard();
        startModule(fixture);
        int sendsToFullServer = 0;
        for (int i = 0; i < 6; i++) {
            List<Send> sends = sendsIn(roundAt(10L * i + 1, Fixture.queryEvents(10L * (i + 1), SAFE, i, 0)));
            for (int k = 1; !sends.isEmpty(); k++) {
                sendsToFullServer += i >= 4 ? 1 : 0;
                Send send = sends.get(0);
                sends = sendsIn(roundAt(10L * i + 1 + k,
                        List.of(Fixture.attemptEnded(send.part(), k - 1, 11, Outcome.FULL, MS))));
            }
        }
        assertEquals(0, sendsToFullServer, "parts sent to the full server");
    }

    /**
     * Guards against refusing queries for good. Each part that a full server rejected, one after the other, doubled
     * the queue that was assumed there, up to 350,000 parts.
     */
    @Test
    void assumedQueueOfAFullServerIsBounded() {
        Fixture fixture = withOneHolderPerShard();
        startModule(fixture);
        List<Send> inFlight = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            inFlight.addAll(sendsIn(roundAt(i + 1, Fixture.queryEvents(10L * (i + 1), SAFE, i, 0))));
        }
        Map<Long, Integer> attempts = new HashMap<>();
        for (int k = 0; !inFlight.isEmpty(); k++) {
            Send send = inFlight.remove(inFlight.size() - 1);
            int attempt = attempts.merge(send.part(), 1, Integer::sum) - 1;
            inFlight.addAll(sendsIn(roundAt(20 + k,
                    List.of(Fixture.attemptEnded(send.part(), attempt, 11, Outcome.FULL, MS)))));
        }
        roundAt(6000, List.of());
        assertEquals(1, sendsIn(roundAt(6001, Fixture.queryEvents(1000, SAFE, 100, 0))).size());
    }

    /**
     * Guards against assuming a queue of hundreds at a server that held four parts: parts that are rejected together
     * double the assumed queue only once.
     */
    @Test
    void partsRejectedTogetherCountAsOneReport() {
        Fixture fixture = withOneHolderPerShard();
        fixture.maxAttempts = 1;
        startModule(fixture);
        List<Send> sends = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            sends.addAll(sendsIn(roundAt(i + 1, Fixture.queryEvents(10L * (i + 1), SAFE, i, 0))));
        }
        sends.forEach(s -> roundAt(20, List.of(Fixture.attemptEnded(s.part(), 0, 11, Outcome.FULL, MS))));
        assertEquals(1, sendsIn(roundAt(30, Fixture.queryEvents(100, SAFE, 100, 0))).size());
    }

    /**
     * Guards against sending all attempts of a part to the same server. One that fails parts at once has a low load
     * and looks idle, so all attempts of a part went to it within 2 ms.
     */
    @Test
    void furtherAttemptsGoToHoldersThatHaveNotFailedThePart() {
        Fixture fixture = Fixture.withDefaults();
        startModule(fixture);
        Map<Long, Long> failuresByPart = new HashMap<>();
        for (int i = 0; i < 30; i++) {
            List<Send> sends = sendsIn(roundAt(i + 1, Fixture.queryEvents(10L * (i + 1), SAFE, i, 0)));
            if (i % 3 > 0 && sends.get(0).replica() == 11) {
                roundAt(i + 1, List.of(Fixture.attemptEnded(sends.get(0).part(), 0, 11, Outcome.OK, 20 * MS)));
                sends = List.of();
            }
            for (int k = 0; !sends.isEmpty() && sends.get(0).replica() == 11; k++) {
                failuresByPart.merge(sends.get(0).part(), 1L, Long::sum);
                sends = sendsIn(roundAt(i + 1,
                        List.of(Fixture.attemptEnded(sends.get(0).part(), k, 11, Outcome.ERROR, MS))));
            }
        }
        assertTrue(!failuresByPart.isEmpty() && failuresByPart.values().stream().allMatch(n -> n == 1),
                "failures of server 11 by part: " + failuresByPart);
    }

    /**
     * Guards against avoiding a server that fails every other part at once as much as one that fails them late: while
     * failures cost no time it still relieves busy servers, though not of last attempts.
     */
    @Test
    void immediateFailuresCountLessThanLateOnes() {
        assertTrue(countFailedParts(1) > 1.5 * countFailedParts(700),
                "failed parts: at once " + countFailedParts(1) + ", late " + countFailedParts(700));
    }

    /** Returns how many parts fail in 40 rounds of 30 queries if server 11 fails every other one after a given time. */
    private int countFailedParts(long failureMs) {
        startModule(Fixture.withDefaults());
        int failedParts = 0;
        for (long i = 0; i < 40; i++) {
            List<Send> sends = new ArrayList<>();
            for (int k = 0; k < 30; k++) {
                sends.addAll(sendsIn(roundAt(1000 * i + 1,
                        Fixture.queryEvents(1000 * i + 10 * k + 10, SAFE, 30 * i + k + 1, 0))));
            }
            List<Event> ends = new ArrayList<>();
            for (Send send : sends) {
                boolean fails = send.replica() == 11 && send.part() % 20 > 9;
                failedParts += fails ? 1 : 0;
                ends.add(Fixture.attemptEnded(send.part(), 0, send.replica(), fails ? Outcome.ERROR : Outcome.OK,
                        (fails ? failureMs : 100) * MS));
            }
            List<Event> furtherEnds = new ArrayList<>();
            sendsIn(roundAt(1000 * i + 101, ends)).forEach(send -> furtherEnds.add(
                    Fixture.attemptEnded(send.part(), 1, send.replica(), Outcome.OK, 100 * MS)));
            roundAt(1000 * i + 201, furtherEnds);
        }
        return failedParts;
    }

    /**
     * Guards against keeping a query until its aim although it cannot be answered any more, since one of its parts has
     * used all its attempts.
     */
    @Test
    void queryWithAPartOutOfAttemptsIsRefusedAtOnce() {
        Fixture fixture = Fixture.withDefaults();
        fixture.maxAttempts = 2;
        startModule(fixture);
        List<Send> sends = sendsIn(roundAt(1, Fixture.queryEvents(1, SAFE, 7, 0, 1)));
        Send send = sends.get(0);
        Send secondSend = sendsIn(roundAt(2,
                List.of(Fixture.attemptEnded(send.part(), 0, send.replica(), Outcome.FULL, MS)))).get(0);
        List<Action> actions = roundAt(3,
                List.of(Fixture.attemptEnded(send.part(), 1, secondSend.replica(), Outcome.FULL, MS)));
        assertEquals(1, Fixture.filterByType(actions, Refuse.class).size());
        assertEquals(1, Fixture.filterByType(actions, Aggregator.Cancel.class).size());
    }

    /** Guards against sending a part that would be answered late although the other parts are enough for an answer. */
    @Test
    void partThatWouldBeLateIsNotSentIfTheOthersReachTheFloor() {
        Fixture fixture = withOneHolderPerShard();
        fixture.floor = 0.6;
        startModule(fixture);
        roundAt(1, List.of(new ProbeEnded(11, Outcome.OK, MS, new double[] {90}), new ProbeEnded(12, Outcome.OK, MS,
                new double[] {0}), new ProbeEnded(13, Outcome.OK, MS, new double[] {0})));
        List<Send> sends = sendsIn(roundAt(2, Fixture.queryEvents(1, SAFE, 7, 0, 1, 2)));
        assertEquals(2, sends.size());
        assertTrue(sends.stream().noneMatch(s -> s.replica() == 11));
    }

    /**
     * Guards against choosing a home in another zone although crossing zones has a price and a holder in the own zone
     * is idle.
     */
    @Test
    void homeIsInTheOwnZoneIfCrossingZonesHasAPrice() {
        int sentToOtherZones = 0;
        for (int key = 1; key <= 20; key++) {
            Fixture fixture = Fixture.withDefaults();
            fixture.crossZone = 0.04;
            module = new Decide(fixture.settings(), 3);
            roundAt(0, List.of(Fixture.listUpdate(new ListEntry(11, 1, 0, Status.READY, 1, 0),
                    new ListEntry(12, 0, 1, Status.READY, 1, 0), new ListEntry(13, 2, 2, Status.READY, 1, 0))));
            sentToOtherZones +=
                    sendsIn(roundAt(1, Fixture.queryEvents(1, SAFE, key, 0))).get(0).replica() == 12 ? 0 : 1;
        }
        assertEquals(0, sentToOtherZones);
    }

    /**
     * Guards against taking an unmarked query with little time left for a retry although clients mark their retries.
     */
    @Test
    void unmarkedQueryWithLittleTimeLeftIsNoRetryIfClientsMarkRetries() {
        Fixture fixture = Fixture.withDefaults();
        fixture.clientsMarkRetries = true;
        startModule(fixture);
        roundAt(1, Fixture.queryEvents(1, SAFE, 7, 0));
        roundAt(2, List.of(Fixture.attemptEnded(2, 0, 11, Outcome.OK, MS)));
        List<Action> actions = roundAt(3, List.of(
                new Aggregator.QueryArrived(10, 10, SAFE, 1, 1500 * MS, 0, false, 8, 0),
                new Aggregator.PartArrived(11, 10, 0, 1, 0, 8)));
        assertEquals(1, sendsIn(actions).size(), "refused: " + actions);
    }

    /**
     * Guards against advising the longest permitted retry-after to every refused client: where the queue is short,
     * capacity is expected sooner.
     */
    @Test
    void retryAfterIsTheTimeUntilCapacityIsExpected() {
        Fixture fixture = withOneHolderPerShard();
        startModule(fixture);
        List<Long> retryAfterTimes = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            retryAfterTimes.addAll(Fixture.filterByType(
                    roundAt(1 + i, Fixture.queryEvents(10L * (i + 1), SAFE, i, 0)), Refuse.class).stream()
                    .map(Refuse::retryAfter).toList());
        }
        assertTrue(retryAfterTimes.stream().anyMatch(t -> t > 0 && t < 500 * MS),
                "retry-after times: " + retryAfterTimes);
        assertTrue(retryAfterTimes.stream().allMatch(t -> t > 0 && t <= 500 * MS),
                "retry-after times: " + retryAfterTimes);
    }
}
