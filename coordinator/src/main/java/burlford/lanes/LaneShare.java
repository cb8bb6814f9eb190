package burlford.lanes;

import burlford.core.ClientLimits;
import burlford.core.ReaderConnectionLimits;
import burlford.core.SharedState;
import burlford.policy.Aggregator.Outcome;
import burlford.policy.Dispatcher.Part;
import burlford.policy.Dispatcher.Send;
import burlford.policy.PeerUpdate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

/**
 * One lane's part in what the process holds together. What the lane has taken is noted here, so that it can all be
 * given back when the lane fails. Its {@link SharedState}, {@link ReaderConnectionLimits} and {@link ClientLimits} are
 * the lane's thread's; methods said to be so are for any thread.
 */
public final class LaneShare implements SharedState {

    /** Shorter than this a loop's being late is its ordinary work, not standing still (microseconds). */
    static final long STALL_THRESHOLD_US = 50_000;

    private final ProcessResources ground;
    private final int lane;
    private final Executor loop;
    private final LongSupplier clock;
    final PeerUpdateQueue peerUpdates = new PeerUpdateQueue();
    private final ConcurrentLinkedQueue<Runnable> orders = new ConcurrentLinkedQueue<>();
    private volatile long told;
    private volatile long taken;
    private boolean taking;
    private volatile boolean givenUp;
    private Runnable onGivenUp = () -> { };
    private Runnable makeRoom = () -> { };
    private Runnable onHeard = () -> { };

    private List<PeerUpdate> said = new ArrayList<>();
    private final Set<String> ids = new HashSet<>();
    private final Set<String> asks = new HashSet<>();
    private final Map<String, Integer> readers = new HashMap<>();
    private volatile int used;
    private long held;
    private long number;
    private long numbersEnd;

    private final AtomicInteger connections = new AtomicInteger();
    private volatile long longestIdleSince = Long.MAX_VALUE;
    private volatile long askedAt;
    private volatile long answeredAt;

    /** loop: runs what it is given on the lane's thread. clock: microseconds, the process's. */
    public LaneShare(ProcessResources ground, int lane, Executor loop, LongSupplier clock) {
        this.ground = ground;
        this.lane = lane;
        this.loop = loop;
        this.clock = clock;
    }

    /**
     * From now on others are heard. onGivenUp: what to do should the lane find itself given up. makeRoom: closes the
     * client connection that waits longest. onHeard: looks at what a probe that was waited for told.
     */
    public void join(Runnable onGivenUp, Runnable makeRoom, Runnable onHeard) {
        this.onGivenUp = onGivenUp;
        this.makeRoom = makeRoom;
        this.onHeard = onHeard;
        ground.shares.add(this);
    }

    // ---- orders: what is told to all lanes

    /** Any one thread: adds an order; it counts from {@link #publishBroadcasts} on. */
    public void stageBroadcast(Runnable order) {
        orders.add(order);
    }

    /** What was ordered counts from now on: before its next decision the lane takes it. */
    public void publishBroadcasts(long generation) {
        told = generation;
        post(this::applyBroadcasts);
    }

    /** A lane that has ended meanwhile does nothing any more. */
    private void post(Runnable action) {
        try {
            loop.execute(action);
        } catch (RejectedExecutionException e) {
            // it has ended
        }
    }

    /** Any thread: the generation of what the lane has taken. */
    public long appliedGeneration() {
        return taken;
    }

    /** Any thread: from now on the lane decides nothing and answers nothing but failure. */
    public void fence() {
        givenUp = true;
        ground.probes.releaseAll(this); // nobody would be told of them
        ground.queryCapacity.reclaim(lane);
        ground.requestBytes.reclaim(lane);
    }

    public boolean isFenced() {
        return givenUp;
    }

    @Override
    public void applyBroadcasts() {
        if (givenUp) {
            onGivenUp.run();
            return;
        }
        if (taking) {
            return; // one order is over before the next begins
        }
        taking = true;
        try {
            while (taken != told) {
                long upTo = told;
                for (Runnable order = orders.poll(); order != null; order = orders.poll()) {
                    order.run();
                }
                taken = upTo;
            }
        } finally {
            taking = false;
        }
    }

    // ---- rules of the process

    @Override
    public boolean claimId(String id) {
        if (!ground.ids.claim(id, this)) {
            return false;
        }
        ids.add(id);
        return true;
    }

    @Override
    public void releaseId(String id) {
        if (ids.remove(id)) {
            ground.ids.release(id, this);
        }
    }

    @Override
    public boolean tryAcquireCapacity(int units, int most) {
        if (!ground.queryCapacity.tryAcquire(lane, units)) {
            return false;
        }
        used = used + units;
        return true;
    }

    @Override
    public void releaseCapacity(int units) {
        used = used - units;
        ground.queryCapacity.release(lane, units);
    }

    @Override
    public long nextQueryNumber() {
        if (number == numbersEnd) {
            number = ground.nextQueryNumber.getAndAdd(ProcessResources.QUERY_NUMBER_BLOCK);
            numbersEnd = number + ProcessResources.QUERY_NUMBER_BLOCK;
        }
        return ++number;
    }

    @Override
    public boolean claimProbe(String reader) {
        if (asks.contains(reader) || !ground.probes.claim(reader, this)) {
            return false;
        }
        asks.add(reader);
        return true;
    }

    // ---- what lanes tell each other

    @Override
    public void notifySent(Send send, Part part, int queryClass, long at, long until) {
        said.add(new PeerUpdate.AttemptSent(send, part, queryClass, at, until));
    }

