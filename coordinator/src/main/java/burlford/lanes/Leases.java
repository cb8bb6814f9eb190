package burlford.lanes;

/**
 * Something the process has so much of (room for open queries, bytes, connections), dealt out to its lanes in chunks
 * so that they seldom meet. What is neither in use nor held in store by a lane lies in the pool. A lane that needs
 * more than it has takes a chunk from the pool and, where that is empty, what other lanes hold unused: none is turned
 * away while another's share lies idle, but for the moment in which a third has it in hand.
 *
 * <p>At every moment pool + stores + in use + in hand = total, each step takes before it gives, and nothing is taken
 * below nought, so what is in use never passes the total. After a cut of the total the pool is in debt; until it is
 * paid off by what comes back, nothing is given out.
 */
public final class Leases {

    private static final int POOL = 0;
    /** A lane takes at once what would last it so many times over; it keeps at most twice as much unused. */
    private static final int CHUNKS_EACH = 8;

    private final AtomicLongs cells;
    private final int lanes;
    private volatile long chunk;

    /** cells: all nought, one more than lanes. total: how much there is, at least 0. */
    public Leases(AtomicLongs cells, int lanes, long total) {
        this.cells = cells;
        this.lanes = lanes;
        chunk(total);
        add(POOL, total);
    }

    private void chunk(long total) {
        chunk = Math.max(1, total / (CHUNKS_EACH * (long) lanes));
    }

    /** Takes so much for a lane, all or nothing. */
    public boolean tryAcquire(int lane, long amount) {
        if (cells.get(POOL) < 0) {
            reclaim(lane);
        } else if (takeUpTo(store(lane), amount, amount) == amount) {
            return true;
        }
        long inHand = takeUpTo(POOL, 1, amount + chunk);
        for (int i = 0; inHand < amount && i < lanes && cells.get(POOL) >= 0; i++) {
            // Its own first: an earlier share of it may still lie there.
            inHand += takeUpTo(store((lane + i) % lanes), 1, amount - inHand);
        }
        boolean enough = inHand >= amount;
        long rest = enough ? inHand - amount : inHand;
        add(enough && rest <= 2 * chunk ? store(lane) : POOL, rest);
        return enough;
    }

    /** Gives back what a lane took and no longer uses. */
    public void release(int lane, long amount) {
        if (cells.get(POOL) < 0) {
            add(POOL, amount);
            return;
        }
        add(store(lane), amount);
        long over = cells.get(store(lane)) - 2 * chunk;
        if (over > 0) {
            add(POOL, takeUpTo(store(lane), 1, over + chunk));
        }
    }

    /** What a lane holds unused goes back to the pool; any thread may say so, whatever the lane does meanwhile. */
    public void reclaim(int lane) {
        add(POOL, takeUpTo(store(lane), 1, Long.MAX_VALUE));
    }

    /** From now on there is so much more, or less. What is in use stays in use. One thread calls it. */
    public void resize(long from, long to) {
        add(POOL, to - from);
        chunk(to);
        for (int lane = 0; lane < lanes && to < from; lane++) {
            reclaim(lane);
        }
    }

    /** What is in nobody's use; exact while no lane is in the middle of a step. */
    public long unused() {
        long sum = 0;
        for (int cell = 0; cell <= lanes; cell++) {
            sum += cells.get(cell);
        }
        return sum;
    }

    private static int store(int lane) {
        return 1 + lane;
    }

    /** Takes between least and most from a cell, as much as it has; 0 where it has less than least. */
    private long takeUpTo(int cell, long least, long most) {
        while (true) {
            long held = cells.get(cell);
            long taken = Math.min(held, most);
            if (taken < least || taken <= 0) {
                return 0;
            }
            if (cells.compareAndSet(cell, held, held - taken)) {
                return taken;
            }
        }
    }

    private void add(int cell, long amount) {
        if (amount == 0) {
            return;
        }
        long held;
        do {
            held = cells.get(cell);
        } while (!cells.compareAndSet(cell, held, held + amount));
    }
}
