package burlford.lanes;

import burlford.policy.PeerUpdate;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.jctools.queues.MpmcArrayQueue;

/**
 * What the other lanes tell one lane: bounded, and full it drops the oldest, for what is new makes it worthless. Any
 * lane may offer; one takes.
 */
final class PeerUpdateQueue {

    /** Turns' worth of words: at a turn each millisecond, what three others say in a fifth of a second. */
    static final int CAPACITY = 512;

    private final MpmcArrayQueue<List<PeerUpdate>> queue = new MpmcArrayQueue<>(CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private long reportedDropped;

    /** All of one turn of one lane. */
    void offer(List<PeerUpdate> words) {
        while (!queue.offer(words)) {
            if (queue.poll() != null) {
                dropped.incrementAndGet();
            }
        }
    }

    /** null: nothing more. */
    List<PeerUpdate> poll() {
        return queue.poll();
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Some were dropped since this was last asked; the taker asks. */
    boolean lostSinceLastCheck() {
        long now = dropped.get();
        boolean lost = now != reportedDropped;
        reportedDropped = now;
        return lost;
    }

    long droppedBatches() {
        return dropped.get();
    }
}
