package burlford.lanes;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.lanes.Supervision.State;
import org.junit.jupiter.api.Test;

/**
 * Guards against new connections for a lane that does not answer its heartbeats or has only just resumed, and against
 * immediate restarts of a lane that dies again and again.
 */
class SupervisionTest {

    private static final long US_PER_MS = 1000;
    private final Supervision supervision = new Supervision(2);

    private long answerHeartbeatsInTime(long from, long until) {
        for (long t = from; t < until; t += 50 * US_PER_MS) {
            supervision.startHeartbeat(0, t);
            supervision.heartbeatAnswered(0, t + US_PER_MS);
            supervision.check(0, t + US_PER_MS);
        }
        return until;
    }

    @Test
    void laneServesAfterItsFirstAnswer() {
        supervision.started(0, 0);
        assertThat(supervision.check(0, US_PER_MS)).isEqualTo(State.STARTING);
        supervision.heartbeatAnswered(0, 2 * US_PER_MS);
        assertThat(supervision.check(0, 3 * US_PER_MS)).isEqualTo(State.SERVING);
        assertThat(supervision.lag(0, 3 * US_PER_MS)).isEqualTo(2 * US_PER_MS);
    }

    @Test
    void pausedLaneIsStalledUntilItsRecoveryPeriodEnds() {
        supervision.started(0, 0);
        supervision.heartbeatAnswered(0, US_PER_MS);
        assertThat(supervision.startHeartbeat(0, 50 * US_PER_MS)).isTrue();
        assertThat(supervision.startHeartbeat(0, 100 * US_PER_MS)).isFalse(); // one heartbeat at a time
        assertThat(supervision.check(0, 249 * US_PER_MS)).isEqualTo(State.SERVING);
        assertThat(supervision.check(0, 250 * US_PER_MS)).isEqualTo(State.STALLED);
        supervision.heartbeatAnswered(0, 350 * US_PER_MS);
        assertThat(supervision.check(0, 351 * US_PER_MS)).isEqualTo(State.STALLED);
        long t = answerHeartbeatsInTime(400 * US_PER_MS, 800 * US_PER_MS);
        assertThat(supervision.state(0)).isEqualTo(State.STALLED);
        answerHeartbeatsInTime(t, 950 * US_PER_MS);
        assertThat(supervision.state(0)).isEqualTo(State.SERVING);
    }

    @Test
    void repeatedlyPausedLaneStaysStalledBetweenPauses() {
        supervision.started(0, 0);
        supervision.heartbeatAnswered(0, US_PER_MS);
        for (long t = 50 * US_PER_MS; t < 5_000 * US_PER_MS; t += 400 * US_PER_MS) {
            supervision.startHeartbeat(0, t);
            supervision.check(0, t + 299 * US_PER_MS);
            supervision.heartbeatAnswered(0, t + 300 * US_PER_MS);
            assertThat(supervision.check(0, t + 301 * US_PER_MS)).isEqualTo(State.STALLED);
        }
    }

    @Test
    void silentLaneIsFencedAndRestartDelaysGrow() {
        supervision.started(0, 0);
        supervision.heartbeatAnswered(0, US_PER_MS);
        supervision.startHeartbeat(0, 50 * US_PER_MS);
        assertThat(supervision.check(0, 50 * US_PER_MS + Supervision.FENCED_AFTER_US)).isEqualTo(State.DEAD);
        supervision.heartbeatAnswered(0, 60_000 * US_PER_MS); // a dead lane's answer is ignored
        assertThat(supervision.state(0)).isEqualTo(State.DEAD);
        long now = 60_000 * US_PER_MS;
        supervision.died(0, now);
        assertThat(supervision.restartAt(0)).isEqualTo(now);
        long previousDelay = 0;
        for (int i = 0; i < 10; i++) {
            supervision.started(0, now);
            supervision.died(0, now);
            long delay = supervision.restartAt(0) - now;
            assertThat(delay).isBetween(previousDelay, Supervision.MAX_RESTART_DELAY_US);
            assertThat(delay).isGreaterThanOrEqualTo(Supervision.MIN_RESTART_DELAY_US);
            previousDelay = delay;
            now += delay;
        }
        assertThat(previousDelay).isEqualTo(Supervision.MAX_RESTART_DELAY_US);
        supervision.started(0, now);
        supervision.died(0, now + Supervision.STABLE_UPTIME_US);
        assertThat(supervision.restartAt(0)).isEqualTo(now + Supervision.STABLE_UPTIME_US);
    }
}
