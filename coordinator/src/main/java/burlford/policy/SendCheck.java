package burlford.policy;

import burlford.policy.Aggregator.Status;
import java.util.Optional;

/**
 * Checks an attempt again right before its frame is written. The attempt was decided earlier: since then the event loop
 * may have been busy or stalled, or the connection may have taken long to be established.
 */
public final class SendCheck {

    /** Frames give the time left in whole milliseconds, so an attempt with less than one cannot be sent. */
    private static final long MIN_TIME_LEFT_US = 1_000;

    /** Why an attempt that was decided is not sent. */
    public enum WithholdReason {
        QUERY_OVER, TIME_OVER, READER_NOT_READY, REPEATED_TOO_LATE, CLIENT_LEFT, CLIENT_UNKNOWN
    }

    /**
     * State of an attempt that is about to be sent.
     *
     * @param deadline when the coordinator stops waiting for the attempt, in microseconds on the coordinator's clock
     * @param readerStatus status of its reader; GONE also if the reader has restarted since the decision
     * @param repeatAllowed whether it is the first attempt of its part, or the part may still be sent again now
     * @param client whether the client of its query is still there
     */
    public record AttemptState(long deadline, Status readerStatus, boolean repeatAllowed, ClientPresence client) { }

    private SendCheck() { }

    /**
     * Returns why the attempt may not be sent; empty if it may.
     *
     * @param now the coordinator's clock in microseconds
     */
    public static Optional<WithholdReason> reasonToWithhold(long now, AttemptState attempt) {
        if (attempt.deadline() - now < MIN_TIME_LEFT_US) {
            return Optional.of(WithholdReason.TIME_OVER);
        }
        if (attempt.readerStatus() != Status.READY) {
            return Optional.of(WithholdReason.READER_NOT_READY);
        }
        if (!attempt.repeatAllowed()) {
            return Optional.of(WithholdReason.REPEATED_TOO_LATE);
        }
        return switch (attempt.client()) {
            case CONNECTED -> Optional.empty();
            case LEFT -> Optional.of(WithholdReason.CLIENT_LEFT);
            case UNKNOWN -> Optional.of(WithholdReason.CLIENT_UNKNOWN);
        };
    }
}
