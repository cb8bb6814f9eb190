package burlford.core;

import burlford.policy.Dispatcher;
import burlford.policy.Dispatcher.Part;
import java.util.List;

/**
 * A client's query as a front submits it.
 *
 * @param id names the query to the readers
 * @param queryClass index of its class in the settings
 * @param tenant index of its tenant in the settings
 * @param key identifies what the query is about; 0: nothing in particular
 * @param retry whether the client marked the query as a retry
 * @param deadline when the client stops waiting, in microseconds on the coordinator's clock
 * @param text the query's text, which each part carries to its reader
 */
public record Query(String id, int queryClass, int tenant, long key, boolean retry, long deadline, byte[] text,
        List<Part> parts) {

    /** Allowance for the transit of request and answer, since the client's waiting time starts when it sends. */
    private static final long TRANSIT_ALLOWANCE_US = 5_000;

    /**
     * Deadline of a query that arrived at the given time, in microseconds, and whose client waits the given number of
     * milliseconds.
     */
    public static long deadline(long arrivedAt, long waitMs) {
        return arrivedAt + Math.max(1, waitMs * 1000 - TRANSIT_ALLOWANCE_US);
    }

    /** This query, with the deadline capped at the given time. */
    Query withDeadlineAtMost(long latest) {
        return deadline <= latest ? this
                : new Query(id, queryClass, tenant, key, retry, latest, text, parts);
    }

    /** Key for a name: 16 hex digits are the key itself, other names are hashed; 0 for an empty name. */
    public static long key(String name) {
        if (name.isEmpty()) {
            return 0;
        }
        return name.matches("[0-9a-f]{16}") ? Long.parseUnsignedLong(name, 16) : Dispatcher.hash(name);
    }

    /** Key of a part: a hash of the query's key and the shard; 0 where the query has no key. */
    public static long partKey(long key, int shard) {
        return key == 0 ? 0 : Dispatcher.hash(key + "." + shard);
    }
}
