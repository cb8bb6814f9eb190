package burlford.policy;

/** Decides whether the id of a query that has ended may be used by another query. */
public final class QueryIdRules {

    /** Why a query may not be taken under its id. */
    public enum IdState {
        /** The id is free. */
        FREE,
        /** A query with the id is open. */
        OPEN,
        /** A query with the id has ended, and parts of it may have run or may still run. */
        RETAINED
    }

    private QueryIdRules() { }

    /**
     * Whether the id of a query that ends has to be retained: readers know parts by it, so that another query under
     * the id would run them a second time.
     *
     * @param mayHaveRun whether an attempt of the query has been sent
     * @param answeredWhole whether its client was given the values of all parts, so that none is in flight any more
     */
    public static boolean mustRetain(boolean mayHaveRun, boolean answeredWhole) {
        return mayHaveRun && !answeredWhole;
    }
}
