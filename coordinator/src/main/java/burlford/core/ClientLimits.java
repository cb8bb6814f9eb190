package burlford.core;

/**
 * How many client connections the process has, and the bytes of requests it holds; each event loop that has
 * connections has its own view, called there alone.
 */
public interface ClientLimits {

    void opened();

    void closed();

    /** Client connections of the whole process. */
    int openCount();

    /** Too many are open: someone's longest silent connection is to go. True: the caller is to close one of its own. */
    boolean mustEvictOwn();

    /** Makes room for so many bytes of requests, if there is any. */
    boolean tryReserve(int bytes);

    void release(int bytes);

    /** That of a process with one such loop. mostHeld: bytes. */
    static ClientLimits singleLane(long mostHeld) {
        return new ClientLimits() {
            private int open;
            private long held;

            @Override
            public void opened() {
                open++;
            }

            @Override
            public void closed() {
                open--;
            }

            @Override
            public int openCount() {
                return open;
            }

            @Override
            public boolean mustEvictOwn() {
                return true;
            }

            @Override
            public boolean tryReserve(int bytes) {
                if (held + bytes > mostHeld) {
                    return false;
                }
                held += bytes;
                return true;
            }

            @Override
            public void release(int bytes) {
                held -= bytes;
            }
        };
    }
}
