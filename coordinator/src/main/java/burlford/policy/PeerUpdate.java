package burlford.policy;

import burlford.policy.Aggregator.Outcome;
import burlford.policy.Dispatcher.Part;
import burlford.policy.Dispatcher.Send;

/**
 * What a coordinator tells the other coordinators in its process about its attempts and probes. All times and durations
 * are microseconds; times are on the clock that the coordinators share, so an update that arrives late is known to be
 * old.
 */
public sealed interface PeerUpdate {

    /**
     * The coordinator has sent an attempt of a part.
     *
     * @param waitsUntil when it stops waiting for the answer
     */
    record AttemptSent(Send send, Part part, int queryClass, long sentAt, long waitsUntil) implements PeerUpdate { }

    /**
     * An attempt of the coordinator has ended.
     *
     * @param elapsed how long it took
     * @param loadReport the reader's load report, or empty
     */
    record AttemptEnded(Send send, Outcome outcome, long endedAt, long elapsed, double[] loadReport)
            implements PeerUpdate { }

    /**
     * A probe of the coordinator has ended.
     *
     * @param elapsed how long it took
     * @param loadReport the reader's load report, or empty
     */
    record ProbeEnded(String reader, Outcome outcome, long endedAt, long elapsed, double[] loadReport)
            implements PeerUpdate { }

    /** Updates were dropped, so it is no longer known which attempts the other coordinators have in flight. */
    record UpdatesLost() implements PeerUpdate { }
}
