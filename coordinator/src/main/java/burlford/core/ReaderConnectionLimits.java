package burlford.core;

/**
 * Counts and limits the connections to readers of the whole process. Each coordinator has its own view of them and
 * calls it on its event loop only.
 */
public interface ReaderConnectionLimits {

    void opened(String reader);

    void closed(String reader);

    /** Number of connections to readers that the process has open. */
    int openCount();

    /**
     * Whether another connection to the reader is within the limits. ownCount: how many this coordinator has to it.
     */
    boolean mayOpen(String reader, int ownCount);

    /** Counts of a process with a single coordinator, without a limit per reader. */
    static ReaderConnectionLimits singleLane() {
        return new ReaderConnectionLimits() {
            private int openCount;

            @Override
            public void opened(String reader) {
                openCount++;
            }

            @Override
            public void closed(String reader) {
                openCount--;
            }

            @Override
            public int openCount() {
                return openCount;
            }

            @Override
            public boolean mayOpen(String reader, int ownCount) {
                return true;
            }
        };
    }
}
