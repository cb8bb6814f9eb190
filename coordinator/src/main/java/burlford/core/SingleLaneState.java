package burlford.core;

import burlford.policy.Aggregator.Outcome;
import burlford.policy.Dispatcher.Part;
import burlford.policy.Dispatcher.Send;
import burlford.policy.PeerUpdate;
import burlford.policy.QueryIdRules;
import burlford.policy.QueryIdRules.IdState;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;

/** The {@link SharedState} of a process with only one coordinator. */
public final class SingleLaneState implements SharedState {

    private final Set<String> openIds = new HashSet<>();
    private final RetainedIds retainedIds = new RetainedIds();
    private int openUnits;
    private long lastQueryNumber;
    private final LongSupplier stallUs;

    /** stallUs: microseconds for which the event loop was stalled, as for {@link #stallUs()}. */
    public SingleLaneState(LongSupplier stallUs) {
        this.stallUs = stallUs;
    }

    @Override
    public void applyBroadcasts() { }

    @Override
    public IdState claimId(String id, long now) {
        if (retainedIds.contains(id, now)) {
            return IdState.RETAINED;
        }
        return openIds.add(id) ? IdState.FREE : IdState.OPEN;
    }

    @Override
    public void releaseId(String id, long retainedUntil) {
        openIds.remove(id);
        if (retainedUntil != QueryIdRules.NOT_RETAINED) {
            retainedIds.add(id, retainedUntil);
        }
    }

    @Override
    public boolean tryAcquireCapacity(int units, int limit) {
        if (openUnits + units > limit) {
            return false;
        }
        openUnits += units;
        return true;
    }

    @Override
    public void releaseCapacity(int units) {
        openUnits -= units;
    }

    @Override
    public long nextQueryNumber() {
        return ++lastQueryNumber;
    }

    @Override
    public boolean claimProbe(String reader) {
        return true;
    }

    @Override
    public void notifySent(Send send, Part part, int queryClass, long sentAt, long waitsUntil) { }

    @Override
    public void notifyEnded(Send send, Outcome outcome, long endedAt, long elapsed, double[] loadReport) { }

    @Override
    public void notifyProbed(String reader, Outcome outcome, long endedAt, long elapsed, double[] loadReport) { }

    @Override
    public List<PeerUpdate> pollPeerUpdates() {
        return List.of();
    }

    @Override
    public long stallUs() {
        return stallUs.getAsLong();
    }
}
