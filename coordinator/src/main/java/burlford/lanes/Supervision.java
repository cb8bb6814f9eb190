package burlford.lanes;

import java.util.Arrays;

/**
 * Decides by heartbeats which lanes are fit to serve. A lane that leaves a heartbeat unanswered for a while is stalled
 * and gets no new connections until it has answered in time for a recovery period. A lane that stays silent for much
 * longer is to be fenced: it may serve nothing more, should it resume, and a replacement is started. Pure: the caller
 * supplies the events and their times. All times are microseconds.
 */
public final class Supervision {

    /** A lane whose heartbeat is unanswered for this long is stalled. */
    public static final long STALLED_AFTER_US = 200_000;
    /** A lane whose heartbeat is unanswered for this long is dead and to be fenced. */
    public static final long FENCED_AFTER_US = 10_000_000;
    /** A stalled lane has to answer in time for this long before it serves again. */
    public static final long RECOVERY_PERIOD_US = 500_000;

    /** A replacement lane that dies within this time of its start is itself restarted after a growing delay. */
    static final long STABLE_UPTIME_US = 30_000_000;
    static final long MIN_RESTART_DELAY_US = 100_000;
    static final long MAX_RESTART_DELAY_US = 5_000_000;

    /** State of a lane; STARTING until its first heartbeat is answered. */
    public enum State { STARTING, SERVING, STALLED, DEAD }

    /** The heartbeat and restart history of one lane. */
    private static final class LaneHealth {
        State state = State.STARTING;
        long heartbeatSentAt;
        boolean heartbeatPending;
        long lagUs;
        long lastLateAt = Long.MIN_VALUE / 2;
        long startedAt;
        boolean replacesDeadLane;
        long restartDelayUs;
        long restartAt;
    }

    private final LaneHealth[] lanes;

    /** Creates the supervision of lanes numbered from 0 to count - 1; none of them has been started yet. */
    public Supervision(int count) {
        lanes = new LaneHealth[count];
        Arrays.setAll(lanes, i -> new LaneHealth());
    }

    /** The lane was started or restarted; its first heartbeat counts as sent. */
    public void started(int lane, long now) {
        LaneHealth health = new LaneHealth();
        health.replacesDeadLane = lanes[lane].state == State.DEAD;
        health.restartDelayUs = lanes[lane].restartDelayUs;
        health.startedAt = now;
        lanes[lane] = health;
        noteHeartbeatSent(lane, now);
    }

    /** Notes a heartbeat as sent and returns true; returns false if one is still unanswered or the lane is dead. */
    public boolean startHeartbeat(int lane, long now) {
        if (lanes[lane].heartbeatPending || lanes[lane].state == State.DEAD) {
            return false;
        }
        noteHeartbeatSent(lane, now);
        return true;
    }

    private void noteHeartbeatSent(int lane, long now) {
        lanes[lane].heartbeatPending = true;
        lanes[lane].heartbeatSentAt = now;
    }

    /** The lane answered its heartbeat at the given time. */
    public void heartbeatAnswered(int lane, long at) {
        LaneHealth health = lanes[lane];
        if (!health.heartbeatPending || at < health.heartbeatSentAt || health.state == State.DEAD) {
            return; // the answer belongs to an earlier heartbeat, or the lane is dead
        }
        health.heartbeatPending = false;
        health.lagUs = Math.max(0, at - health.heartbeatSentAt);
        if (health.lagUs >= STALLED_AFTER_US) {
            health.lastLateAt = at;
        }
        if (health.state == State.STARTING || health.state == State.STALLED
                && at - health.lastLateAt >= RECOVERY_PERIOD_US) {
            health.state = State.SERVING;
        }
    }

    /** The lane's event loop ended with an error, or the lane was fenced. */
    public void died(int lane, long now) {
        LaneHealth health = lanes[lane];
        boolean diedEarlyAgain = health.replacesDeadLane && now - health.startedAt < STABLE_UPTIME_US;
        health.state = State.DEAD;
        health.restartDelayUs = diedEarlyAgain
                ? Math.min(MAX_RESTART_DELAY_US, Math.max(MIN_RESTART_DELAY_US, 2 * health.restartDelayUs)) : 0;
        health.restartAt = now + health.restartDelayUs;
    }

    /** Returns when to start a replacement: at once, or after a delay that grows while replacements die early. */
    public long restartAt(int lane) {
        return lanes[lane].restartAt;
    }

    /** Updates a lane's state from its unanswered heartbeat and returns the state; DEAD if the lane is to be fenced. */
    public State check(int lane, long now) {
        LaneHealth health = lanes[lane];
        long unansweredUs = health.heartbeatPending ? now - health.heartbeatSentAt : 0;
        if (health.state == State.SERVING && unansweredUs >= STALLED_AFTER_US) {
            health.state = State.STALLED;
            health.lastLateAt = now;
        }
        if (health.state != State.DEAD && unansweredUs >= FENCED_AFTER_US) {
            health.state = State.DEAD;
        }
        return health.state;
    }

    /** Returns the state of a lane as of the last event or check. */
    public State state(int lane) {
        return lanes[lane].state;
    }

    /** Returns the last heartbeat's response time or, if longer, the time that the current one is unanswered. */
    public long lag(int lane, long now) {
        LaneHealth health = lanes[lane];
        return Math.max(health.lagUs, health.heartbeatPending ? now - health.heartbeatSentAt : 0);
    }
}
