package burlford.core;

import java.util.Comparator;
import java.util.TreeSet;

/** All that is due at some time, sorted by when. Swept once each turn of the event loop; there is no other timer. */
public final class Timers {

    /** Something due; the holder may call it off. */
    public static final class Timer {
        private final long at;
        private final long order;
        private final Runnable action;

        private Timer(long at, long order, Runnable action) {
            this.at = at;
            this.order = order;
            this.action = action;
        }
    }

    private final TreeSet<Timer> sorted = new TreeSet<>(
            Comparator.comparingLong((Timer d) -> d.at).thenComparingLong(d -> d.order));
    private long order;

    public Timer schedule(long time, Runnable action) {
        Timer d = new Timer(time, order++, action);
        sorted.add(d);
        return d;
    }

    /** Calls a deadline off; null and one that has passed are fine. */
    public void cancel(Timer d) {
        if (d != null) {
            sorted.remove(d);
        }
    }

    /** When the next one is due; Long.MAX_VALUE when there is none. */
    public long nextDueAt() {
        return sorted.isEmpty() ? Long.MAX_VALUE : sorted.first().at;
    }

    /** Runs what is due by now, earliest first. What is added meanwhile waits for the next turn unless due. */
    public void runDue(long now) {
        while (!sorted.isEmpty() && sorted.first().at <= now) {
            sorted.pollFirst().action.run();
        }
    }
}
