package burlford.servers;

/** Bounds the memory that frames take which readers have begun and not ended, over all connections of a pool. */
final class PartialFrameBudget {

    private final long maxBytes;
    private long heldBytes;

    PartialFrameBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Changes what a connection holds from one number of bytes to another.
     *
     * @return false where that would be too much: then the connection holds what it did before
     */
    boolean tryChange(int fromBytes, int toBytes) {
        long changed = heldBytes - fromBytes + toBytes;
        if (toBytes > fromBytes && changed > maxBytes) {
            return false;
        }
        heldBytes = changed;
        return true;
    }
}
