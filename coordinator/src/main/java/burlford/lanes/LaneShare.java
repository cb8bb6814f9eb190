package burlford.lanes;

import burlford.core.ClientLimits;
import burlford.core.ReaderConnectionLimits;
import burlford.core.SharedState;
import burlford.policy.Aggregator.Outcome;
import burlford.policy.Dispatcher.Part;
import burlford.policy.Dispatcher.Send;
import burlford.policy.PeerUpdate;
import burlford.policy.QueryIdRules.IdState;
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
 * One lane's access to the {@link ProcessResources}. It records everything that the lane has acquired, so that all of
 * it can be released when the lane fails. {@link SharedState}, {@link ReaderConnectionLimits} and {@link ClientLimits}
 * are to be used on the lane's thread only; methods whose comment begins with "Any thread" are thread-safe. All times
 * are microseconds.
 */
public final class LaneShare implements SharedState {

    /** A shorter heartbeat lag is the ordinary work of an event loop and no stall. */
    static final long STALL_THRESHOLD_US = 50_000;

    private final ProcessResources resources;
    private final int lane;
    private final Executor eventLoop;
    private final LongSupplier clock;
    final PeerUpdateQueue peerUpdates = new PeerUpdateQueue();
    private final ConcurrentLinkedQueue<Runnable> broadcasts = new ConcurrentLinkedQueue<>();
    private volatile long publishedGeneration;
    private volatile long appliedGeneration;
    private boolean applyingBroadcasts;
    private volatile boolean fenced;
    private Runnable onFenced = () -> { };
    private Runnable evictLongestIdle = () -> { };
    private Runnable onPeerProbeEnded = () -> { };

    private List<PeerUpdate> pendingUpdates = new ArrayList<>();
    private final Set<String> claimedIds = new HashSet<>();
    private final Set<String> claimedProbes = new HashSet<>();
    private final Map<String, Integer> connectionsByReader = new HashMap<>();
    private volatile int openUnits;
    private long heldRequestBytes;
    private long lastQueryNumber;
    private long queryNumberBlockEnd;

    private final AtomicInteger connections = new AtomicInteger();
    private volatile long longestIdleSince = Long.MAX_VALUE;
    private volatile long heartbeatSentAt;
    private volatile long heartbeatAnsweredAt;

    /**
     * Creates the share of one lane.
     *
     * @param eventLoop runs tasks on the lane's thread
     * @param clock the process's clock, in microseconds
     */
    public LaneShare(ProcessResources resources, int lane, Executor eventLoop, LongSupplier clock) {
        this.resources = resources;
        this.lane = lane;
        this.eventLoop = eventLoop;
        this.clock = clock;
    }

    /**
     * Connects the lane to the others: from now on it receives their peer updates.
     *
     * @param onFenced runs when the lane finds that it has been fenced
     * @param evictLongestIdle closes the lane's client connection that has been idle longest
     * @param onPeerProbeEnded runs when another lane's probe has ended, to process its result
     */
    public void join(Runnable onFenced, Runnable evictLongestIdle, Runnable onPeerProbeEnded) {
        this.onFenced = onFenced;
        this.evictLongestIdle = evictLongestIdle;
        this.onPeerProbeEnded = onPeerProbeEnded;
        resources.shares.add(this);
    }

    // ---- broadcasts to all lanes

    /** Any thread, one at a time: queues an action that the lane runs once {@link #publishBroadcasts} was called. */
    public void stageBroadcast(Runnable broadcast) {
        broadcasts.add(broadcast);
    }

    /** Any thread, one at a time: publishes the staged actions; the lane runs them before its next decision. */
    public void publishBroadcasts(long generation) {
        publishedGeneration = generation;
        post(this::applyBroadcasts);
    }

    /** Runs an action on the lane's thread; does nothing if the event loop has ended. */
    private void post(Runnable action) {
        try {
            eventLoop.execute(action);
        } catch (RejectedExecutionException e) {
            // the event loop has ended
        }
    }

    /** Any thread: returns the generation of the broadcasts that the lane has applied. */
    public long appliedGeneration() {
        return appliedGeneration;
    }

    /** Any thread: fences the lane. From now on it makes no decisions and answers only with failures. */
    public void fence() {
        fenced = true;
        resources.probes.releaseAll(this); // their results would not reach any lane
        resources.queryCapacity.reclaim(lane);
        resources.requestBytes.reclaim(lane);
    }

