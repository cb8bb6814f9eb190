package burlford.lanes;

import java.util.Arrays;

/**
 * Which lanes are fit to serve, by the answers to what they are asked now and then: have you turned? A lane that has
 * not answered for a while stands still and gets no new connections; it does once it has answered again for a while.
 * One that stands still for long is given up: another is started in its place, and it may serve nothing any more,
 * should it wake. Pure: it is told what happened, and when.
 */
public final class Supervision {

    /** Microseconds without an answer after which a lane stands still, and after which it is given up. */
    public static final long STALLED_AFTER_US = 200_000;
    public static final long FENCED_AFTER_US = 10_000_000;
    /** For so long a lane that stood still has to answer in time before it gets connections again. */
    public static final long RECOVERY_PERIOD_US = 500_000;

    /** A lane that dies sooner than this after one that died is started later, up to the longest wait. */
    static final long STABLE_UPTIME_US = 30_000_000;
    static final long MIN_RESTART_DELAY_US = 100_000;
    static final long MAX_RESTART_DELAY_US = 5_000_000;

    /** STARTING: not heard of yet. */
    public enum State { STARTING, SERVING, STALLED, DEAD }

    private static final class LaneHealth {
        State state = State.STARTING;
        long askedAt;
        boolean asked;
        long lag;
        long lateAt = Long.MIN_VALUE / 2;
        long startedAt;
        boolean diedBefore;
        long wait;
        long startAgainAt;
    }

    private final LaneHealth[] lanes;

    public Supervision(int count) {
        lanes = new LaneHealth[count];
        Arrays.setAll(lanes, i -> new LaneHealth());
    }

    /** A lane was started, or started anew. */
    public void started(int lane, long now) {
        LaneHealth s = new LaneHealth();
        s.diedBefore = lanes[lane].state == State.DEAD;
        s.wait = lanes[lane].wait;
        s.startedAt = now;
        lanes[lane] = s;
        asked(lane, now);
    }

    /** The lane was asked; true where it is to be asked, since it has answered what it was asked before. */
    public boolean startHeartbeat(int lane, long now) {
        if (lanes[lane].asked || lanes[lane].state == State.DEAD) {
            return false;
        }
        asked(lane, now);
        return true;
    }

    private void asked(int lane, long now) {
        lanes[lane].asked = true;
        lanes[lane].askedAt = now;
    }

    /** The lane answered, at that time. */
    public void heartbeatAnswered(int lane, long at) {
        LaneHealth s = lanes[lane];
        if (!s.asked || at < s.askedAt || s.state == State.DEAD) {
            return; // what it answered before is no answer to this
        }
        s.asked = false;
        s.lag = Math.max(0, at - s.askedAt);
        if (s.lag >= STALLED_AFTER_US) {
            s.lateAt = at;
        }
        if (s.state == State.STARTING || s.state == State.STALLED && at - s.lateAt >= RECOVERY_PERIOD_US) {
            s.state = State.SERVING;
        }
    }

    /** Its turns have ended by an error, or it was given up. */
    public void died(int lane, long now) {
        LaneHealth s = lanes[lane];
        boolean again = s.diedBefore && now - s.startedAt < STABLE_UPTIME_US;
        s.state = State.DEAD;
        s.wait = again ? Math.min(MAX_RESTART_DELAY_US, Math.max(MIN_RESTART_DELAY_US, 2 * s.wait)) : 0;
        s.startAgainAt = now + s.wait;
    }

    /** When to start another in its place: at once, and later where those before it died soon. */
    public long restartAt(int lane) {
        return lanes[lane].startAgainAt;
    }

    /** Looks at a lane; DEAD once, the first time, is told for one that is given up. */
    public State check(int lane, long now) {
        LaneHealth s = lanes[lane];
        long silent = s.asked ? now - s.askedAt : 0;
        if (s.state == State.SERVING && silent >= STALLED_AFTER_US) {
            s.state = State.STALLED;
            s.lateAt = now;
        }
        if (s.state != State.DEAD && silent >= FENCED_AFTER_US) {
            s.state = State.DEAD;
        }
        return s.state;
    }

    public State state(int lane) {
        return lanes[lane].state;
    }

    /** Microseconds until it answered last, or since it was asked where that is longer. */
    public long lag(int lane, long now) {
        LaneHealth s = lanes[lane];
        return Math.max(s.lag, s.asked ? now - s.askedAt : 0);
    }
}
