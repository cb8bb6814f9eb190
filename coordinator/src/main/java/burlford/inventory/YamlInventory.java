package burlford.inventory;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.io.StringWriter;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * As Ansible writes it: groups with hosts, vars and children. A host's own variables go before its group's,
 * a group's before those of the groups it stands in.
 */
final class YamlInventory {

    /** A value and the line it began on: a word (null for none) or a mapping. */
    private record Node(long line, String word, Map<String, Node> fields) { }

    private YamlInventory() { }

    static void parse(String text, Inventory.Builder builder) throws Inventory.InvalidInventoryException, IOException {
        try (YAMLParser parser = new YAMLFactory().createParser(text)) {
            JsonToken first = parser.nextToken();
            if (first == null) {
                throw new Inventory.InvalidInventoryException(1, "there is no inventory");
            }
            Node root = node(parser, first);
            for (Map.Entry<String, Node> group : mapping(root, "the inventory").entrySet()) {
                group(builder, group.getKey(), group.getValue(), Map.of());
            }
        } catch (JsonProcessingException e) {
            throw new Inventory.InvalidInventoryException(e.getLocation() == null ? 1 : e.getLocation().getLineNr(),
                    e.getOriginalMessage());
        }
    }

    private static Node node(YAMLParser parser, JsonToken token) throws Inventory.InvalidInventoryException,
            IOException {
        long line = parser.currentTokenLocation().getLineNr();
        if (token == JsonToken.START_OBJECT) {
            Map<String, Node> fields = new LinkedHashMap<>();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                long at = parser.currentTokenLocation().getLineNr();
                String name = parser.currentName();
                if (fields.containsKey(name)) {
                    throw new Inventory.InvalidInventoryException(at, "duplicate id " + name + ", first on line "
                            + fields.get(name).line);
                }
                Node value = node(parser, parser.nextToken());
                fields.put(name, new Node(at, value.word, value.fields));
            }
            return new Node(line, null, fields);
        }
        if (token == JsonToken.START_ARRAY) {
            throw new Inventory.InvalidInventoryException(line, "a list where a mapping or a word belongs");
        }
        return new Node(line, token == JsonToken.VALUE_NULL ? null : parser.getText(), null);
    }

    private static Map<String, Node> mapping(Node node, String what) throws Inventory.InvalidInventoryException {
        if (node.fields == null && node.word != null) {
            throw new Inventory.InvalidInventoryException(node.line, what + " is not a mapping");
        }
        return node.fields == null ? Map.of() : node.fields;
    }

    private static void group(Inventory.Builder builder, String name, Node group, Map<String, String> outer)
            throws Inventory.InvalidInventoryException {
        Map<String, Node> fields = mapping(group, "group " + name);
        for (Map.Entry<String, Node> f : fields.entrySet()) {
            if (!f.getKey().equals("hosts") && !f.getKey().equals("vars") && !f.getKey().equals("children")) {
                throw new Inventory.InvalidInventoryException(f.getValue().line, "group " + name
                        + " has the unknown key " + f.getKey());
            }
        }
        Map<String, String> inner = new TreeMap<>(outer);
        if (fields.containsKey("vars")) {
            variables(inner, fields.get("vars"), "vars of group " + name);
        }
        if (fields.containsKey("hosts")) {
            for (Map.Entry<String, Node> h : mapping(fields.get("hosts"), "hosts of group " + name).entrySet()) {
                Map<String, String> own = new TreeMap<>(inner);
                variables(own, h.getValue(), "host " + h.getKey());
                builder.add(h.getValue().line, h.getKey(), name.equals("all") ? "" : name, own);
            }
        }
        if (fields.containsKey("children")) {
            for (Map.Entry<String, Node> c : mapping(fields.get("children"), "children of group " + name).entrySet()) {
                group(builder, c.getKey(), c.getValue(), inner);
            }
        }
    }

    private static void variables(Map<String, String> into, Node from, String what)
            throws Inventory.InvalidInventoryException {
        for (Map.Entry<String, Node> v : mapping(from, what).entrySet()) {
            if (v.getValue().fields != null) {
                throw new Inventory.InvalidInventoryException(v.getValue().line, what + ": " + v.getKey()
                        + " is not a plain value");
            }
            if (v.getValue().word == null || v.getValue().word.isEmpty()) {
                into.remove(v.getKey());
            } else {
                into.put(v.getKey(), v.getValue().word.trim());
            }
        }
    }

    /** Each host with all its variables, under its group. */
    static String format(Inventory inventory) throws IOException {
        Map<String, Map<String, Map<String, String>>> groups = new LinkedHashMap<>();
        inventory.hosts().forEach(h -> groups.computeIfAbsent(h.group(), g -> new LinkedHashMap<>())
                .put(h.id(), h.variables()));
        StringWriter out = new StringWriter();
        YAMLFactory factory = YAMLFactory.builder().disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER).build();
        try (YAMLGenerator yaml = factory.createGenerator(out)) {
            yaml.writeStartObject();
            yaml.writeObjectFieldStart("all");
            yaml.writeObjectFieldStart("children");
            for (Map.Entry<String, Map<String, Map<String, String>>> g : groups.entrySet()) {
                yaml.writeObjectFieldStart(g.getKey());
                yaml.writeObjectFieldStart("hosts");
                for (Map.Entry<String, Map<String, String>> h : g.getValue().entrySet()) {
                    yaml.writeObjectFieldStart(h.getKey());
                    for (Map.Entry<String, String> v : h.getValue().entrySet()) {
                        yaml.writeStringField(v.getKey(), v.getValue());
                    }
                    yaml.writeEndObject();
                }
                yaml.writeEndObject();
                yaml.writeEndObject();
            }
            yaml.writeEndObject();
            yaml.writeEndObject();
            yaml.writeEndObject();
        }
        return out.toString();
    }
}
