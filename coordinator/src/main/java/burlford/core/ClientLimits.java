package burlford.core;

/**
 * Limits on the client connections and the request bytes of the whole process. Each event loop that has client
 * connections has its own view of them, to be called on that loop only.
 */
public interface ClientLimits {

    void opened();

    void closed();

    /** Number of client connections that the process has open. */
    int openCount();

    /**
     * Asks for the eviction of the connection that has been idle longest, since too many are open.
     *
     * @return true: the connection is one of the caller's own, to be closed by it; false: its lane has been asked to
     */
    boolean mustEvictOwn();

    /** Reserves request bytes; false where the limit does not allow that many. */
    boolean tryReserve(int bytes);

    void release(int bytes);

    /** Limits of a process with a single event loop. maxRequestBytes: request bytes held at once, at most. */
    static ClientLimits singleLane(long maxRequestBytes) {
        return new ClientLimits() {
            private int openCount;
            private long reservedBytes;

            @Override
            public void opened() {
                openCount++;
            }

            @Override
            public void closed() {
                openCount--;
            }

            @Override
            public int openCount() {
                return openCount;
            }

            @Override
            public boolean mustEvictOwn() {
                return true;
            }

            @Override
            public boolean tryReserve(int bytes) {
                if (reservedBytes + bytes > maxRequestBytes) {
                    return false;
                }
                reservedBytes += bytes;
                return true;
            }

            @Override
            public void release(int bytes) {
                reservedBytes -= bytes;
            }
        };
    }
}
