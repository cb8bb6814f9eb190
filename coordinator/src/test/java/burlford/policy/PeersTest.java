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

/** Tests how updates from peers, other module instances of the same process, affect the decisions of this one. */
class PeersTest {

    private static final long MS = Fixture.MS;
    private long now = Fixture.START_US;
    private long lastQueryId = 1;
    private final Decide module;

    PeersTest() {
        module = newModule(false);
    }

    private static Decide newModule(boolean mayProbe) {
        Fixture fixture = Fixture.withDefaults();
        fixture.reach = 1;
        fixture.cells = 1;
        fixture.mayProbe = mayProbe;
        Decide module = new Decide(fixture.settings(), 1);
        module.round(Fixture.START_US,
                List.of(Fixture.listUpdate(Fixture.readyServer(1, 0), Fixture.readyServer(2, 0))));
        return module;
    }

    private PeerAttemptSent attemptSent(long attempt, long replica) {
        return new PeerAttemptSent(attempt, replica, 0, 0, 0, 0, now, now + 1000 * MS);
    }

    private PeerAttemptEnded attemptEnded(long attempt, long replica, Outcome outcome, long endedAt,
            double... loadReport) {
        return new PeerAttemptEnded(attempt, replica, outcome, endedAt, 10 * MS, loadReport);
    }

    /**
     * Gives the events to the module together with a query of one part. The client leaves and the attempt is cancelled
     * at once, so that neither adds to the load later.
     *
     * @return the server to which the part is sent
     */
    private long chosenServer(Event... peerEvents) {
        List<Event> events = new ArrayList<>(List.of(peerEvents));
        long queryId = lastQueryId += 10;
        events.addAll(Fixture.queryEvents(queryId, 0, 0, 0));
        Send send = Fixture.filterByType(module.round(now, events), Send.class).get(0);
        module.round(now, List.of(new Aggregator.ClientLeft(queryId),
                Fixture.attemptEnded(queryId + 1, 0, send.replica(), Outcome.CANCELLED, 0)));
        now += MS;
        return send.replica();
    }

    @Test
    void attemptsOfAPeerCountAsLoadUntilTheyEnd() {
        long home = chosenServer();
        long other = 3 - home;
        assertThat(chosenServer(attemptSent(100, home), attemptSent(101, home))).isEqualTo(other);
        assertThat(chosenServer()).isEqualTo(other);
        assertThat(chosenServer(attemptEnded(100, home, Outcome.OK, now),
                attemptEnded(101, home, Outcome.OK, now))).isEqualTo(home);
    }

    @Test
    void attemptsOfAPeerAreForgottenAfterTheirTimeAndWhenUpdatesAreLost() {
        long home = chosenServer();
        assertThat(chosenServer(attemptSent(100, home), attemptSent(101, home))).isNotEqualTo(home);
        now += 1000 * MS;
        assertThat(chosenServer()).isEqualTo(home);
        assertThat(chosenServer(attemptSent(102, home), attemptSent(103, home))).isNotEqualTo(home);
        assertThat(chosenServer(new PeerUpdatesLost())).isEqualTo(home);
    }

    @Test
    void loadReportOfAPeerIsIgnoredIfOlderThanTheLastOne() {
        long home = chosenServer();
        long other = 3 - home;
        assertThat(chosenServer(attemptSent(100, home), attemptEnded(100, home, Outcome.OK, now, 30))).isEqualTo(other);
        // This report arrives late: it is older than the last one.
        assertThat(chosenServer(attemptSent(101, home),
                attemptEnded(101, home, Outcome.OK, now - 5 * MS, 0))).isEqualTo(other);
        assertThat(chosenServer(attemptSent(102, home), attemptEnded(102, home, Outcome.OK, now, 0))).isEqualTo(home);
    }

    @Test
    void serverWithFailuresSeenByAPeerIsAvoided() {
        long home = chosenServer();
        List<Event> failures = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            failures.add(attemptSent(100 + i, home));
            failures.add(attemptEnded(100 + i, home, Outcome.ERROR, now));
        }
        assertThat(chosenServer(failures.toArray(new Event[0]))).isNotEqualTo(home);
    }

    @Test
    void oldFailuresSeenByAPeerAreIgnored() {
        long home = chosenServer();
        List<Event> failures = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            failures.add(attemptSent(100 + i, home));
            failures.add(attemptEnded(100 + i, home, Outcome.ERROR, now - 2000 * MS));
        }
        assertThat(chosenServer(failures.toArray(new Event[0]))).isEqualTo(home);
    }

    @Test
    void serverThatAPeerHasJustProbedIsNotProbedAgain() {
        Decide unnotified = newModule(true);
        List<Event> query = Fixture.queryEvents(10, 0, 0, 0);
        assertThat(Fixture.filterByType(unnotified.round(now, query), Probe.class)).hasSize(1);
        Decide notified = newModule(true);
        List<Event> events = new ArrayList<>(List.of(new PeerProbeEnded(1, Outcome.OK, now, 200, new double[] {0}),
                new PeerProbeEnded(2, Outcome.OK, now, 200, new double[] {0})));
        events.addAll(Fixture.queryEvents(10, 0, 0, 0));
        List<Aggregator.Action> actions = notified.round(now, events);
        assertThat(Fixture.filterByType(actions, Probe.class)).isEmpty();
        assertThat(Fixture.filterByType(actions, Send.class)).hasSize(1);
    }

    @Test
    void updatesWithUnknownServersAttemptsOrClassesAreIgnored() {
        long home = chosenServer();
        assertThat(chosenServer(attemptSent(100, 77), attemptEnded(101, 77, Outcome.OK, now),
                attemptEnded(102, home, Outcome.ERROR, now),
                new PeerProbeEnded(77, Outcome.OK, now, 1, new double[0]),
                new PeerAttemptSent(103, home, 99, 0, 0, 0, now, now + MS))).isEqualTo(home);
    }
}
