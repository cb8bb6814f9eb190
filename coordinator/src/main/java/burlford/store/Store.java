package burlford.store;

import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A small versioned key-value store. A key's version counts its writes from 1; a write names the version it
 * was made from, 0 for a key that is not there, and one made from another is stale. Reads are of this
 * member's committed copy and return at once. All calls, and all calls back, are on the event loop.
 */
public interface Store {

    record Entry(long version, String value) { }

    enum Outcome { STORED, STALE, REFUSED }

    /** version: of the key now; detail: why it was refused. */
    record WriteResult(Outcome outcome, long version, String detail) { }

    /** Null where the key is not there. */
    default Entry get(String key) {
        return entries().get(key);
    }

    void put(String key, long from, String value, Consumer<WriteResult> done);

    /** Whom to write to; null while nobody leads. */
    String leader();

    String member();

    /** All that is there; not to be changed. */
    Map<String, Entry> entries();

    /** Tells of each key written, here or elsewhere, once it is committed here. */
    void watch(BiConsumer<String, Entry> watcher);

    void close();
}
