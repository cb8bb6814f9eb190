package burlford.lanes;

import burlford.policy.PeerUpdate;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** What the lanes of a process hold together: its limits, the ids and probes that are out, and each other's words. */
public final class ProcessResources {

    /** Query numbers are handed out so many at once. */
    static final int QUERY_NUMBER_BLOCK = 1024;
    /** Of sixteen descriptors five may be connections to readers. */
    private static final int READERS_OF_16 = 5;

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
    private volatile int descriptors;
    private volatile int readers = 1;

    /** maxOpen: queries and parts. bytes: of requests held. One share beyond the lanes is the accepting loop's. */
    public ProcessResources(int lanes, int maxOpen, long bytes, int descriptors) {
        this.lanes = lanes;
        this.maxOpen = maxOpen;
        this.descriptors = descriptors;
        this.queryCapacity = new Leases(AtomicLongs.padded(lanes + 2), lanes + 1, maxOpen);
        this.requestBytes = new Leases(AtomicLongs.padded(lanes + 2), lanes + 1, bytes);
    }

    /** New settings. One thread calls it. */
    public void resize(int toMaxOpen, int toDescriptors) {
        queryCapacity.resize(maxOpen, toMaxOpen);
        maxOpen = toMaxOpen;
        descriptors = toDescriptors;
    }

    /** How many readers the list has. */
    public void setReaderCount(int count) {
        readers = Math.max(1, count);
    }

    /** Connections that the process may have to one reader; each lane may have one whatever it is. */
    int maxConnectionsPerReader() {
        return Math.max(lanes, descriptors * READERS_OF_16 / 16 / readers);
    }

    /** Client connections of the process. */
    public int clientConnections() {
        return clientConnections.get();
    }

    /** Ids of queries that are open on any lane. */
    public int openIds() {
        return ids.size();
    }

    /** Queries and parts that more could be taken of; exact while no lane takes or gives. */
    public long freeQueryCapacity() {
        return queryCapacity.unused();
    }

    public long freeRequestBytes() {
        return requestBytes.unused();
    }

    public int readerConnections() {
        return readerConnections.get();
    }

    void sendPeerUpdates(LaneShare from, List<PeerUpdate> words) {
        for (LaneShare other : shares) {
            if (other != from) {
                other.peerUpdates.offer(words);
            }
        }
    }

    /** The lane with the connection that waits longest; null where none has one that may go. */
    LaneShare laneWithLongestIdle() {
        LaneShare longest = null;
        for (LaneShare s : shares) {
            if (s.longestIdleSince() != Long.MAX_VALUE
                    && (longest == null || s.longestIdleSince() < longest.longestIdleSince())) {
                longest = s;
            }
        }
        return longest;
    }
}
