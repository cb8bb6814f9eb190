package burlford.core;

import java.util.HashMap;
import java.util.Map;

/** The ids of queries whose parts may have run, the latest {@value #CAPACITY} at least half of them. Thread-safe. */
public final class RetainedIds {

    /** Bounds the memory, whatever ids clients choose. */
    static final int CAPACITY = 16_384;

    private Map<String, Long> latest = new HashMap<>();
    private Map<String, Long> earlier = Map.of();

    /** Retains an id until the given time. The oldest ids are forgotten where there are too many. */
    public synchronized void add(String id, long until) {
        latest.put(id, until);
        if (latest.size() >= CAPACITY / 2) {
            earlier = latest;
            latest = new HashMap<>();
        }
    }

    public synchronized boolean contains(String id, long now) {
        Long until = latest.getOrDefault(id, earlier.get(id));
        return until != null && now < until;
    }
}
