package burlford.core;

import burlford.policy.Aggregator.Outcome;
import burlford.policy.Dispatcher.Part;
import burlford.policy.Dispatcher.Send;
import burlford.policy.PeerUpdate;
import java.util.List;

/**
 * What the coordinators of one process hold together, as one of them sees it; a coordinator that is alone holds it for
 * itself. Each has its own of these, called on its event loop alone.
 */
public interface SharedState {

    /**
     * Before each decision: what was told to all coordinators and not yet taken here (lists, settings) is taken now,
     * through the calls it would come by otherwise.
     */
    void applyBroadcasts();

    /** Takes the id of a query; false where one of that id is open, on whatever coordinator. */
    boolean claimId(String id);

    /** The query of an id that was claimed here has ended. */
    void releaseId(String id);

    /** Takes room for so many queries and parts out of most; false, and nothing taken, where there is not so much. */
    boolean tryAcquireCapacity(int units, int most);

    void releaseCapacity(int units);

    /** A number for a query, above 0, that no coordinator uses twice. */
    long nextQueryNumber();

    /** Another may ask this reader for its load; false: a question is out, and what comes of it will be heard. */
    boolean claimProbe(String reader);

    /** Tells the others that an attempt was sent; sooner or later, or never: they must do without. */
    void notifySent(Send send, Part part, int queryClass, long at, long until);

    /** Tells them that one has ended. load: the reader's report, or empty. */
    void notifyEnded(Send send, Outcome outcome, long at, long elapsed, double[] load);

    /** Tells them what came of a probe; whoever waits for it is woken. */
    void notifyProbed(String reader, Outcome outcome, long at, long elapsed, double[] load);

    /** What the others said since last asked, oldest first. */
    List<PeerUpdate> pollPeerUpdates();

    /**
     * Microseconds by which what came in of late may be older than it looks, since this coordinator's loop stood
     * still; 0 where it did not.
     */
    long stallUs();
}
