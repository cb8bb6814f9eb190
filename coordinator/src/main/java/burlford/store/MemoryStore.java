package burlford.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** In-memory store with a single member, as used on the platform. It writes no files and opens no sockets. */
public final class MemoryStore implements Store {

    private final String member;
    private final VersionedMap state = new VersionedMap();
    private final List<BiConsumer<String, Entry>> watchers = new ArrayList<>();

    public MemoryStore(String member) {
        this.member = member;
    }

    @Override
    public void put(String key, long expectedVersion, String value, Consumer<WriteResult> done) {
        WriteResult result = state.apply(VersionedMap.encodeWrite(key, expectedVersion, value)).writeResult();
        if (result.outcome() == Outcome.STORED) {
            watchers.forEach(w -> w.accept(key, get(key)));
        }
        done.accept(result);
    }

    @Override
    public String leader() {
        return member;
    }

    @Override
    public String member() {
        return member;
    }

    @Override
    public Map<String, Entry> entries() {
        return state.entries();
    }

    @Override
    public boolean isCurrent() {
        return true;
    }

    @Override
    public void reportLastKnown(Runnable done) {
        done.run();
    }

    @Override
    public void watch(BiConsumer<String, Entry> watcher) {
        watchers.add(watcher);
    }

    @Override
    public void close() {
        // no resources to release
    }
}
