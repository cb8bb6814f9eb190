package burlford.core;

import burlford.policy.ClientPresence;
import java.util.Map;

/**
 * Receives the final answer to a query: exactly one call of {@link #answered}, {@link #refused} or {@link #failed}, or
 * none if the client has disconnected before.
 */
public interface Client {

    /** The query is answered. whole: with all its parts. values: by shard, as the readers gave them. */
    void answered(boolean whole, Map<Integer, String> values);

    /** The query is refused; a retry does no harm. retryAfter: microseconds to wait before it; 0: no advice. */
    void refused(long retryAfter);

    /** The query has failed. reason: text for the client. */
    void failed(String reason);

    /** Whether the client is still there, as of now or of a moment ago. */
    default ClientPresence presence() {
        return ClientPresence.CONNECTED;
    }
}
