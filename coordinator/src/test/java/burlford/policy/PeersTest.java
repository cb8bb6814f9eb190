package burlford.policy;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.policy.Aggregator.Event;
import burlford.policy.Aggregator.Outcome;
import burlford.policy.Aggregator.PeerAttemptEnded;
import burlford.policy.Aggregator.PeerAttemptSent;
import burlford.policy.Aggregator.PeerProbeEnded;
import burlford.policy.Aggregator.PeerUpdatesLost;
import burlford.policy.Aggregator.Probe;
import burlford.policy.Aggregator.Send;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What another instance of the process says, as it changes what this one decides. */
class PeersTest {

    private static final long MS = Fixture.MS;
    private long now = Fixture.START_US;
    private long next = 1;
    private final Decide module;

    PeersTest() {
        module = module(false);
    }

    private static Decide module(boolean probe) {
        Fixture f = Fixture.withDefaults();
        f.reach = 1;
        f.cells = 1;
        f.mayProbe = probe;
        Decide d = new Decide(f.settings(), 1);
        d.round(Fixture.START_US, List.of(Fixture.listUpdate(Fixture.server(1, 0), Fixture.server(2, 0))));
        return d;
    }

    private PeerAttemptSent sent(long attempt, long replica) {
        return new PeerAttemptSent(attempt, replica, 0, 0, 0, 0, now, now + 1000 * MS);
    }

    private PeerAttemptEnded end(long attempt, long replica, Outcome outcome, long at, double... report) {
        return new PeerAttemptEnded(attempt, replica, outcome, at, 10 * MS, report);
    }

    /** Where a query of one part goes; it is answered at once, without a report. */
    private long chosen(Event... heard) {
        List<Event> events = new ArrayList<>(List.of(heard));
        long id = next += 10;
        events.addAll(Fixture.queryEvents(id, 0, 0, 0));
        Send s = Fixture.filterByType(module.round(now, events), Send.class).get(0);
        module.round(now, List.of(new Aggregator.ClientLeft(id),
                Fixture.attemptEnded(id + 1, 0, s.replica(), Outcome.CANCELLED, 0)));
        now += MS;
        return s.replica();
    }

    @Test
    void whatAPeerHasOutCountsUntilItEnds() {
        long home = chosen();
        long other = 3 - home;
        assertThat(chosen(sent(100, home), sent(101, home))).isEqualTo(other);
        assertThat(chosen()).isEqualTo(other);
        assertThat(chosen(end(100, home, Outcome.OK, now), end(101, home, Outcome.OK, now))).isEqualTo(home);
    }

    @Test
    void whatAPeerHasOutIsForgottenAfterItsTimeAndWhenWordsWereLost() {
        long home = chosen();
        assertThat(chosen(sent(100, home), sent(101, home))).isNotEqualTo(home);
        now += 1000 * MS;
        assertThat(chosen()).isEqualTo(home);
        assertThat(chosen(sent(102, home), sent(103, home))).isNotEqualTo(home);
        assertThat(chosen(new PeerUpdatesLost())).isEqualTo(home);
    }

    @Test
    void aPeersReportCountsByItsTimeAndAnOldOneNotAtAll() {
        long home = chosen();
        long other = 3 - home;
        assertThat(chosen(sent(100, home), end(100, home, Outcome.OK, now, 30))).isEqualTo(other);
        // Told late: it is older than what is known.
        assertThat(chosen(sent(101, home), end(101, home, Outcome.OK, now - 5 * MS, 0))).isEqualTo(other);
        assertThat(chosen(sent(102, home), end(102, home, Outcome.OK, now, 0))).isEqualTo(home);
    }

    @Test
    void failuresThatAPeerSawCastDoubtHereToo() {
        long home = chosen();
        List<Event> bad = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            bad.add(sent(100 + i, home));
            bad.add(end(100 + i, home, Outcome.ERROR, now));
        }
        assertThat(chosen(bad.toArray(new Event[0]))).isNotEqualTo(home);
    }

    @Test
    void oldFailuresTellNothing() {
        long home = chosen();
        List<Event> bad = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            bad.add(sent(100 + i, home));
            bad.add(end(100 + i, home, Outcome.ERROR, now - 2000 * MS));
        }
        assertThat(chosen(bad.toArray(new Event[0]))).isEqualTo(home);
    }

    @Test
    void whatAPeerAskedAReaderIsNotAskedAgain() {
        Decide probing = module(true);
        List<Event> first = Fixture.queryEvents(10, 0, 0, 0);
        assertThat(Fixture.filterByType(probing.round(now, first), Probe.class)).hasSize(1);
        Decide told = module(true);
        List<Event> events = new ArrayList<>(List.of(new PeerProbeEnded(1, Outcome.OK, now, 200, new double[] {0}),
                new PeerProbeEnded(2, Outcome.OK, now, 200, new double[] {0})));
        events.addAll(Fixture.queryEvents(10, 0, 0, 0));
        List<Aggregator.Action> actions = told.round(now, events);
        assertThat(Fixture.filterByType(actions, Probe.class)).isEmpty();
        assertThat(Fixture.filterByType(actions, Send.class)).hasSize(1);
    }

    @Test
    void whatIsUnknownIsIgnored() {
        long home = chosen();
        assertThat(chosen(sent(100, 77), end(101, 77, Outcome.OK, now), end(102, home, Outcome.ERROR, now),
                new PeerProbeEnded(77, Outcome.OK, now, 1, new double[0]),
                new PeerAttemptSent(103, home, 99, 0, 0, 0, now, now + MS))).isEqualTo(home);
    }
}
