package burlford.store;

import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A small versioned key-value store. A key's version is the number of its writes. A write names the version that it
 * expects, 0 for a key that does not exist; if the key has another version, the write is rejected as stale. Reads
 * return this member's committed entries without waiting. All calls and callbacks run on the event loop.
 */
public interface Store {

    /** A value and the version of its key. */
    record Entry(long version, String value) { }

    /** STALE: the key has another version than expected; REFUSED: not confirmed, though it may still be committed. */
    enum Outcome { STORED, STALE, REFUSED }

    /** version: the key's present version, 0 if REFUSED; detail: why the write was not stored. */
    record WriteResult(Outcome outcome, long version, String detail) { }

    /** Returns the entry of a key, or null if there is none. */
    default Entry get(String key) {
        return entries().get(key);
    }

    /** Writes a value if the key is at the expected version, and passes the result to {@code done}. */
    void put(String key, long expectedVersion, String value, Consumer<WriteResult> done);

    /** Name of the member that accepts writes; null while there is no leader. */
    String leader();

    /** Name of this member. */
    String member();

    /** All entries by key; callers must not modify the map. */
    Map<String, Entry> entries();

    /**
     * Whether this member's entries include all writes that were accepted before it started, so that none of them can
     * be older than what it or its clients knew before a restart. Once true it stays so.
     */
    boolean isCurrent();

    /**
     * Registers a watcher. It is called for each key once the state is current, in the order of the keys, and from then
     * on for each key changed through any member once this member has committed it.
     */
    void watch(BiConsumer<String, Entry> watcher);

    /**
     * Calls the watchers with the newest entries that this member's disk has, although they may be neither current nor
     * committed: all that a member has that starts without a majority. Does nothing once the state is current.
     *
     * @param done called when the watchers have been
     */
    void reportLastKnown(Runnable done);

    void close();
}
