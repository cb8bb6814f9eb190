package burlford.lanes;

import burlford.policy.PeerUpdate;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * State shared by the lanes of a process: limits, open query ids, probes in flight, connections, and the delivery of
 * peer updates.
 */
public final class ProcessResources {

    /** Query numbers that a lane reserves at once. */
    static final int QUERY_NUMBER_BLOCK = 1024;
    /** Connections to readers may use 5/16 of the file descriptors. */
    private static final int READER_CONNECTION_SIXTEENTHS = 5;

    final int lanes;
    final Leases queryCapacity;
    final Leases requestBytes;
    final OpenIds ids = new OpenIds();
    final ProbeGate probes = new ProbeGate();
    final AtomicInteger clientConnections = new AtomicInteger();
    final AtomicInteger readerConnections = new AtomicInteger();
    final Map<String, Integer> connectionsByReader = new ConcurrentHashMap<>();
    final AtomicLong nextQueryNumber = new AtomicLong();
    final List<LaneShare> shares = new CopyOnWriteArrayList<>();
    private long maxOpen;
    private volatile int maxDescriptors;
    private volatile int readerCount = 1;

    /**
     * Creates the shared state. The leases have one share more than there are lanes, for the event loop that accepts
     * connections.
     *
     * @param maxOpen limit of open queries and parts together
     * @param maxRequestBytes limit of the bytes of requests held in memory
     * @param maxDescriptors limit of open file descriptors
     */
    public ProcessResources(int lanes, int maxOpen, long maxRequestBytes, int maxDescriptors) {
        this.lanes = lanes;
        this.maxOpen = maxOpen;
        this.maxDescriptors = maxDescriptors;
        this.queryCapacity = new Leases(AtomicLongs.padded(lanes + 2), lanes + 1, maxOpen);
        this.requestBytes = new Leases(AtomicLongs.padded(lanes + 2), lanes + 1, maxRequestBytes);
    }

    /** Applies new limits. Only one thread may call this. */
    public void resize(int newMaxOpen, int newMaxDescriptors) {
        queryCapacity.resize(maxOpen, newMaxOpen);
        maxOpen = newMaxOpen;
        maxDescriptors = newMaxDescriptors;
    }

    /** Sets the number of readers in the reader list. */
    public void setReaderCount(int count) {
        readerCount = Math.max(1, count);
    }

    /** Limit of the connections to one reader; a lane without a connection to it may open one regardless. */
    int maxConnectionsPerReader() {
        return Math.max(lanes, maxDescriptors * READER_CONNECTION_SIXTEENTHS / 16 / readerCount);
    }

    /** Returns the number of client connections of the process. */
    public int clientConnections() {
        return clientConnections.get();
    }

    /** Returns the number of query ids that are open on any lane. */
    public int openIds() {
        return ids.size();
    }

    /** Returns how many more queries and parts could be admitted; exact only while no lane acquires or releases. */
    public long freeQueryCapacity() {
        return queryCapacity.unused();
    }

    /** Returns the request bytes not in use; exact only while no lane acquires or releases. */
    public long freeRequestBytes() {
        return requestBytes.unused();
    }

    /** Returns the number of connections to readers that the process has open. */
    public int readerConnections() {
        return readerConnections.get();
    }

    /** Queues a batch of peer updates at every other lane. */
    void sendPeerUpdates(LaneShare from, List<PeerUpdate> updates) {
        for (LaneShare other : shares) {
            if (other != from) {
                other.peerUpdates.offer(updates);
            }
        }
    }

    /** Returns the lane whose client connection has been idle longest; null if no connection can be evicted. */
    LaneShare laneWithLongestIdle() {
        LaneShare longest = null;
        for (LaneShare share : shares) {
            if (share.longestIdleSince() != Long.MAX_VALUE
                    && (longest == null || share.longestIdleSince() < longest.longestIdleSince())) {
                longest = share;
            }
        }
        return longest;
    }
}
