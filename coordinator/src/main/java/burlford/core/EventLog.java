package burlford.core;

import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Logs events of single queries, attempts and connections, so that incidents can be analysed afterwards. At most
 * {@link #MAX_EVENTS_PER_SECOND} events are logged per second; further ones are only counted. Not thread-safe.
 */
public final class EventLog {

    static final int MAX_EVENTS_PER_SECOND = 20;
    private static final long SECOND_US = 1_000_000;

    private final Logger logger;
    private final LongSupplier clock;
    private long secondStartedAt;
    private int loggedThisSecond;
    private long omitted;

    /** source: the class under whose logger events are logged. clock: microseconds. */
    public EventLog(Class<?> source, LongSupplier clock) {
        this.logger = Logger.getLogger(source.getName());
        this.clock = clock;
        this.secondStartedAt = clock.getAsLong();
    }

    /** Logs the words, separated by spaces, unless the limit for this second is reached. */
    public void log(Object... words) {
        if (!logger.isLoggable(Level.INFO)) {
            return;
        }
        startNewSecondIfDue();
        if (loggedThisSecond >= MAX_EVENTS_PER_SECOND) {
            omitted++;
            return;
        }
        loggedThisSecond++;
        StringBuilder line = new StringBuilder();
        for (Object word : words) {
            line.append(line.isEmpty() ? "" : " ").append(word);
        }
        logger.logp(Level.INFO, logger.getName(), null, line.toString());
    }

    private void startNewSecondIfDue() {
        long now = clock.getAsLong();
        if (now - secondStartedAt < SECOND_US) {
            return;
        }
        secondStartedAt = now;
        loggedThisSecond = 0;
        if (omitted > 0) {
            logger.logp(Level.INFO, logger.getName(), null, omitted + " further events were not logged");
            omitted = 0;
        }
    }
}
