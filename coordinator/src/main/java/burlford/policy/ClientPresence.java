package burlford.policy;

/** What is known of the client of a query at the moment. */
public enum ClientPresence {
    /** All that had arrived from it was read, and its connection has not ended. */
    CONNECTED,
    /** Its connection has ended. */
    LEFT,
    /** So much arrives from it that the end of its connection may lie unread behind it. */
    UNKNOWN
}
