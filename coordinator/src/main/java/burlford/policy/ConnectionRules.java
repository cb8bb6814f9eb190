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
}
