package burlford.policy;

/**
 * Converts the start times of servers that lists give to the coordinator's own clock. Lists use the wall clock of
 * another machine. Either clock may have been stepped, by seconds or by an hour, so only differences between their
 * readings are used. In doubt a server counts as started later, which keeps it within its slow-start budget. All times
 * and durations are microseconds.
 */
final class StartTimes {

    /**
     * Lists give 0 for a server that started long ago. So if the latest start in the first list seems to be longer ago
     * than this, the clocks differ.
     */
    private static final long MAX_AGE_US = 600_000_000;

    /**
     * The lowest age that any server seemed to have when it was first noticed. The own clock is ahead of the
     * lists' clock by no more than that.
     */
    private long minAgeWhenNoticed = Long.MAX_VALUE;
    /** What is added to start times of the first list to convert them to the own clock. */
    private long firstListShift;

    /**
     * Compares the clocks by the first list.
     *
     * @param latestStart the latest start time in the list; 0: no server has one
     */
    void recordFirstList(long now, long latestStart) {
        long age = now - latestStart;
        firstListShift = latestStart != 0 && (age < 0 || age > MAX_AGE_US) ? age : 0;
    }

    /** Returns the start of a server in the first list, on the own clock; 0: long ago or not known. */
    long startInFirstList(long listedStart) {
        return listedStart == 0 ? 0 : listedStart + firstListShift;
    }

    /**
     * Returns the start, on the own clock, of a server that is new or has restarted since the previous list.
     *
     * @param listedStart the start time in the list; 0: none is given
     */
    long startWhenNoticed(long now, long listedStart) {
        if (listedStart == 0) {
            return now;
        }
        long age = now - listedStart;
        minAgeWhenNoticed = Math.min(minAgeWhenNoticed, age);
        return now - (age - minAgeWhenNoticed);
    }
}
