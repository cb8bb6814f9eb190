package burlford.core;

import burlford.policy.Aggregator.Outcome;
import burlford.policy.Dispatcher.Part;
import burlford.policy.Dispatcher.Send;
import burlford.policy.PeerUpdate;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;

/** The commons of a coordinator that is the only one of its process. */
public final class SingleLaneState implements SharedState {

    private final Set<String> ids = new HashSet<>();
    private int open;
    private long lastNumber;
    private final LongSupplier stoodStill;

    /** stoodStill: by how many microseconds what is read now may be older than it looks. */
    public SingleLaneState(LongSupplier stoodStill) {
        this.stoodStill = stoodStill;
    }

    @Override
    public void applyBroadcasts() { }

    @Override
    public boolean claimId(String id) {
        return ids.add(id);
    }

    @Override
    public void releaseId(String id) {
        ids.remove(id);
    }

    @Override
    public boolean tryAcquireCapacity(int units, int most) {
        if (open + units > most) {
            return false;
        }
        open += units;
        return true;
    }

    @Override
    public void releaseCapacity(int units) {
        open -= units;
    }

    @Override
    public long nextQueryNumber() {
        return ++lastNumber;
    }

    @Override
    public boolean claimProbe(String reader) {
        return true;
    }

    @Override
    public void notifySent(Send send, Part part, int queryClass, long at, long until) { }

    @Override
    public void notifyEnded(Send send, Outcome outcome, long at, long elapsed, double[] load) { }

    @Override
    public void notifyProbed(String reader, Outcome outcome, long at, long elapsed, double[] load) { }

    @Override
    public List<PeerUpdate> pollPeerUpdates() {
        return List.of();
    }

    @Override
    public long stallUs() {
        return stoodStill.getAsLong();
    }
}
