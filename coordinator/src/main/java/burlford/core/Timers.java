package burlford.core;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * The timers of an event loop, which runs those that are due once in each iteration; there are no other timers. All
 * times are microseconds.
 */
public final class Timers {

    /** A scheduled action, which can be cancelled. */
    public static final class Timer {
        private final long dueAt;
        private final long sequence;
        private final Runnable action;

        private Timer(long dueAt, long sequence, Runnable action) {
            this.dueAt = dueAt;
            this.sequence = sequence;
            this.action = action;
        }
    }

    private final TreeSet<Timer> timers = new TreeSet<>(
            Comparator.comparingLong((Timer d) -> d.dueAt).thenComparingLong(d -> d.sequence));
    private long nextSequence;

    /** Schedules an action; actions due at the same time run in the order in which they were scheduled. */
    public Timer schedule(long dueAt, Runnable action) {
        Timer timer = new Timer(dueAt, nextSequence++, action);
        timers.add(timer);
        return timer;
    }

    /** Cancels a timer; does nothing if the timer is null or has already run. */
    public void cancel(Timer timer) {
        if (timer != null) {
            timers.remove(timer);
        }
    }

    /** When the next timer is due; Long.MAX_VALUE where there is none. */
    public long nextDueAt() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.first().dueAt;
    }

    /** Runs the timers that are due, earliest first, also those that are scheduled meanwhile and already due. */
    public void runDue(long now) {
        while (!timers.isEmpty() && timers.first().dueAt <= now) {
            timers.pollFirst().action.run();
        }
    }
}
