package burlford.lanes;

/**
 * A process-wide limit (open queries and parts, bytes, connections) that is leased to the lanes in chunks, which keeps
 * contention between lanes low. Each lane has a reserve of unused units; units that are neither in use nor in a reserve
 * are in the pool. A lane that needs more than its reserve takes a chunk from the pool and, if the pool is empty, units
 * from the reserves of other lanes. An acquisition therefore never fails while enough units are unused, except for the
 * moment in which another thread is transferring them.
 *
 * <p>At any time pool + reserves + in use + in transfer = total. Each step subtracts before it adds, and no amount
 * is drawn below 0, so the units in use never exceed the total. The exception is a reduced total: the pool can then
 * become negative, and nothing is granted until reclaimed and released units have brought it back to 0.
 */
public final class Leases {

    private static final int POOL = 0;
    /** A chunk is a lane's equal share of the total over this; a release cuts a reserve above two chunks to one. */
    private static final int CHUNKS_PER_LANE = 8;

    private final AtomicLongs amounts;
    private final int lanes;
    private volatile long chunkSize;

    /**
     * Creates leases with all units in the pool.
     *
     * @param amounts all 0; one for the pool and one per lane
     * @param total units in all, at least 0
     */
    public Leases(AtomicLongs amounts, int lanes, long total) {
        this.amounts = amounts;
        this.lanes = lanes;
        updateChunkSize(total);
        add(POOL, total);
    }

    private void updateChunkSize(long total) {
        chunkSize = Math.max(1, total / (CHUNKS_PER_LANE * (long) lanes));
    }

    /** Acquires an amount for a lane: all of it (true) or nothing (false). */
    public boolean tryAcquire(int lane, long amount) {
        if (amounts.get(POOL) < 0) {
            reclaim(lane);
        } else if (takeUpTo(reserveIndex(lane), amount, amount) == amount) {
            return true;
        }
        long acquired = takeUpTo(POOL, 1, amount + chunkSize);
        for (int i = 0; acquired < amount && i < lanes && amounts.get(POOL) >= 0; i++) {
            // Starts with the lane's own reserve, which may hold less than the amount.
            acquired += takeUpTo(reserveIndex((lane + i) % lanes), 1, amount - acquired);
        }
        boolean enough = acquired >= amount;
        long remainder = enough ? acquired - amount : acquired;
        add(enough && remainder <= 2 * chunkSize ? reserveIndex(lane) : POOL, remainder);
        return enough;
    }

    /** Returns an amount that a lane acquired and no longer uses. */
    public void release(int lane, long amount) {
        if (amounts.get(POOL) < 0) {
            add(POOL, amount);
            return;
        }
        add(reserveIndex(lane), amount);
        long excess = amounts.get(reserveIndex(lane)) - 2 * chunkSize;
        if (excess > 0) {
            add(POOL, takeUpTo(reserveIndex(lane), 1, excess + chunkSize));
        }
    }

    /** Moves a lane's reserve back to the pool. Any thread may call this, even while the lane acquires or releases. */
    public void reclaim(int lane) {
        add(POOL, takeUpTo(reserveIndex(lane), 1, Long.MAX_VALUE));
    }

    /** Changes the total. Units in use stay in use. Only one thread may call this. */
    public void resize(long oldTotal, long newTotal) {
        add(POOL, newTotal - oldTotal);
        updateChunkSize(newTotal);
        for (int lane = 0; lane < lanes && newTotal < oldTotal; lane++) {
            reclaim(lane);
        }
    }

    /** Returns the units not in use; exact only while no lane acquires or releases. Negative after a reduced total. */
    public long unused() {
        long sum = 0;
        for (int index = 0; index <= lanes; index++) {
            sum += amounts.get(index);
        }
        return sum;
    }

    private static int reserveIndex(int lane) {
        return 1 + lane;
    }

    /** Takes up to max units from one amount; takes nothing and returns 0 if it holds fewer than min. */
    private long takeUpTo(int index, long min, long max) {
        while (true) {
            long held = amounts.get(index);
            long taken = Math.min(held, max);
            if (taken < min || taken <= 0) {
                return 0;
            }
            if (amounts.compareAndSet(index, held, held - taken)) {
                return taken;
            }
        }
    }

    private void add(int index, long amount) {
        if (amount == 0) {
            return;
        }
        long held;
        do {
            held = amounts.get(index);
        } while (!amounts.compareAndSet(index, held, held + amount));
    }
}
