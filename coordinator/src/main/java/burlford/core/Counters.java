package burlford.core;

import java.util.Map;
import java.util.TreeMap;

/** Counts of what came in, went out and was answered, by name. One event loop writes and reads them. */
public final class Counters {

    private final Map<String, long[]> counts = new TreeMap<>();

    public void add(String name) {
        add(name, 1);
    }

    public void add(String name, long by) {
        counts.computeIfAbsent(name, n -> new long[1])[0] += by;
    }

    public long get(String name) {
        long[] count = counts.get(name);
        return count == null ? 0 : count[0];
    }

    /** One line each: the name, a space, the count. */
    public String text() {
        StringBuilder out = new StringBuilder();
        counts.forEach((name, count) -> out.append(name).append(' ').append(count[0]).append('\n'));
        return out.toString();
    }
}
