package burlford.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlford.policy.Aggregator.Event;
import burlford.policy.Aggregator.Outcome;
import burlford.policy.Aggregator.ProbeEnded;
import burlford.policy.Aggregator.Send;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests load and score of servers in the normal case, step by step, with expected values worked out by hand. */
class ScoreTest {

    /** Adds an attempt in flight to the server. */
    private static State.Attempt addAttempt(State.Server server, long sentAt, double weight) {
        State.Attempt attempt = new State.Attempt();
        attempt.server = server;
        attempt.sentAt = sentAt;
        attempt.weight = weight;
        server.inFlight.add(attempt);
        return attempt;
    }

    @Test
    void loadOfANewServerIsZero() {
        assertEquals(0, Decide.load(new State.Server()));
    }

    @Test
    void loadWithoutAReportIsTheWeightOfOwnParts() {
        State.Server server = new State.Server();
        State.Attempt attempt = addAttempt(server, 10, 1.5);
        addAttempt(server, 20, 2);
        assertEquals(3.5, Decide.load(server));
        server.inFlight.remove(attempt);
        assertEquals(2, Decide.load(server));
    }

    @Test
    void loadIsTheReportedQueueAndThePartsSentSince() {
        State.Server server = new State.Server();
        addAttempt(server, 10, 1.5);
        server.reportAt = 15;
        server.reportedQueue = 4;
        addAttempt(server, 20, 2);
        assertEquals(6, Decide.load(server));
    }

    @Test
    void reportWithoutQueueCountsOwnPartsInFlight() {
        State.Server server = new State.Server();
        addAttempt(server, 10, 1.5);
        server.reportAt = 15;
        server.reportedQueue = Double.NaN;
        addAttempt(server, 20, 2);
        assertEquals(3, Decide.load(server));
    }

    @Test
    void scoreIsCostShareMinusSpareLoadOverDelta() {
        assertEquals(0.5 - 20 * 0.75, Decide.score(0.5, 1, 2, 8, Decide.DELTA), 1e-12);
        assertEquals(1, Decide.score(2, 2, 8, 8, Decide.DELTA), 1e-12);
    }

    @Test
    void sharesOfAZeroMaximumAreZero() {
        assertEquals(-20, Decide.score(0, 0, 0, 0, Decide.DELTA), 1e-12);
        assertEquals(1 - 20, Decide.score(1, 1, 0, 0, Decide.DELTA), 1e-12);
    }

    private static Decide newModule(long seed) {
        Decide module = new Decide(Fixture.withDefaults().settings(), seed);
        module.round(Fixture.START_US, List.of(Fixture.listUpdate(Fixture.readyServer(11, 0),
                Fixture.readyServer(12, 1), Fixture.readyServer(13, 2))));
        return module;
    }

    @Test
    void allInstancesAgreeOnTheHomeOfAKeyAndHomesAreSpread() {
        Map<Long, Integer> keysByHome = new HashMap<>();
        for (long key = 1; key <= 60; key++) {
            long home = -1;
            for (long seed = 1; seed <= 3; seed++) {
                long server = Fixture.filterByType(newModule(seed).round(Fixture.START_US + 1,
                        Fixture.queryEvents(1, 0, key, 0)), Send.class).get(0).replica();
                assertTrue(home < 0 || home == server);
                home = server;
            }
            keysByHome.merge(home, 1, Integer::sum);
        }
        assertEquals(3, keysByHome.size());
        keysByHome.values().forEach(n -> assertTrue(n > 8, "too few keys with the same home: " + n));
    }

    @Test
    void lowestReportedLoadOutweighsTheHome() {
        for (long key = 1; key <= 20; key++) {
            Decide module = newModule(1);
            List<Event> events = new ArrayList<>();
            events.add(new ProbeEnded(11, Outcome.OK, 1000, new double[] {6}));
            events.add(new ProbeEnded(12, Outcome.OK, 1000, new double[] {2}));
            events.add(new ProbeEnded(13, Outcome.OK, 1000, new double[] {6}));
            events.addAll(Fixture.queryEvents(1, 0, key, 0));
            assertEquals(12, Fixture.filterByType(module.round(Fixture.START_US + 1, events), Send.class)
                    .get(0).replica());
        }
    }

    @Test
    void burstIsSpreadBecauseEachSendAddsToTheLoad() {
        Decide module = newModule(1);
        List<Event> events = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            events.addAll(Fixture.queryEvents(10 * (i + 1), 0, 7, 0));
        }
        Map<Long, Integer> sendsByServer = new HashMap<>();
        for (Send s : Fixture.filterByType(module.round(Fixture.START_US + 1, events), Send.class)) {
            sendsByServer.merge(s.replica(), 1, Integer::sum);
        }
        assertEquals(3, sendsByServer.size());
        sendsByServer.values().forEach(n -> assertTrue(n >= 7, "unevenly spread: " + sendsByServer));
    }

    @Test
    void serverThatFailsFastDoesNotLookIdle() {
        Decide otherModule = newModule(1);
        otherModule.round(Fixture.START_US + 1, Fixture.queryEvents(1, 0, 7, 0));
        // The server that gets the part rejects it and reports no queue; all servers had reported a queue of nine.
        Send first = null;
        List<Event> reports = new ArrayList<>();
        for (long id = 11; id <= 13; id++) {
            reports.add(new ProbeEnded(id, Outcome.OK, 1000, new double[] {9}));
        }
        Decide module = newModule(1);
        first = Fixture.filterByType(module.round(Fixture.START_US + 1, Fixture.queryEvents(1, 0, 7, 0)),
                Send.class).get(0);
        module.round(Fixture.START_US + 2, reports);
        List<Event> events = new ArrayList<>();
        events.add(Fixture.attemptEnded(2, 0, first.replica(), Outcome.FULL, 1, 0));
        for (int i = 0; i < 4; i++) {
            events.addAll(Fixture.queryEvents(10 * (i + 1), 0, 7, 0));
        }
        for (Send s : Fixture.filterByType(module.round(Fixture.START_US + 3, events), Send.class)) {
            assertTrue(s.replica() != first.replica(), "sent to the server that fails fast");
        }
    }

    /**
     * Guards against counting own parts that a load report includes and that have ended since. Load is reported by
     * probes only, so the answers of these parts bring no newer report.
     */
    @Test
    void partsThatEndedSinceTheReportDoNotCount() {
        Decide module = newModule(1);
        List<Event> burst = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            burst.addAll(Fixture.queryEvents(10 * (i + 1), 0, 7, 0));
        }
        List<Send> sends = Fixture.filterByType(module.round(Fixture.START_US + 1, burst), Send.class);
        long busyServer = sends.get(0).replica();
        List<Event> events = new ArrayList<>();
        for (long id = 11; id <= 13; id++) {
            events.add(new ProbeEnded(id, Outcome.OK, 1000, new double[] {id == busyServer ? 3 : 2}));
        }
        module.round(Fixture.START_US + 2, events);
        events.clear();
        for (Send s : sends) {
            if (s.replica() == busyServer) {
                events.add(Fixture.attemptEnded(s.part(), 0, busyServer, Outcome.OK, 1000));
            }
        }
        events.addAll(Fixture.queryEvents(500, 0, 7, 0));
        List<Send> lastSends = Fixture.filterByType(module.round(Fixture.START_US + 3, events), Send.class);
        assertEquals(busyServer, lastSends.get(lastSends.size() - 1).replica());
    }
}
