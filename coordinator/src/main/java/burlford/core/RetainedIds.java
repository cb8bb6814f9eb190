package burlford.core;

import java.util.HashSet;
import java.util.Set;

/** The ids of queries whose parts may have run, the latest {@value #CAPACITY} at least half of them. Thread-safe. */
public final class RetainedIds {

    /** Bounds the memory, whatever ids clients choose. */
    static final int CAPACITY = 16_384;

    private Set<String> latest = new HashSet<>();
    private Set<String> earlier = Set.of();

    /** Retains an id. The oldest ids are forgotten where there are too many. */
    public synchronized void add(String id) {
        latest.add(id);
        if (latest.size() >= CAPACITY / 2) {
            earlier = latest;
            latest = new HashSet<>();
        }
    }

    public synchronized boolean contains(String id) {
        return latest.contains(id) || earlier.contains(id);
    }
}
