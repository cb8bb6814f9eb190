package burlford.core;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;

/** Counters of events, by name. One event loop writes them; any thread may read them. */
public final class Counters {

    private static final class Count {
        private static final VarHandle VALUE;
        private long value;

        static {
            try {
                VALUE = MethodHandles.lookup().findVarHandle(Count.class, "value", long.class);
            } catch (ReflectiveOperationException e) {
                throw new ExceptionInInitializerError(e);
            }
        }

        void add(long amount) {
            VALUE.setOpaque(this, value + amount);
        }

        long get() {
            return (long) VALUE.getOpaque(this);
        }
    }

    private final Map<String, Count> counts = new ConcurrentHashMap<>();

    public void add(String name) {
        add(name, 1);
    }

    public void add(String name, long amount) {
        Count count = counts.get(name);
        if (count == null) {
            count = new Count();
            counts.put(name, count);
        }
        count.add(amount);
    }

    public long get(String name) {
        Count count = counts.get(name);
        return count == null ? 0 : count.get();
    }

    /** Passes name and value of each counter to the consumer, in no particular order. */
    public void forEach(BiConsumer<String, Long> consumer) {
        counts.forEach((name, count) -> consumer.accept(name, count.get()));
    }

    /** All counters as text, sorted by name; one line each: the name, a space, the count. */
    public String text() {
        Map<String, Long> sorted = new TreeMap<>();
        forEach(sorted::put);
        return text(sorted);
    }

    /** The given counts as text, in the same form. */
    public static String text(Map<String, Long> sorted) {
        StringBuilder lines = new StringBuilder();
        sorted.forEach((name, count) -> lines.append(name).append(' ').append(count).append('\n'));
        return lines.toString();
    }
}
