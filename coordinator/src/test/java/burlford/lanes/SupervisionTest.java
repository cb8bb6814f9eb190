package burlford.lanes;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.lanes.Supervision.State;
import org.junit.jupiter.api.Test;

/** Which lanes serve, by what they answer. */
class SupervisionTest {

    private static final long MS = 1000;
    private final Supervision s = new Supervision(2);

    private long answerInTime(long from, long until) {
        for (long t = from; t < until; t += 50 * MS) {
            s.startHeartbeat(0, t);
            s.heartbeatAnswered(0, t + MS);
            s.check(0, t + MS);
        }
        return until;
    }

    @Test
    void aLaneServesOnceItHasAnswered() {
        s.started(0, 0);
        assertThat(s.check(0, MS)).isEqualTo(State.STARTING);
        s.heartbeatAnswered(0, 2 * MS);
        assertThat(s.check(0, 3 * MS)).isEqualTo(State.SERVING);
        assertThat(s.lag(0, 3 * MS)).isEqualTo(2 * MS);
    }

    @Test
    void onePausedStandsStillAndServesAgainOnlyAfterAWhile() {
        s.started(0, 0);
        s.heartbeatAnswered(0, MS);
        assertThat(s.startHeartbeat(0, 50 * MS)).isTrue();
        assertThat(s.startHeartbeat(0, 100 * MS)).isFalse(); // one question at a time
        assertThat(s.check(0, 249 * MS)).isEqualTo(State.SERVING);
        assertThat(s.check(0, 250 * MS)).isEqualTo(State.STALLED);
        s.heartbeatAnswered(0, 350 * MS);
        assertThat(s.check(0, 351 * MS)).isEqualTo(State.STALLED);
        long t = answerInTime(400 * MS, 800 * MS);
        assertThat(s.state(0)).isEqualTo(State.STALLED);
        answerInTime(t, 950 * MS);
        assertThat(s.state(0)).isEqualTo(State.SERVING);
    }

    @Test
    void onePausedAgainAndAgainGetsNothingInBetween() {
        s.started(0, 0);
        s.heartbeatAnswered(0, MS);
        for (long t = 50 * MS; t < 5_000 * MS; t += 400 * MS) {
            s.startHeartbeat(0, t);
            s.check(0, t + 299 * MS);
            s.heartbeatAnswered(0, t + 300 * MS);
            assertThat(s.check(0, t + 301 * MS)).isEqualTo(State.STALLED);
        }
    }

    @Test
    void oneSilentForLongIsGivenUpAndStartedAnewLaterAndLaterWhereItDiesAtOnce() {
        s.started(0, 0);
        s.heartbeatAnswered(0, MS);
        s.startHeartbeat(0, 50 * MS);
        assertThat(s.check(0, 50 * MS + Supervision.FENCED_AFTER_US)).isEqualTo(State.DEAD);
        s.heartbeatAnswered(0, 60_000 * MS); // what a lane given up says does not count
        assertThat(s.state(0)).isEqualTo(State.DEAD);
        long now = 60_000 * MS;
        s.died(0, now);
        assertThat(s.restartAt(0)).isEqualTo(now);
        long before = 0;
        for (int i = 0; i < 10; i++) {
            s.started(0, now);
            s.died(0, now);
            long wait = s.restartAt(0) - now;
            assertThat(wait).isBetween(before, Supervision.MAX_RESTART_DELAY_US);
            assertThat(wait).isGreaterThanOrEqualTo(Supervision.MIN_RESTART_DELAY_US);
            before = wait;
            now += wait;
        }
        assertThat(before).isEqualTo(Supervision.MAX_RESTART_DELAY_US);
        s.started(0, now);
        s.died(0, now + Supervision.STABLE_UPTIME_US);
        assertThat(s.restartAt(0)).isEqualTo(now + Supervision.STABLE_UPTIME_US);
    }
}