    @Override
    public void notifyEnded(Send send, Outcome outcome, long at, long elapsed, double[] load) {
        said.add(new PeerUpdate.AttemptEnded(send, outcome, at, elapsed, load));
    }

    @Override
    public void notifyProbed(String reader, Outcome outcome, long at, long elapsed, double[] load) {
        said.add(new PeerUpdate.ProbeEnded(reader, outcome, at, elapsed, load));
        if (asks.remove(reader)) {
            ground.probes.release(reader, this);
            // Others may be waiting for it.
            flushPeerUpdates();
            for (LaneShare other : ground.shares) {
                if (other != this) {
                    other.post(other.onHeard);
                }
            }
        }
    }

    /** At the end of each turn: what was said in it goes to the others. */
    public void flushPeerUpdates() {
        if (!said.isEmpty()) {
            ground.sendPeerUpdates(this, said);
            said = new ArrayList<>();
        }
    }

    @Override
    public List<PeerUpdate> pollPeerUpdates() {
        if (peerUpdates.isEmpty()) {
            return List.of();
        }
        List<PeerUpdate> all = new ArrayList<>();
        for (List<PeerUpdate> next = peerUpdates.poll(); next != null; next = peerUpdates.poll()) {
            all.addAll(next);
        }
        if (peerUpdates.lostSinceLastCheck()) {
            all.add(0, new PeerUpdate.UpdatesLost());
        }
        return all;
    }

    /** Any thread: turns' worth of words that were dropped since the lane was too slow to hear them. */
    public long droppedBatches() {
        return peerUpdates.droppedBatches();
    }

    // ---- does it turn?

    /** The supervisor's thread: asks the lane whether it turns; then is what the lane does on hearing it. */
    public void sendHeartbeat(long now, Runnable then) {
        askedAt = now;
        post(() -> {
            answeredAt = clock.getAsLong();
            askedAt = 0;
            then.run();
        });
    }

    /** Any thread: when the lane answered last; 0: not yet. */
    public long heartbeatAnsweredAt() {
        return answeredAt;
    }

    /** As measured from outside: while the loop stood still, so did every clock of its own. */
    @Override
    public long stallUs() {
        long asked = askedAt;
        long silent = asked == 0 ? 0 : clock.getAsLong() - asked;
        return silent < STALL_THRESHOLD_US ? 0 : silent;
    }

    // ---- connections

    /** Any thread: a client's connection is on its way to this lane. */
    public void connectionPlaced() {
        connections.incrementAndGet();
        ground.clientConnections.incrementAndGet();
    }

    /** Any thread: one that was placed here is gone. */
    public void connectionClosed() {
        connections.decrementAndGet();
        ground.clientConnections.decrementAndGet();
    }

    public int connections() {
        return connections.get();
    }

    /** Any thread: queries and parts open here. */
    public int openUnits() {
        return used;
    }

    /** Since when the connection here has waited that would go first to make room; Long.MAX_VALUE: none may go. */
    public void longestIdleSince(long since) {
        longestIdleSince = since;
    }

    long longestIdleSince() {
        return longestIdleSince;
    }

    public ClientLimits clientLimits() {
        return new ClientLimits() {
            @Override
            public void opened() {
                // Counted when it was placed: until it is here it must not look as if there were room.
            }

            @Override
            public void closed() {
                connectionClosed();
            }

            @Override
            public int openCount() {
                return ground.clientConnections.get();
            }

            @Override
            public boolean mustEvictOwn() {
                LaneShare longest = ground.laneWithLongestIdle();
                if (longest == null || longest == LaneShare.this) {
                    return true;
                }
                longest.post(longest.makeRoom);
                return false;
            }

            @Override
            public boolean tryReserve(int bytes) {
                if (!ground.requestBytes.tryAcquire(lane, bytes)) {
                    return false;
                }
                held += bytes;
                return true;
            }

            @Override
            public void release(int bytes) {
                held -= bytes;
                ground.requestBytes.release(lane, bytes);
            }
        };
    }

    public ReaderConnectionLimits readerConnectionLimits() {
        return new ReaderConnectionLimits() {
            @Override
            public void opened(String reader) {
                ground.readerConnections.incrementAndGet();
                readers.merge(reader, 1, Integer::sum);
                ground.connectionsByReader.merge(reader, 1, Integer::sum);
            }

            @Override
            public void closed(String reader) {
                ground.readerConnections.decrementAndGet();
                readers.merge(reader, -1, Integer::sum);
                ground.connectionsByReader.computeIfPresent(reader, (r, n) -> n == 1 ? null : n - 1);
            }

            @Override
            public int openCount() {
                return ground.readerConnections.get();
            }

            @Override
            public boolean mayOpen(String reader, int own) {
                return own == 0 || ground.connectionsByReader.getOrDefault(reader, 0)
                        < ground.maxConnectionsPerReader();
            }
        };
    }

    /** The lane has ended: all it took and did not give back is given back, and nobody tells it anything more. */
    public void close() {
        ground.shares.remove(this);
        List.copyOf(ids).forEach(this::releaseId);
        ground.probes.releaseAll(this);
        asks.clear();
        releaseCapacity(used);
        ground.requestBytes.release(lane, held);
        held = 0;
        ReaderConnectionLimits census = readerConnectionLimits();
        Map.copyOf(readers).forEach((reader, n) -> {
            for (int i = 0; i < n; i++) {
                census.closed(reader);
            }
        });
        ground.queryCapacity.reclaim(lane);
        ground.requestBytes.reclaim(lane);
    }
}
