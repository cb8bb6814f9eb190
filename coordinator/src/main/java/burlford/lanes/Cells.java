package burlford.lanes;

import java.util.concurrent.atomic.AtomicLongArray;

/** Numbers that lanes read and change, each step at once; what {@link Leases} is made of. */
public interface Cells {

    /** Longs from one cell to the next. */
    int APART = 16;

    long get(int cell);

    /** Sets a cell if it still holds what was expected; false, and nothing done, where it does not. */
    boolean set(int cell, long expected, long to);

    /** Those of a running process. */
    static Cells atomic(int count) {
        // A line of the cache each: lanes that change their own cells must not wait for each other.
        AtomicLongArray cells = new AtomicLongArray(count * APART);
        return new Cells() {
            @Override
            public long get(int cell) {
                return cells.get(cell * APART);
            }

            @Override
            public boolean set(int cell, long expected, long to) {
                return cells.compareAndSet(cell * APART, expected, to);
            }
        };
    }
}
