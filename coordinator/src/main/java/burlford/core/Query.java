package burlford.core;

import burlford.policy.Dispatcher;
import burlford.policy.Dispatcher.Part;
import java.util.List;

/**
 * A query as either front hands it over. id names it to the readers, text is what each part carries. The
 * client waits until deadline, on the coordinator's clock.
 */
public record Query(String id, int queryClass, int tenant, long key, boolean retry, long deadline, byte[] text,
        List<Part> parts) {

    /** The client counts from when it sent; its request and our answer take their time on the way. */
    private static final long ON_THE_WAY = 5_000;

    /** When to have answered a client that waits so long from the arrival of its query. */
    public static long deadline(long arrivedAt, long waitMs) {
        return arrivedAt + Math.max(1, waitMs * 1000 - ON_THE_WAY);
    }

    Query withDeadlineAtMost(long time) {
        return deadline <= time ? this
                : new Query(id, queryClass, tenant, key, retry, time, text, parts);
    }

    /** What a query is about, as a number: 16 hex digits are one already. 0: nothing. */
    public static long key(String name) {
        if (name.isEmpty()) {
            return 0;
        }
        return name.matches("[0-9a-f]{16}") ? Long.parseUnsignedLong(name, 16) : Dispatcher.hash(name);
    }

    /** A part's key stands for its query's and the shard. */
    public static long partKey(long key, int shard) {
        return key == 0 ? 0 : Dispatcher.hash(key + "." + shard);
    }
}
