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

/** The ordinary path, step by step, with figures worked by hand. */
class ScoreTest {

    private static State.Attempt sent(State.Server s, long at, double weight) {
        State.Attempt a = new State.Attempt();
        a.server = s;
        a.sentAt = at;
        a.weight = weight;
        s.inFlight.add(a);
        return a;
    }

    @Test
    void loadIsNoughtAtFirst() {
        assertEquals(0, Decide.load(new State.Server()));
    }

    @Test
    void withoutReportTheLoadIsTheWeightOfOwnParts() {
        State.Server s = new State.Server();
        State.Attempt a = sent(s, 10, 1.5);
        sent(s, 20, 2);
        assertEquals(3.5, Decide.load(s));
        s.inFlight.remove(a);
        assertEquals(2, Decide.load(s));
    }

    @Test
    void reportCountsWithOnlyThePartsSentSince() {
        State.Server s = new State.Server();
        sent(s, 10, 1.5);
        s.reportAt = 15;
        s.reportedQueue = 4;
        sent(s, 20, 2);
        assertEquals(6, Decide.load(s));
    }

    @Test
    void reportWithoutQueueLeavesOwnPartsInFlight() {
        State.Server s = new State.Server();
        sent(s, 10, 1.5);
        s.reportAt = 15;
        s.reportedQueue = Double.NaN;
        sent(s, 20, 2);
        assertEquals(3, Decide.load(s));
    }

    @Test
    void scoreIsCostShareLessSpareLoadByDelta() {
        assertEquals(0.5 - 20 * 0.75, Decide.score(0.5, 1, 2, 8, Decide.DELTA), 1e-12);
        assertEquals(1, Decide.score(2, 2, 8, 8, Decide.DELTA), 1e-12);
    }

    @Test
    void zeroDenominatorsGiveZero() {
        assertEquals(-20, Decide.score(0, 0, 0, 0, Decide.DELTA), 1e-12);
        assertEquals(1 - 20, Decide.score(1, 1, 0, 0, Decide.DELTA), 1e-12);
    }

    private static Decide decide(long seed) {
        Decide d = new Decide(Fixture.withDefaults().settings(), seed);
        d.round(Fixture.START_US, List.of(Fixture.listUpdate(Fixture.server(11, 0), Fixture.server(12, 1),
                Fixture.server(13, 2))));
        return d;
    }

    @Test
    void sameKeyHasOneHomeAtEveryRouterAndKeysSpread() {
        Map<Long, Integer> homes = new HashMap<>();
        for (long key = 1; key <= 60; key++) {
            long first = -1;
            for (long seed = 1; seed <= 3; seed++) {
                long to = Fixture.filterByType(decide(seed).round(Fixture.START_US + 1, Fixture.queryEvents(1, 0, key,
                        0)), Send.class).get(0).replica();
                assertTrue(first < 0 || first == to);
                first = to;
            }
            homes.merge(first, 1, Integer::sum);
        }
        assertEquals(3, homes.size());
        homes.values().forEach(n -> assertTrue(n > 8, "few keys at home: " + n));
    }

    @Test
    void lowestReportedLoadWinsOverHome() {
        for (long key = 1; key <= 20; key++) {
            Decide d = decide(1);
            List<Event> events = new ArrayList<>();
            events.add(new ProbeEnded(11, Outcome.OK, 1000, new double[] {6}));
            events.add(new ProbeEnded(12, Outcome.OK, 1000, new double[] {2}));
            events.add(new ProbeEnded(13, Outcome.OK, 1000, new double[] {6}));
            events.addAll(Fixture.queryEvents(1, 0, key, 0));
            assertEquals(12, Fixture.filterByType(d.round(Fixture.START_US + 1, events), Send.class).get(0).replica());
        }
    }

    @Test
    void sendsRaiseTheCounterSoThatABurstSpreads() {
        Decide d = decide(1);
        List<Event> events = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            events.addAll(Fixture.queryEvents(10 * (i + 1), 0, 7, 0));
        }
        Map<Long, Integer> to = new HashMap<>();
        for (Send s : Fixture.filterByType(d.round(Fixture.START_US + 1, events), Send.class)) {
            to.merge(s.replica(), 1, Integer::sum);
        }
        assertEquals(3, to.size());
        to.values().forEach(n -> assertTrue(n >= 7, "crowded: " + to));
    }

    @Test
    void fastFailuresDoNotLookIdle() {
        Decide d = decide(1);
        d.round(Fixture.START_US + 1, Fixture.queryEvents(1, 0, 7, 0));
        // Whichever took the part turns it away and reports that it is idle; peers report a queue.
        Send first = null;
        List<Event> busy = new ArrayList<>();
        for (long id = 11; id <= 13; id++) {
            busy.add(new ProbeEnded(id, Outcome.OK, 1000, new double[] {9}));
        }
        Decide e = decide(1);
        first = Fixture.filterByType(e.round(Fixture.START_US + 1, Fixture.queryEvents(1, 0, 7, 0)), Send.class).get(0);
        e.round(Fixture.START_US + 2, busy);
        List<Event> events = new ArrayList<>();
        events.add(Fixture.attemptEnded(2, 0, first.replica(), Outcome.FULL, 1, 0));
        for (int i = 0; i < 4; i++) {
            events.addAll(Fixture.queryEvents(10 * (i + 1), 0, 7, 0));
        }
        for (Send s : Fixture.filterByType(e.round(Fixture.START_US + 3, events), Send.class)) {
            assertTrue(s.replica() != first.replica(), "sent to the server that fails fast");
        }
    }

    /** Reports by probe only: what a report counted of ours and has ended since no longer weighs. */
    @Test
    void ownPartsThatEndedSinceTheReportNoLongerWeigh() {
        Decide d = decide(1);
        List<Event> first = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            first.addAll(Fixture.queryEvents(10 * (i + 1), 0, 7, 0));
        }
        List<Send> sent = Fixture.filterByType(d.round(Fixture.START_US + 1, first), Send.class);
        long busy = sent.get(0).replica();
        List<Event> next = new ArrayList<>();
        for (long id = 11; id <= 13; id++) {
            next.add(new ProbeEnded(id, Outcome.OK, 1000, new double[] {id == busy ? 3 : 2}));
        }
        d.round(Fixture.START_US + 2, next);
        next.clear();
        for (Send s : sent) {
            if (s.replica() == busy) {
                next.add(Fixture.attemptEnded(s.part(), 0, busy, Outcome.OK, 1000));
            }
        }
        next.addAll(Fixture.queryEvents(500, 0, 7, 0));
        List<Send> last = Fixture.filterByType(d.round(Fixture.START_US + 3, next), Send.class);
        assertEquals(busy, last.get(last.size() - 1).replica());
    }
}
