package burlford.core;

/** How many connections to readers the process has; each coordinator has its own view, called on its event loop. */
public interface ReaderConnectionLimits {

    void opened(String reader);

    void closed(String reader);

    /** All that are open. */
    int openCount();

    /** One more to this reader is within bounds, where this coordinator has so many itself. */
    boolean mayOpen(String reader, int own);

    /** That of a process with one coordinator: what it needs it opens. */
    static ReaderConnectionLimits singleLane() {
        return new ReaderConnectionLimits() {
            private int open;

            @Override
            public void opened(String reader) {
                open++;
            }

            @Override
            public void closed(String reader) {
                open--;
            }

            @Override
            public int openCount() {
                return open;
            }

            @Override
            public boolean mayOpen(String reader, int own) {
                return true;
            }
        };
    }
}
