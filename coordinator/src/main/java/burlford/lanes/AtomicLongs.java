package burlford.lanes;

import java.util.concurrent.atomic.AtomicLongArray;

/** Numbers that lanes read and change, each step at once; what {@link Leases} is made of. */
public interface AtomicLongs {

    /** Longs from one cell to the next. */
    int STRIDE = 16;

    long get(int cell);

    /** Sets a cell if it still holds what was expected; false, and nothing done, where it does not. */
    boolean compareAndSet(int cell, long expected, long to);

    /** Those of a running process. */
    static AtomicLongs padded(int count) {
        // A line of the cache each: lanes that change their own cells must not wait for each other.
        AtomicLongArray cells = new AtomicLongArray(count * STRIDE);
        return new AtomicLongs() {
            @Override
            public long get(int cell) {
                return cells.get(cell * STRIDE);
            }

            @Override
            public boolean compareAndSet(int cell, long expected, long to) {
                return cells.compareAndSet(cell * STRIDE, expected, to);
            }
        };
    }
}
