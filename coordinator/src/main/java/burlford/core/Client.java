package burlford.core;

import java.util.Map;

/** Whoever asked: hears exactly one of these, once, unless the query's client left before. */
public interface Client {

    /** values by shard, as the readers gave them. */
    void answered(boolean whole, Map<Integer, String> values);

    /** Asking again does no harm. retryAfter: microseconds the client should wait, 0 for no advice. */
    void refused(long retryAfter);

    void failed(String why);

    /** Whether it still waits, as of now or of a moment ago: it has not closed its connection. */
    default boolean isConnected() {
        return true;
    }
}
