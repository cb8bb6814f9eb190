package burlford.core;

import burlford.policy.Aggregator.Outcome;
import burlford.policy.Dispatcher.Part;
import burlford.policy.Dispatcher.Send;
import burlford.policy.PeerUpdate;
import burlford.policy.QueryIdRules.IdState;
import java.util.List;

/**
 * State that the coordinators of one process share, as one of them sees it: ids and number of open queries, probes,
 * peer updates. Each coordinator has its own instance and calls it on its event loop only. All times are microseconds.
 */
public interface SharedState {

    /**
     * Applies the broadcasts (reader lists, settings) that were published to all coordinators and not yet applied
     * here, by the same calls that would deliver them otherwise. To be called before each decision.
     */
    void applyBroadcasts();

    /** Claims the id of a query if it is free on all coordinators of the process; returns what it was. */
    IdState claimId(String id, long now);

    /**
     * Releases an id that was claimed here, since its query has ended.
     *
     * @param retainedUntil until when no other query may be taken under it; {@code NOT_RETAINED}: it is free
     */
    void releaseId(String id, long retainedUntil);

    /**
     * Acquires capacity for open queries and parts, all or nothing.
     *
     * @param units number of queries and parts to be added
     * @param limit open queries and parts of the process, at most
     * @return false where the limit does not allow that many; then nothing is acquired
     */
    boolean tryAcquireCapacity(int units, int limit);

    /** Gives back capacity that was acquired here. units: number of queries and parts. */
    void releaseCapacity(int units);

    /** The next query number: above 0 and unique in the process. */
    long nextQueryNumber();

    /** Claims the probe of this reader; false where one is out already, whose result arrives as a peer update. */
    boolean claimProbe(String reader);

    /** Notifies the peers that an attempt was sent. Peer updates may be late or lost, so peers must cope without. */
    void notifySent(Send send, Part part, int queryClass, long sentAt, long waitsUntil);

    /** Notifies the peers that an attempt has ended. loadReport: the reader's load report, or empty. */
    void notifyEnded(Send send, Outcome outcome, long endedAt, long elapsed, double[] loadReport);

    /** Notifies the peers of a probe's result and wakes those that await it. */
    void notifyProbed(String reader, Outcome outcome, long endedAt, long elapsed, double[] loadReport);

    /** Takes the peer updates received since the last call, oldest first. */
    List<PeerUpdate> pollPeerUpdates();

    /**
     * Microseconds for which this coordinator's event loop was stalled; what is read now may have arrived that much
     * earlier. 0 where it was not stalled.
     */
    long stallUs();
}
