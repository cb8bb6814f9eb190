package burlford.daemon;

/**
 * When a process that was told to stop does what, on the process's clock. Times are microseconds.
 *
 * @param earliestExitAt when it may leave, once no client is connected
 * @param closeAfterReplyAt from when on connections end behind their answers
 * @param exitDespiteClientsAt when it leaves though clients are connected, once all is answered
 * @param answerAllBy when all is to be answered, whatever clients would wait
 */
record ShutdownSchedule(long earliestExitAt, long closeAfterReplyAt, long exitDespiteClientsAt, long answerAllBy) {

    /** The kill comes no sooner than the longest deadline, counted as this at most, and KILL_BEHIND_DEADLINE later. */
    static final long MAX_COUNTED_DEADLINE_US = 3_000_000;
    static final long KILL_GRACE_US = 700_000;
    /** Between the last answer and the kill: the process may be held up, and answers take their time to write. */
    private static final long BEFORE_KILL = 250_000;
    /** New connections keep coming for up to 0.4 s. */
    private static final long LEAST_SERVING = 500_000;
    private static final long LEAST_BEFORE_LEAVING = 800_000;
    /** A connection that is closed between requests may cross the next one. */
    private static final long LONGEST_HAND_OVER = 500_000;

    /** longestDeadline: the longest that a client may wait by the settings. */
    static ShutdownSchedule of(long now, long longestDeadline) {
        long counted = Math.min(MAX_COUNTED_DEADLINE_US, longestDeadline);
        long endBy = counted + KILL_GRACE_US - BEFORE_KILL;
        long stopAt = Math.min(endBy, Math.max(LEAST_SERVING, counted));
        long handOver = Math.min(LONGEST_HAND_OVER, stopAt / 2);
        return new ShutdownSchedule(now + Math.min(LEAST_BEFORE_LEAVING, stopAt), now + stopAt - handOver, now + stopAt,
                now + endBy);
    }
}
