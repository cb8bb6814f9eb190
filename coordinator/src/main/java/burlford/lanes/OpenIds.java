package burlford.lanes;

import burlford.core.RetainedIds;
import burlford.policy.QueryIdRules;
import burlford.policy.QueryIdRules.IdState;
import java.util.concurrent.ConcurrentHashMap;

/** The ids that are not free in the process: of open queries, each with its lane, and retained ones. Thread-safe. */
public final class OpenIds {

    private final ConcurrentHashMap<String, Object> laneById = new ConcurrentHashMap<>();
    private final RetainedIds retainedIds = new RetainedIds();

    /** Claims an id for a lane if it is free on all lanes; returns what it was. */
    public IdState claim(String id, Object lane, long now) {
        if (laneById.putIfAbsent(id, lane) != null) {
            return IdState.OPEN;
        }
        if (retainedIds.contains(id, now)) {
            laneById.remove(id, lane);
            return IdState.RETAINED;
        }
        return IdState.FREE;
    }

    /** Releases an id after its query has ended; no effect unless this lane holds the id. */
    public void release(String id, Object lane, long retainedUntil) {
        if (retainedUntil != QueryIdRules.NOT_RETAINED) {
            retainedIds.add(id, retainedUntil); // first, so that no other lane finds it free in between
        }
        laneById.remove(id, lane);
    }

    /** Returns the number of open ids. */
    public int size() {
        return laneById.size();
    }
}
