package burlford.inventory;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.csv.CsvFactory;
import com.fasterxml.jackson.dataformat.csv.CsvGenerator;
import com.fasterxml.jackson.dataformat.csv.CsvParser;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * CSV inventory: a header row, then one row for each reader. The columns are id, group and one for each variable; an
 * empty field means that the variable is not set.
 */
final class CsvInventory {

    private static final String ID = "id";
    private static final String GROUP = "group";

    private CsvInventory() { }

    static void parse(String text, Inventory.Builder builder) throws Inventory.InvalidInventoryException, IOException {
        List<String> header = null;
        CsvFactory factory = CsvFactory.builder().enable(CsvParser.Feature.SKIP_EMPTY_LINES).build();
        try (CsvParser parser = factory.createParser(text)) {
            for (JsonToken t = parser.nextToken(); t != null; t = parser.nextToken()) {
                if (t != JsonToken.START_ARRAY) {
                    continue;
                }
                List<String> row = new ArrayList<>();
                long line = 0;
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    line = line == 0 ? parser.currentTokenLocation().getLineNr() : line;
                    row.add(parser.getText().trim());
                }
                if (row.isEmpty()) {
                    continue;
                }
                if (header == null) {
                    header = checkHeader(line, row);
                } else {
                    addHost(builder, line, header, row);
                }
            }
        } catch (JsonProcessingException e) {
            throw new Inventory.InvalidInventoryException(e.getLocation() == null ? 1 : e.getLocation().getLineNr(),
                    e.getOriginalMessage());
        }
        if (header == null) {
            throw new Inventory.InvalidInventoryException(1, "there is no header row");
        }
    }

    private static List<String> checkHeader(long line, List<String> names) throws Inventory.InvalidInventoryException {
        Set<String> seen = new TreeSet<>();
        for (String name : names) {
            if (name.isEmpty() || !seen.add(name)) {
                throw new Inventory.InvalidInventoryException(line, "the header has an empty or repeated column: "
                        + name);
            }
        }
        for (String required : List.of(ID, Inventory.ADDRESS, Inventory.PORT, Inventory.CELL)) {
            if (!seen.contains(required)) {
                throw new Inventory.InvalidInventoryException(line, "the header lacks the column " + required);
            }
        }
        return names;
    }

    private static void addHost(Inventory.Builder builder, long line, List<String> header, List<String> row)
            throws Inventory.InvalidInventoryException {
        if (row.size() != header.size()) {
            throw new Inventory.InvalidInventoryException(line, row.size() + " values under " + header.size()
                    + " columns");
        }
        Map<String, String> variables = new TreeMap<>();
        for (int i = 0; i < row.size(); i++) {
            if (!row.get(i).isEmpty()) {
                variables.put(header.get(i), row.get(i));
            }
        }
        String id = variables.remove(ID);
        String group = variables.remove(GROUP);
        builder.add(line, id == null ? "" : id, group == null ? "" : group, variables);
    }

    static String format(Inventory inventory) throws IOException {
        Set<String> columns = new TreeSet<>();
        inventory.hosts().forEach(h -> columns.addAll(h.variables().keySet()));
        columns.addAll(List.of(Inventory.ADDRESS, Inventory.PORT, Inventory.CELL));
        List<String> header = new ArrayList<>(List.of(ID, GROUP));
        header.addAll(columns);
        StringWriter out = new StringWriter();
        try (CsvGenerator csv = new CsvFactory().createGenerator(out)) {
            writeRow(csv, header);
            for (Inventory.Host h : inventory.hosts()) {
                List<String> row = new ArrayList<>(List.of(h.id(), h.group()));
                columns.forEach(c -> row.add(h.variables().getOrDefault(c, "")));
                writeRow(csv, row);
            }
        }
        return out.toString();
    }

    private static void writeRow(CsvGenerator csv, List<String> values) throws IOException {
        csv.writeStartArray();
        for (String value : values) {
            csv.writeString(value);
        }
        csv.writeEndArray();
    }
}
