package burlford.policy;

import burlford.policy.Aggregator.Status;
import java.util.Optional;

/**
 * Looks again at an attempt right before its frame is written. It was decided earlier: since then its event loop may
 * have been busy or held up, or the connection may have taken its time to come up.
 */
public final class SendCheck {

    /** A reader is told whole milliseconds: with less left an attempt cannot be told its time. */
    private static final long LEAST_TIME_LEFT_US = 1_000;

    /** Why an attempt does not begin any more. */
    public enum WithholdReason { QUERY_OVER, TIME_OVER, READER_NOT_READY, REPEATED_TOO_LATE, CLIENT_LEFT }

    /**
     * What is known of an attempt as it is about to begin.
     *
     * @param deadline when the coordinator stops waiting for it, in microseconds
     * @param readerStatus the state of its reader; GONE where it is not listed, or has started anew since the decision
     * @param repeatAllowed it is its part's first attempt, or the part may run once more at this time
     * @param clientConnected its query's client has not closed its connection
     */
    public record AttemptState(long deadline, Status readerStatus, boolean repeatAllowed, boolean clientConnected) { }

    private SendCheck() { }

    /** Why the attempt may not begin now; empty where it may. */
    public static Optional<WithholdReason> reasonToWithhold(long now, AttemptState facts) {
        if (facts.deadline() - now < LEAST_TIME_LEFT_US) {
            return Optional.of(WithholdReason.TIME_OVER);
        }
        if (facts.readerStatus() != Status.READY) {
            return Optional.of(WithholdReason.READER_NOT_READY);
        }
        if (!facts.repeatAllowed()) {
            return Optional.of(WithholdReason.REPEATED_TOO_LATE);
        }
        return facts.clientConnected() ? Optional.empty() : Optional.of(WithholdReason.CLIENT_LEFT);
    }
}
