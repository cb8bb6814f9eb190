package burlford.core;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;

/** Counts of what came in, went out and was answered, by name. One event loop writes them; any thread may read. */
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

        void add(long by) {
            VALUE.setOpaque(this, value + by);
        }

        long get() {
            return (long) VALUE.getOpaque(this);
        }
    }

    private final Map<String, Count> counts = new ConcurrentHashMap<>();

    public void add(String name) {
        add(name, 1);
    }

    public void add(String name, long by) {
        Count c = counts.get(name);
        if (c == null) {
            c = new Count();
            counts.put(name, c);
        }
        c.add(by);
    }

    public long get(String name) {
        Count c = counts.get(name);
        return c == null ? 0 : c.get();
    }

    /** Tells all counts, in no order. */
    public void forEach(BiConsumer<String, Long> to) {
        counts.forEach((name, count) -> to.accept(name, count.get()));
    }

    /** One line each: the name, a space, the count. */
    public String text() {
        Map<String, Long> sorted = new TreeMap<>();
        forEach(sorted::put);
        return text(sorted);
    }

    /** The same of counts put together by the caller. */
    public static String text(Map<String, Long> sorted) {
        StringBuilder out = new StringBuilder();
        sorted.forEach((name, count) -> out.append(name).append(' ').append(count).append('\n'));
        return out.toString();
    }
}
