package burlford.core;

import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Logs events of single queries, attempts and connections, so that an incident can be followed afterwards. Bounded: of
 * more events than {@link #MAX_EVENTS_PER_SECOND} the rest of that second's are only counted. Not thread-safe.
 */
public final class EventLog {

    static final int MAX_EVENTS_PER_SECOND = 20;
    private static final long SECOND_US = 1_000_000;

    private final Logger logger;
    private final LongSupplier clock;
    private long secondStartedAt;
    private int logged;
    private long omitted;

    /** clock: microseconds. */
    public EventLog(Class<?> source, LongSupplier clock) {
        this.logger = Logger.getLogger(source.getName());
        this.clock = clock;
        this.secondStartedAt = clock.getAsLong();
    }

    /** Logs the words, separated by spaces, unless this second had its share. */
    public void log(Object... words) {
        if (!logger.isLoggable(Level.INFO)) {
            return;
        }
        startSecond();
        if (logged >= MAX_EVENTS_PER_SECOND) {
            omitted++;
            return;
        }
        logged++;
        StringBuilder line = new StringBuilder();
        for (Object word : words) {
            line.append(line.isEmpty() ? "" : " ").append(word);
        }
        logger.logp(Level.INFO, logger.getName(), null, line.toString());
    }

    private void startSecond() {
        long now = clock.getAsLong();
        if (now - secondStartedAt < SECOND_US) {
            return;
        }
        secondStartedAt = now;
        logged = 0;
        if (omitted > 0) {
            logger.logp(Level.INFO, logger.getName(), null, omitted + " further events were not logged");
            omitted = 0;
        }
    }
}
