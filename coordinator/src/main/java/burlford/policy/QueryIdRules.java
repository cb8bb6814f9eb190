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

    /** Time after which an id is free that was not retained at all. */
    public static final long NOT_RETAINED = Long.MIN_VALUE;
    private static final long FOREVER = Long.MAX_VALUE;
    /** For so long given-up parts of a class that may be repeated are taken to run on. */
    private static final long REPEATABLE_RETENTION_US = 1_000_000;

    private QueryIdRules() { }

    /**
     * Until when the id of a query that ends now is retained: readers know parts by it, so that another query under
     * the id would run them a second time.
     *
     * @param now microseconds
     * @param mayHaveRun whether an attempt of the query has been sent
     * @param answeredWhole whether its client was given the values of all parts, so that none is in flight any more
     * @param repeatable whether running a part twice does no harm by the query's class
     */
    public static long retainedUntil(long now, boolean mayHaveRun, boolean answeredWhole, boolean repeatable) {
        if (!mayHaveRun || answeredWhole) {
            return NOT_RETAINED;
        }
        return repeatable ? now + REPEATABLE_RETENTION_US : FOREVER;
    }
}
