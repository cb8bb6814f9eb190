package burlford.policy;

/**
 * When servers started, on our own clock, by the times that lists give. Those are of another machine's wall clock:
 * either clock may have been stepped, by seconds or by an hour, so only differences between them are believed. In
 * doubt a server counts as started later, which keeps it within the budget of its slow start. Times are microseconds.
 */
final class StartTimes {

    /** A list gives 0 for a server that started long ago; one that started before this is not of our clock. */
    private static final long LONGEST_AGE = 600_000_000;

    /** The least age that a server seemed to have when it was first noticed: what the clocks differ by, at least. */
    private long leastAge = Long.MAX_VALUE;
    /** What times of the first list are shifted by. */
    private long firstShift;

    /** A first list comes, whose latest start is the one given; 0: none has one. */
    void recordFirstList(long now, long latest) {
        long age = now - latest;
        firstShift = latest != 0 && (age < 0 || age > LONGEST_AGE) ? age : 0;
    }

    /** The start of a server of the first list. */
    long startInFirstList(long told) {
        return told == 0 ? 0 : told + firstShift;
    }

    /** The start of a server that has turned up, or started anew, since the list before; told 0: no time came. */
    long startWhenNoticed(long now, long told) {
        if (told == 0) {
            return now;
        }
        long age = now - told;
        leastAge = Math.min(leastAge, age);
        return now - (age - leastAge);
    }
}
