package burlford.lanes;

import burlford.policy.PeerUpdate;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.jctools.queues.MpmcArrayQueue;

/**
 * Bounded queue of the peer updates for one lane. When full, it drops the oldest batch, because newer updates supersede
 * older ones. Any lane may offer; only the receiving lane polls.
 */
final class PeerUpdateQueue {

    /** In batches, one per event-loop iteration: about 0.2 s of three peers that iterate once per millisecond. */
    static final int CAPACITY = 512;

    private final MpmcArrayQueue<List<PeerUpdate>> queue = new MpmcArrayQueue<>(CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private long reportedDropped;

    /** Adds the updates of one event-loop iteration of one lane. */
    void offer(List<PeerUpdate> updates) {
        while (!queue.offer(updates)) {
            if (queue.poll() != null) {
                dropped.incrementAndGet();
            }
        }
    }

    /** Returns the next batch; null if the queue is empty. */
    List<PeerUpdate> poll() {
        return queue.poll();
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Returns whether batches were dropped since the last call. Only the receiving lane calls this. */
    boolean lostSinceLastCheck() {
        long now = dropped.get();
        boolean lost = now != reportedDropped;
        reportedDropped = now;
        return lost;
    }

    /** Returns the number of batches dropped so far. */
    long droppedBatches() {
        return dropped.get();
    }
}
