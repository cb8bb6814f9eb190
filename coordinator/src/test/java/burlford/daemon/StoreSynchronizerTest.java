package burlford.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.core.ReaderEntry;
import burlford.policy.Aggregator.ListKind;
import burlford.policy.Aggregator.Status;
import burlford.store.Store;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a coordinator takes of the reader list in its store, and what it writes there. */
class StoreSynchronizerTest {

    private static final ReaderEntry READY = reader(Status.READY);
    private static final ReaderEntry DRAINS = reader(Status.DRAINING);

    private final CoordinatorFixture fixture;
    private final ScriptedStore store = new ScriptedStore();

    StoreSynchronizerTest() throws Exception {
        fixture = new CoordinatorFixture(root -> { });
    }

    @BeforeEach
    void start() {
        new StoreSynchronizer(store, fixture.coordinator, fixture.deadlines, new UnchangedSettings(), false).start();
    }

    private static ReaderEntry reader(Status status) {
        return new ReaderEntry("r", "127.0.0.1", 1, "a", 0, status, 1, 0);
    }

    private static String json(ReaderEntry... readers) throws Exception {
        return new ObjectMapper().writeValueAsString(List.of(readers));
    }

    /** A store whose entries and leader the test sets, and which commits each write at once. */
    private static final class ScriptedStore implements Store {
        private final Map<String, Entry> entries = new TreeMap<>();
        private String leader = "other";
        private BiConsumer<String, Entry> watcher;

        void report(String key, long version, String value) {
            entries.put(key, new Entry(version, value));
            watcher.accept(key, entries.get(key));
        }

        @Override
        public void put(String key, long expectedVersion, String value, Consumer<WriteResult> done) {
            entries.put(key, new Entry(expectedVersion + 1, value));
            done.accept(new WriteResult(Outcome.STORED, expectedVersion + 1, ""));
        }

        @Override
        public String leader() {
            return leader;
        }

        @Override
        public String member() {
            return "self";
        }

        @Override
        public Map<String, Entry> entries() {
            return entries;
        }

        @Override
        public boolean isCurrent() {
            return true;
        }

        @Override
        public void watch(BiConsumer<String, Entry> action) {
            watcher = action;
        }

        @Override
        public void reportLastKnown(Runnable done) {
            done.run();
        }

        @Override
        public void close() { }
    }

    private static final class UnchangedSettings implements StoreSynchronizer.ActiveSettings {
        @Override
        public String currentJson() {
            return "{}";
        }

        @Override
        public void validate(String settings) { }

        @Override
        public void apply(String settings) { }
    }

    /** Guards against a member that goes on with an older list of its log than the newest that it is told of. */
    @Test
    void laterListOfTheStoreReplacesAnEarlierOne() throws Exception {
        store.report(StoreSynchronizer.READERS, 1, json(READY));
        store.report(StoreSynchronizer.READERS, 2, json(DRAINS));
        assertThat(fixture.coordinator.readers()).containsExactly(DRAINS);
    }

    /** The store's list is for a coordinator that has none of its own. */
    @Test
    void listOfTheStoreDoesNotReplaceOneFromElsewhere() throws Exception {
        fixture.coordinator.updateReaders(ListKind.CACHED, List.of(DRAINS));
        store.report(StoreSynchronizer.READERS, 1, json(READY));
        assertThat(fixture.coordinator.readers()).containsExactly(DRAINS);
    }

    /** Guards against a list from before a start that is written back as the newest. */
    @Test
    void listFromBeforeTheStartIsNotWrittenOverTheStores() throws Exception {
        store.leader = "self";
        fixture.coordinator.updateReaders(ListKind.CACHED, List.of(READY));
        assertThat(store.get(StoreSynchronizer.READERS).value()).as("there was none").isEqualTo(json(READY));
        store.report(StoreSynchronizer.READERS, 2, json(DRAINS));
        assertThat(store.get(StoreSynchronizer.READERS)).isEqualTo(new Store.Entry(2, json(DRAINS)));
        fixture.coordinator.updateReaders(ListKind.WHOLE, List.of(READY));
        assertThat(store.get(StoreSynchronizer.READERS)).isEqualTo(new Store.Entry(3, json(READY)));
    }
}
