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

/** One reader a row, under a header row: id, group and a column for each variable; an empty cell is none. */
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
                    header = header(line, row);
                } else {
                    row(builder, line, header, row);
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

    private static List<String> header(long line, List<String> names) throws Inventory.InvalidInventoryException {
        Set<String> seen = new TreeSet<>();
        for (String name : names) {
            if (name.isEmpty() || !seen.add(name)) {
                throw new Inventory.InvalidInventoryException(line, "the header has an empty or repeated column: "
                        + name);
            }
        }
        for (String needed : List.of(ID, Inventory.ADDRESS, Inventory.PORT, Inventory.CELL)) {
            if (!seen.contains(needed)) {
                throw new Inventory.InvalidInventoryException(line, "the header lacks the column " + needed);
            }
        }
        return names;
    }

    private static void row(Inventory.Builder builder, long line, List<String> header, List<String> row)
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
            line(csv, header);
            for (Inventory.Host h : inventory.hosts()) {
                List<String> row = new ArrayList<>(List.of(h.id(), h.group()));
                columns.forEach(c -> row.add(h.variables().getOrDefault(c, "")));
                line(csv, row);
            }
        }
        return out.toString();
    }

    private static void line(CsvGenerator csv, List<String> values) throws IOException {
        csv.writeStartArray();
        for (String value : values) {
            csv.writeString(value);
        }
        csv.writeEndArray();
    }
}