    /** Any thread: returns whether the lane has been fenced. */
    public boolean isFenced() {
        return fenced;
    }

    @Override
    public void applyBroadcasts() {
        if (fenced) {
            onFenced.run();
            return;
        }
        if (applyingBroadcasts) {
            return; // a broadcast action called this method; the outer call applies the rest
        }
        applyingBroadcasts = true;
        try {
            while (appliedGeneration != publishedGeneration) {
                long generation = publishedGeneration;
                for (Runnable broadcast = broadcasts.poll(); broadcast != null; broadcast = broadcasts.poll()) {
                    broadcast.run();
                }
                appliedGeneration = generation;
            }
        } finally {
            applyingBroadcasts = false;
        }
    }

    // ---- ids, limits and probes of the process

    @Override
    public IdState claimId(String id, long now) {
        IdState state = resources.ids.claim(id, this, now);
        if (state == IdState.FREE) {
            claimedIds.add(id);
        }
        return state;
    }

    @Override
    public void releaseId(String id, long retainedUntil) {
        if (claimedIds.remove(id)) {
            resources.ids.release(id, this, retainedUntil);
        }
    }

    @Override
    public boolean tryAcquireCapacity(int units, int limit) {
        if (!resources.queryCapacity.tryAcquire(lane, units)) {
            return false;
        }
        openUnits = openUnits + units;
        return true;
    }

    @Override
    public void releaseCapacity(int units) {
        openUnits = openUnits - units;
        resources.queryCapacity.release(lane, units);
    }

    @Override
    public long nextQueryNumber() {
        if (lastQueryNumber == queryNumberBlockEnd) {
            lastQueryNumber = resources.nextQueryNumber.getAndAdd(ProcessResources.QUERY_NUMBER_BLOCK);
            queryNumberBlockEnd = lastQueryNumber + ProcessResources.QUERY_NUMBER_BLOCK;
        }
        return ++lastQueryNumber;
    }

    @Override
    public boolean claimProbe(String reader) {
        if (claimedProbes.contains(reader) || !resources.probes.claim(reader, this)) {
            return false;
        }
        claimedProbes.add(reader);
        return true;
    }

    // ---- peer updates

    @Override
    public void notifySent(Send send, Part part, int queryClass, long at, long until) {
        pendingUpdates.add(new PeerUpdate.AttemptSent(send, part, queryClass, at, until));
    }

    @Override
    public void notifyEnded(Send send, Outcome outcome, long at, long elapsed, double[] load) {
        pendingUpdates.add(new PeerUpdate.AttemptEnded(send, outcome, at, elapsed, load));
    }

    @Override
    public void notifyProbed(String reader, Outcome outcome, long at, long elapsed, double[] load) {
        pendingUpdates.add(new PeerUpdate.ProbeEnded(reader, outcome, at, elapsed, load));
        if (claimedProbes.remove(reader)) {
            resources.probes.release(reader, this);
            // Other lanes may be waiting for the result.
            flushPeerUpdates();
            for (LaneShare other : resources.shares) {
                if (other != this) {
                    other.post(other.onPeerProbeEnded);
                }
            }
        }
    }

    /** Sends the updates of this event-loop iteration to the other lanes; called at the end of each iteration. */
    public void flushPeerUpdates() {
        if (!pendingUpdates.isEmpty()) {
            resources.sendPeerUpdates(this, pendingUpdates);
            pendingUpdates = new ArrayList<>();
        }
    }

    @Override
    public List<PeerUpdate> pollPeerUpdates() {
        if (peerUpdates.isEmpty()) {
            return List.of();
        }
        List<PeerUpdate> updates = new ArrayList<>();
        for (List<PeerUpdate> batch = peerUpdates.poll(); batch != null; batch = peerUpdates.poll()) {
            updates.addAll(batch);
        }
        if (peerUpdates.lostSinceLastCheck()) {
            updates.add(0, new PeerUpdate.UpdatesLost());
        }
        return updates;
    }

    /** Any thread: returns the batches of peer updates that were dropped because the lane polled too slowly. */
    public long droppedBatches() {
        return peerUpdates.droppedBatches();
    }

    // ---- heartbeats

    /** Supervisor's thread only: posts a heartbeat to the event loop; the lane runs onAnswered after answering. */
    public void sendHeartbeat(long now, Runnable onAnswered) {
        heartbeatSentAt = now;
        post(() -> {
            heartbeatAnsweredAt = clock.getAsLong();
            heartbeatSentAt = 0;
            onAnswered.run();
        });
    }

