package burlford.store;

import burlford.store.Store.Entry;
import burlford.store.Store.Outcome;
import burlford.store.Store.WriteResult;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;

/** The state every member comes to by the same writes in the same order; written and read as JSON text. */
final class VersionedMap {

    private static final ObjectMapper JSON = new ObjectMapper();
    private final Map<String, Entry> entries = new TreeMap<>();

    static String encodeWrite(String key, long from, String value) {
        return JSON.createObjectNode().put("key", key).put("from", from).put("value", value).toString();
    }

    record ApplyResult(String key, WriteResult writeResult) { }

    ApplyResult apply(String write) {
        JsonNode w = tree(write);
        String key = w.get("key").textValue();
        Entry was = entries.get(key);
        long version = was == null ? 0 : was.version();
        if (w.get("from").longValue() != version) {
            return new ApplyResult(key, new WriteResult(Outcome.STALE, version, "the key is at version " + version));
        }
        entries.put(key, new Entry(version + 1, w.get("value").textValue()));
        return new ApplyResult(key, new WriteResult(Outcome.STORED, version + 1, ""));
    }

    Map<String, Entry> entries() {
        return entries;
    }

    String snapshot() {
        ObjectNode all = JSON.createObjectNode();
        entries.forEach((k, e) -> all.putObject(k).put("version", e.version()).put("value", e.value()));
        return all.toString();
    }

    void restore(String snapshot) {
        entries.clear();
        tree(snapshot).properties().forEach(e -> entries.put(e.getKey(),
                new Entry(e.getValue().get("version").longValue(), e.getValue().get("value").textValue())));
    }

    private static JsonNode tree(String text) {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the store's own text is not JSON", e);
        }
    }
}
