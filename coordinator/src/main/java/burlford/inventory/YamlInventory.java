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
 * YAML inventory in Ansible's format: groups with hosts, vars and children. A host's variables override those of its
 * group, and a group's variables override those of the groups that contain it.
 */
final class YamlInventory {

    /** A value and the line on which it begins: a scalar (null if empty) or, where fields is not null, a mapping. */
    private record Node(long line, String scalar, Map<String, Node> fields) { }

    private YamlInventory() { }

    static void parse(String text, Inventory.Builder builder) throws Inventory.InvalidInventoryException, IOException {
        try (YAMLParser parser = new YAMLFactory().createParser(text)) {
            JsonToken first = parser.nextToken();
            if (first == null) {
                throw new Inventory.InvalidInventoryException(1, "there is no inventory");
            }
            Node root = readNode(parser, first);
            for (Map.Entry<String, Node> group : requireMapping(root, "the inventory").entrySet()) {
                addGroup(builder, group.getKey(), group.getValue(), Map.of());
            }
        } catch (JsonProcessingException e) {
            throw new Inventory.InvalidInventoryException(e.getLocation() == null ? 1 : e.getLocation().getLineNr(),
                    e.getOriginalMessage());
        }
    }

    private static Node readNode(YAMLParser parser, JsonToken token) throws Inventory.InvalidInventoryException,
            IOException {
        long line = parser.currentTokenLocation().getLineNr();
        if (token == JsonToken.START_OBJECT) {
            Map<String, Node> fields = new LinkedHashMap<>();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                long fieldLine = parser.currentTokenLocation().getLineNr();
                String name = parser.currentName();
                if (fields.containsKey(name)) {
                    throw new Inventory.InvalidInventoryException(fieldLine, "duplicate id " + name + ", first on line "
                            + fields.get(name).line);
                }
                Node value = readNode(parser, parser.nextToken());
                fields.put(name, new Node(fieldLine, value.scalar, value.fields));
            }
            return new Node(line, null, fields);
        }
        if (token == JsonToken.START_ARRAY) {
            throw new Inventory.InvalidInventoryException(line, "a list where a mapping or a word belongs");
        }
        return new Node(line, token == JsonToken.VALUE_NULL ? null : parser.getText(), null);
    }

    private static Map<String, Node> requireMapping(Node node, String description)
            throws Inventory.InvalidInventoryException {
        if (node.fields == null && node.scalar != null) {
            throw new Inventory.InvalidInventoryException(node.line, description + " is not a mapping");
        }
        return node.fields == null ? Map.of() : node.fields;
    }

    private static void addGroup(Inventory.Builder builder, String name, Node group, Map<String, String> outerVariables)
            throws Inventory.InvalidInventoryException {
        Map<String, Node> fields = requireMapping(group, "group " + name);
        for (Map.Entry<String, Node> f : fields.entrySet()) {
            if (!f.getKey().equals("hosts") && !f.getKey().equals("vars") && !f.getKey().equals("children")) {
                throw new Inventory.InvalidInventoryException(f.getValue().line, "group " + name
                        + " has the unknown key " + f.getKey());
            }
        }
        Map<String, String> groupVariables = new TreeMap<>(outerVariables);
        if (fields.containsKey("vars")) {
            overrideVariables(groupVariables, fields.get("vars"), "vars of group " + name);
        }
        if (fields.containsKey("hosts")) {
            for (Map.Entry<String, Node> h : requireMapping(fields.get("hosts"), "hosts of group " + name).entrySet()) {
                Map<String, String> hostVariables = new TreeMap<>(groupVariables);
                overrideVariables(hostVariables, h.getValue(), "host " + h.getKey());
                builder.add(h.getValue().line, h.getKey(), name.equals("all") ? "" : name, hostVariables);
            }
        }
        if (fields.containsKey("children")) {
            for (Map.Entry<String, Node> c
                    : requireMapping(fields.get("children"), "children of group " + name).entrySet()) {
                addGroup(builder, c.getKey(), c.getValue(), groupVariables);
            }
        }
    }

    private static void overrideVariables(Map<String, String> variables, Node node, String description)
            throws Inventory.InvalidInventoryException {
        for (Map.Entry<String, Node> v : requireMapping(node, description).entrySet()) {
            if (v.getValue().fields != null) {
                throw new Inventory.InvalidInventoryException(v.getValue().line, description + ": " + v.getKey()
                        + " is not a plain value");
            }
            if (v.getValue().scalar == null || v.getValue().scalar.isEmpty()) {
                variables.remove(v.getKey());
            } else {
                variables.put(v.getKey(), v.getValue().scalar.trim());
            }
        }
    }

    /** Returns YAML text that lists each host under its group, with all its variables. */
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
