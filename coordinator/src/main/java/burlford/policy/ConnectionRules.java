package burlford.policy;

/** Decides how much of the process one client's connection may take: what is held for it, and what is done at once. */
public final class ConnectionRules {

    /** Fields in the head of a request, and in its trailer, at most. */
    public static final int MAX_HEADER_FIELDS = 100;
    /** Bytes of the heap that a field takes beside its characters. */
    public static final int FIELD_OVERHEAD_BYTES = 160;
    /** Bytes of the heap that a request takes beside its fields and its body. */
    public static final int REQUEST_OVERHEAD_BYTES = 1024;
    /** Requests that may wait on a connection behind the one in progress; those behind them are refused in turn. */
    private static final int MAX_WAITING_REQUESTS = 8;
    /** With so many, all that wait are refused and no more are read: the connection ends behind them. */
    private static final int MAX_HELD_REQUESTS = 64;

    /** Requests that are decoded of one connection before the event loop goes on to the others. */
    private static final int REQUESTS_PER_TURN = 8;
    /** With so many decoded of all connections together, each further one has a single request decoded. */
    private static final int REQUESTS_PER_TURN_OF_ALL = 64;
    /** A connection that has had its turn is decoded on no sooner than this. */
    public static final long TURN_PAUSE_US = 1_000;

    /** A client that goes on at all takes less to complete a request or to take a reply. */
    private static final long PROMPT_US = 100_000;
    /** So long a client may leave a reply unread that holds up its further requests. */
    public static final long MAX_UNREAD_REPLY_US = 5_000_000;

    private ConnectionRules() { }

    /** Whether another field may be added to a head or trailer that has so many. */
    public static boolean mayAddField(int fields) {
        return fields < MAX_HEADER_FIELDS;
    }

    /** Whether a request has to be refused in turn because so many wait in front of it on its connection. */
    public static boolean exceedsQueue(int waitingRequests) {
        return waitingRequests > MAX_WAITING_REQUESTS;
    }

    /** Whether so many requests are held on a connection that nothing more is taken from it. */
    public static boolean isFlood(int heldRequests) {
        return heldRequests >= MAX_HELD_REQUESTS;
    }

    /**
     * Whether another request of a connection may be decoded in this turn.
     *
     * @param decoded requests of the connection that were decoded in this turn
     * @param decodedOfAll the same of all connections of the event loop, in its iteration
     * @param readsReplies whether the client has taken all its replies so far
     */
    public static boolean mayDecode(int decoded, int decodedOfAll, boolean readsReplies) {
        int share = decodedOfAll < REQUESTS_PER_TURN_OF_ALL ? REQUESTS_PER_TURN : 1;
        return readsReplies && decoded < share;
    }

    /**
     * Whether a connection has to give up its memory where there is none left for another one.
     *
     * @param heldForUs how long it has held memory for a request that is not complete or a reply that is not taken
     */
    public static boolean mustGiveUpMemory(long heldForUs) {
        return heldForUs >= PROMPT_US;
    }
}
