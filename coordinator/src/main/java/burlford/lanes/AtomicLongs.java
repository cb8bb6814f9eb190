package burlford.lanes;

import java.util.concurrent.atomic.AtomicLongArray;

/** A fixed number of longs that lanes read and change atomically; {@link Leases} keeps its amounts in them. */
public interface AtomicLongs {

    /** Array slots from one value to the next: 128 bytes, so that no two values share a cache line. */
    int STRIDE = 16;

    long get(int index);

    /** Sets a value if it still equals the expected one; otherwise returns false and changes nothing. */
    boolean compareAndSet(int index, long expected, long newValue);

    /** Returns values that are all 0, each on a cache line of its own. */
    static AtomicLongs padded(int count) {
        // Without padding, lanes that change different values would contend for the same cache line.
        AtomicLongArray slots = new AtomicLongArray(count * STRIDE);
        return new AtomicLongs() {
            @Override
            public long get(int cell) {
                return slots.get(cell * STRIDE);
            }

            @Override
            public boolean compareAndSet(int cell, long expected, long to) {
                return slots.compareAndSet(cell * STRIDE, expected, to);
            }
        };
    }
}
