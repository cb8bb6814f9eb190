package burlford.lanes;

import java.util.concurrent.ConcurrentHashMap;

/** The ids of the queries open in the process, each with the lane that holds it. Thread-safe. */
public final class OpenIds {

    private final ConcurrentHashMap<String, Object> laneById = new ConcurrentHashMap<>();

    /** Claims an id for a lane; false if a query with this id is already open on any lane. */
    public boolean claim(String id, Object lane) {
        return laneById.putIfAbsent(id, lane) == null;
    }

    /** Releases an id after its query has ended; no effect unless this lane holds the id. */
    public void release(String id, Object lane) {
        laneById.remove(id, lane);
    }

    /** Returns the number of open ids. */
    public int size() {
        return laneById.size();
    }
}
