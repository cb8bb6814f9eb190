package burlford.daemon;

import burlford.core.ReaderEntry;
import burlford.core.ReaderRegistry;
import burlford.core.Timers;
import burlford.inventory.Inventory;
import burlford.policy.Aggregator.ListKind;
import burlford.store.Store;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.type.CollectionType;
import java.io.IOException;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * What the daemon keeps in its store: the revisions of its configuration, the inventory, and the list of
 * readers as last known. Nothing here is waited for; queries go on with what the coordinator has.
 */
final class StoreSynchronizer {

    static final String CONFIGURATION = "configuration";
    static final String INVENTORY = "inventory";
    static final String READERS = "readers";

    private static final long LOOK = 1_000_000;
    // Name kept for existing logging configurations.
    private static final Logger LOG = Logger.getLogger("burlford.daemon.Records");
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final CollectionType ENTRIES = JSON.getTypeFactory().constructCollectionType(List.class,
            ReaderEntry.class);

    private final Store store;
    private final ReaderRegistry roster;
    private final Timers deadlines;
    private final ActiveSettings settings;
    private final boolean fromStore;
    /** The reader list did not come from the key READERS: it is not to be replaced by that one. */
    private boolean hasOwnList;
    /** The reader list is one of this life of the process, from discovery or an inventory. */
    private boolean hasNewList;
    private boolean applyingReaders;
    private boolean writing;

    /** The settings in force, as JSON. */
    interface ActiveSettings {
        String currentJson();

        /** Throws where they cannot be used. */
        void validate(String settings) throws Configuration.InvalidConfigurationException;

        void apply(String settings) throws Configuration.InvalidConfigurationException;
    }

    /** fromStore: the inventory in the store is the list of readers. */
    StoreSynchronizer(Store store, ReaderRegistry roster, Timers deadlines, ActiveSettings settings,
            boolean fromStore) {
        this.store = store;
        this.roster = roster;
        this.deadlines = deadlines;
        this.settings = settings;
        this.fromStore = fromStore;
    }

    void start() {
        store.watch(this::written);
        roster.onReadersUpdated(this::readersUpdated);
        look();
    }

    private void readersUpdated(ListKind kind) {
        hasOwnList |= !applyingReaders;
        hasNewList |= kind != ListKind.CACHED;
        keep();
    }

    /** Who leads changes without a word to us; now and then is soon enough to take over its writing. */
    private void look() {
        keep();
        deadlines.schedule(roster.now() + LOOK, this::look);
    }

    /** Why a value may not stand under a key; null where it may. */
    String rejectionReason(String key, String value) {
        try {
            if (key.equals(READERS)) {
                return "the coordinators write " + key + " themselves";
            } else if (key.equals(CONFIGURATION)) {
                settings.validate(value);
            } else if (key.equals(INVENTORY)) {
                inventory(value);
            }
            return null;
        } catch (Configuration.InvalidConfigurationException | Inventory.InvalidInventoryException | IOException e) {
            return key + " " + e.getMessage();
        }
    }

    private Inventory inventory(String text) throws Inventory.InvalidInventoryException, IOException {
        return Inventory.parse(text, Inventory.isCsv(text), roster.site().cells());
    }

    private void written(String key, Store.Entry entry) {
        if (!key.equals(READERS)) {
            LOG.log(Level.INFO, "store: {0} is at version {1}", new Object[] {key, entry.version()});
        }
        try {
            if (key.equals(CONFIGURATION)) {
                settings.apply(entry.value());
            } else if (key.equals(INVENTORY) && fromStore) {
                roster.updateReaders(ListKind.WHOLE, inventory(entry.value()).readerEntries());
            } else if (key.equals(READERS) && !hasOwnList) {
                applyReaders(JSON.readValue(entry.value(), ENTRIES));
            }
        } catch (Configuration.InvalidConfigurationException | Inventory.InvalidInventoryException | IOException e) {
            LOG.log(Level.WARNING, "store: {0} cannot be used: {1}", new Object[] {key, e.getMessage()});
        }
        keep();
    }

    /** A later list replaces an earlier one, as long as no other source has given one. */
    private void applyReaders(List<ReaderEntry> readers) {
        applyingReaders = true;
        roster.updateReaders(ListKind.CACHED, readers);
        applyingReaders = false;
    }

    /**
     * The member that leads writes what has changed, one write at a time: the readers, and where no settings
     * are in the store yet, its own. Settings in the store go before those a coordinator was started with. A list from
     * before the start may be older than the one in the store, and does not replace it.
     */
    private void keep() {
        if (writing || !store.isCurrent() || !store.member().equals(store.leader())) {
            return;
        }
        try {
            if (store.get(CONFIGURATION) == null) {
                put(CONFIGURATION, settings.currentJson());
            }
            if (!writing && !roster.readers().isEmpty() && (hasNewList || store.get(READERS) == null)) {
                put(READERS, JSON.writeValueAsString(roster.readers()));
            }
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private void put(String key, String value) {
        Store.Entry held = store.get(key);
        if (held != null && held.value().equals(value)) {
            return;
        }
        writing = true;
        store.put(key, held == null ? 0 : held.version(), value, w -> {
            writing = false;
            if (w.outcome() == Store.Outcome.STORED) {
                keep();
            }
        });
    }
}
