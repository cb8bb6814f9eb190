package burlford.policy;

import burlford.policy.Aggregator.Outcome;
import burlford.policy.Dispatcher.Part;
import burlford.policy.Dispatcher.Send;

/**
 * What one coordinator of a process did or learnt, as the others of the process hear it. Times are microseconds on
 * the clock that all of them share: what is old when it is heard counts as old.
 */
public sealed interface PeerUpdate {

    /** It sent an attempt of a part; until: it will not wait longer. */
    record AttemptSent(Send send, Part part, int queryClass, long sentAt, long waitsUntil) implements PeerUpdate { }

    /** An attempt it sent has ended. load: the reader's report, or empty. */
    record AttemptEnded(Send send, Outcome outcome, long endedAt, long elapsed, double[] loadReport)
            implements PeerUpdate { }

    /** A probe it sent has ended. */
    record ProbeEnded(String reader, Outcome outcome, long endedAt, long elapsed, double[] loadReport)
            implements PeerUpdate { }

    /** Words were lost: what others have out is not known any more. */
    record UpdatesLost() implements PeerUpdate { }
}
