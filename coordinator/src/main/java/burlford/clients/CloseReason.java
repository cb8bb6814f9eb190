package burlford.clients;

/** Why the coordinator closed a client's connection by itself. */
enum CloseReason {
    /** No request came within the time for the first one. */
    NO_REQUEST,
    /** It rested between requests for too long. */
    IDLE,
    /** It waited longest without a request when room was needed for a new one. */
    MAKE_ROOM,
    /** There was no room for it at all; nothing of it was read. */
    FULL,
    /** The client asked for it, with its last request. */
    ASKED,
    /** Its last request could not be used. */
    BAD_REQUEST,
    /** Far more requests came at once than may wait. */
    FLOODED,
    /** Descriptors are scarce. */
    SCARCE,
    /** The client does not take its replies. */
    UNREAD,
    /** The process shuts down. */
    SHUTDOWN,
    /** The time for what may still come in behind a last reply is over. */
    LINGERED,
    /** Its bytes or a handler failed. */
    FAULT
}
