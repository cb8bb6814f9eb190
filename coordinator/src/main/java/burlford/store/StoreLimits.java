package burlford.store;

/**
 * How much of a store a member keeps in memory, which is also what it must read back when it starts again.
 *
 * @param logBytes size of the committed operations behind the last snapshot at which another one is taken
 * @param snapshotChunkBytes size of a snapshot's chunks, of which each is a record of the log and a message
 */
public record StoreLimits(long logBytes, int snapshotChunkBytes) {

    private static final int LOG_SHARE_OF_HEAP = 16;
    private static final int SNAPSHOT_CHUNK_BYTES = 1 << 20;

    /** The limits of a member whose heap may grow to so many bytes. */
    public static StoreLimits forHeap(long heapBytes) {
        return new StoreLimits(heapBytes / LOG_SHARE_OF_HEAP, SNAPSHOT_CHUNK_BYTES);
    }
}
