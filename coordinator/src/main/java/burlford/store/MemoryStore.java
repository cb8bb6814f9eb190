package burlford.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** The store of a single member that keeps nothing: what runs on the platform. It opens no socket. */
public final class MemoryStore implements Store {

    private final String member;
    private final VersionedMap state = new VersionedMap();
    private final List<BiConsumer<String, Entry>> watchers = new ArrayList<>();

    public MemoryStore(String member) {
        this.member = member;
    }

    @Override
    public void put(String key, long from, String value, Consumer<WriteResult> done) {
        WriteResult written = state.apply(VersionedMap.encodeWrite(key, from, value)).writeResult();
        if (written.outcome() == Outcome.STORED) {
            watchers.forEach(w -> w.accept(key, get(key)));
        }
        done.accept(written);
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
    public void watch(BiConsumer<String, Entry> watcher) {
        watchers.add(watcher);
    }

    @Override
    public void close() {
        // nothing is held
    }
}
