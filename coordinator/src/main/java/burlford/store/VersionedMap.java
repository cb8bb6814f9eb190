package burlford.store;

import burlford.store.Store.Entry;
import burlford.store.Store.Outcome;
import burlford.store.Store.WriteResult;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.persistence.RestoredRaftState;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The replicated state: members that apply the same writes in the same order reach the same state. Encoded as JSON. */
final class VersionedMap {

    /** Operation that a new leader commits to start its term; it changes no key. */
    static final String NEW_TERM = "";

    private static final ObjectMapper JSON = new ObjectMapper();
    private final Map<String, Entry> entries = new TreeMap<>();

    static String encodeWrite(String key, long expectedVersion, String value) {
        return JSON.createObjectNode().put("key", key).put("from", expectedVersion).put("value", value).toString();
    }

    /** The state that a log holds, as if all of its entries were committed. */
    static VersionedMap replay(RestoredRaftState log) {
        VersionedMap map = new VersionedMap();
        if (SnapshotEntry.isNonInitial(log.getSnapshotEntry())) {
            List<String> chunks = new ArrayList<>();
            for (Object chunk : (List<?>) log.getSnapshotEntry().getOperation()) {
                chunks.add((String) ((SnapshotChunk) chunk).getOperation());
            }
            map.restore(chunks);
        }
        for (LogEntry entry : log.getLogEntries()) {
            if (entry.getOperation() instanceof String operation && !operation.equals(NEW_TERM)) {
                map.apply(operation);
            }
        }
        return map;
    }

    /** Key and result of an applied write. */
    record ApplyResult(String key, WriteResult writeResult) { }

    ApplyResult apply(String write) {
        JsonNode operation = parseJson(write);
        String key = operation.get("key").textValue();
        Entry current = entries.get(key);
        long version = current == null ? 0 : current.version();
        if (operation.get("from").longValue() != version) {
            return new ApplyResult(key, new WriteResult(Outcome.STALE, version, "the key is at version " + version));
        }
        entries.put(key, new Entry(version + 1, operation.get("value").textValue()));
        return new ApplyResult(key, new WriteResult(Outcome.STORED, version + 1, ""));
    }

    Map<String, Entry> entries() {
        return entries;
    }

    /** The entries in chunks, each of which ends with the entry that makes it as long as chunkBytes. */
    List<String> snapshot(int chunkBytes) {
        List<String> chunks = new ArrayList<>();
        ObjectNode chunk = JSON.createObjectNode();
        long bytes = 0;
        for (Map.Entry<String, Entry> e : entries.entrySet()) {
            chunk.putObject(e.getKey()).put("version", e.getValue().version()).put("value", e.getValue().value());
            bytes += e.getKey().length() + e.getValue().value().length();
            if (bytes >= chunkBytes) {
                chunks.add(chunk.toString());
                chunk = JSON.createObjectNode();
                bytes = 0;
            }
        }
        if (!chunk.isEmpty() || chunks.isEmpty()) {
            chunks.add(chunk.toString());
        }
        return chunks;
    }

    void restore(List<String> chunks) {
        entries.clear();
        for (String chunk : chunks) {
            parseJson(chunk).properties().forEach(e -> entries.put(e.getKey(),
                    new Entry(e.getValue().get("version").longValue(), e.getValue().get("value").textValue())));
        }
    }

    private static JsonNode parseJson(String text) {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the store's own text is not JSON", e);
        }
    }
}