    /** Any thread: returns the time at which the lane last answered a heartbeat; 0 if it has not yet. */
    public long heartbeatAnsweredAt() {
        return heartbeatAnsweredAt;
    }

    /** Measured from the supervisor's heartbeat, because time cached by the event loop also stops during a stall. */
    @Override
    public long stallUs() {
        long sentAt = heartbeatSentAt;
        long unansweredUs = sentAt == 0 ? 0 : clock.getAsLong() - sentAt;
        return unansweredUs < STALL_THRESHOLD_US ? 0 : unansweredUs;
    }

    // ---- connections

    /** Any thread: counts a client connection that was assigned to this lane but need not have reached it yet. */
    public void connectionPlaced() {
        connections.incrementAndGet();
        resources.clientConnections.incrementAndGet();
    }

    /** Any thread: a client connection placed on this lane was closed. */
    public void connectionClosed() {
        connections.decrementAndGet();
        resources.clientConnections.decrementAndGet();
    }

    /** Any thread: returns the number of client connections placed on this lane. */
    public int connections() {
        return connections.get();
    }

    /** Any thread: returns the number of queries and parts open on this lane. */
    public int openUnits() {
        return openUnits;
    }

    /** Sets since when the lane's next connection to evict has been idle; Long.MAX_VALUE if none can be evicted. */
    public void longestIdleSince(long since) {
        longestIdleSince = since;
    }

    /** Any thread: returns the time set by {@link #longestIdleSince(long)}. */
    long longestIdleSince() {
        return longestIdleSince;
    }

    /** Returns the lane's view of the client limits. */
    public ClientLimits clientLimits() {
        return new ClientLimits() {
            @Override
            public void opened() {
                // Already counted when it was placed; otherwise connections in transfer would look like free capacity.
            }

            @Override
            public void closed() {
                connectionClosed();
            }

            @Override
            public int openCount() {
                return resources.clientConnections.get();
            }

            @Override
            public boolean mustEvictOwn() {
                LaneShare longest = resources.laneWithLongestIdle();
                if (longest == null || longest == LaneShare.this) {
                    return true;
                }
                longest.post(longest.evictLongestIdle);
                return false;
            }

            @Override
            public boolean tryReserve(int bytes) {
                if (!resources.requestBytes.tryAcquire(lane, bytes)) {
                    return false;
                }
                heldRequestBytes += bytes;
                return true;
            }

            @Override
            public void release(int bytes) {
                heldRequestBytes -= bytes;
                resources.requestBytes.release(lane, bytes);
            }
        };
    }

    /** Returns the lane's view of the limits of connections to readers. */
    public ReaderConnectionLimits readerConnectionLimits() {
        return new ReaderConnectionLimits() {
            @Override
            public void opened(String reader) {
                resources.readerConnections.incrementAndGet();
                connectionsByReader.merge(reader, 1, Integer::sum);
                resources.connectionsByReader.merge(reader, 1, Integer::sum);
            }

            @Override
            public void closed(String reader) {
                resources.readerConnections.decrementAndGet();
                connectionsByReader.merge(reader, -1, Integer::sum);
                resources.connectionsByReader.computeIfPresent(reader, (r, n) -> n == 1 ? null : n - 1);
            }

            @Override
            public int openCount() {
                return resources.readerConnections.get();
            }

            @Override
            public boolean mayOpen(String reader, int own) {
                return own == 0 || resources.connectionsByReader.getOrDefault(reader, 0)
                        < resources.maxConnectionsPerReader();
            }
        };
    }

    /** Releases everything that the lane still holds after it has ended, and disconnects it from the other lanes. */
    public void close() {
        resources.shares.remove(this);
        List.copyOf(claimedIds).forEach(id -> releaseId(id, Long.MAX_VALUE));
        resources.probes.releaseAll(this);
        claimedProbes.clear();
        releaseCapacity(openUnits);
        resources.requestBytes.release(lane, heldRequestBytes);
        heldRequestBytes = 0;
        ReaderConnectionLimits limits = readerConnectionLimits();
        Map.copyOf(connectionsByReader).forEach((reader, count) -> {
            for (int i = 0; i < count; i++) {
                limits.closed(reader);
            }
        });
        resources.queryCapacity.reclaim(lane);
        resources.requestBytes.reclaim(lane);
    }
}
