package burlford.inventory;

import burlford.core.ReaderEntry;
import burlford.policy.Aggregator.Status;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The readers as configuration tools keep them: hosts in groups, with variables. */
public record Inventory(List<Host> hosts) {

    /** The variables that say what the coordinator needs; any other is kept and passed on. */
    static final String ADDRESS = "ansible_host";
    static final String PORT = "ansible_port";
    static final String CELL = "cell";
    static final String ZONE = "zone";
    static final String SIZE = "size";
    static final String STATUS = "status";
    /** The group of hosts that stand in none. */
    static final String UNGROUPED = "ungrouped";
    /** Where the settings, and so the number of cells, are not at hand. */
    public static final int MAX_CELLS = 65536;

    /** variables: all that hold for the host, its groups' included. */
    public record Host(String id, String group, Map<String, String> variables) {

        ReaderEntry toReaderEntry() {
            return new ReaderEntry(id, variables.get(ADDRESS), Integer.parseInt(variables.get(PORT)),
                    variables.getOrDefault(ZONE, ""), Integer.parseInt(variables.get(CELL)),
                    Status.valueOf(variables.getOrDefault(STATUS, "ready").toUpperCase(Locale.ROOT)),
                    Double.parseDouble(variables.getOrDefault(SIZE, "1")), 0);
        }
    }

    /** An inventory that cannot be used; the message begins with the line. */
    public static final class InvalidInventoryException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidInventoryException(long line, String message) {
            super("line " + line + ": " + message);
        }

        private InvalidInventoryException(Path file, String message) {
            super(file + " " + message);
        }
    }

    /**
     * By its ending: .csv, or else .yaml or .yml. cells: how many there are. InvalidInventoryException names file and
     * line.
     */
    public static Inventory load(Path file, int cells) throws InvalidInventoryException, IOException {
        try {
            return parse(Files.readString(file), isCsv(file), cells);
        } catch (InvalidInventoryException e) {
            throw new InvalidInventoryException(file, e.getMessage());
        } catch (java.nio.charset.CharacterCodingException e) {
            throw new InvalidInventoryException(file, "is not valid UTF-8");
        }
    }

    public static Inventory parse(String text, boolean csv, int cells) throws InvalidInventoryException, IOException {
        Builder hosts = new Builder(cells);
        if (csv) {
            CsvInventory.parse(text, hosts);
        } else {
            YamlInventory.parse(text, hosts);
        }
        return hosts.build();
    }

    public String format(boolean csv) throws IOException {
        return csv ? CsvInventory.format(this) : YamlInventory.format(this);
    }

    public static boolean isCsv(Path file) {
        return file.toString().toLowerCase(Locale.ROOT).endsWith(".csv");
    }

    /** Text whose form nothing tells: a CSV header has columns, the first line of YAML a colon or a mark. */
    public static boolean isCsv(String text) {
        String first = text.lines().findFirst().orElse("");
        return first.contains(",") && !first.contains(":") && !first.startsWith("#");
    }

    public List<ReaderEntry> readerEntries() {
        return hosts.stream().map(Host::toReaderEntry).toList();
    }

    /** Collects hosts and checks each where it stands. */
    static final class Builder {
        private final int cells;
        private final List<Host> hosts = new ArrayList<>();
        private final Map<String, Long> lines = new HashMap<>();
        private final Map<String, Long> addresses = new HashMap<>();

        Builder(int cells) {
            this.cells = cells;
        }

        void add(long line, String id, String group, Map<String, String> variables) throws InvalidInventoryException {
            if (id.isBlank()) {
                throw new InvalidInventoryException(line, "a host has no id");
            }
            Long first = lines.putIfAbsent(id, line);
            if (first != null) {
                throw new InvalidInventoryException(line, "duplicate id " + id + ", first on line " + first);
            }
            String address = variables.getOrDefault(ADDRESS, "");
            // Names are not looked up: the coordinator must never wait for an answer about one.
            if (!NetUtil.isValidIpV4Address(address) && !NetUtil.isValidIpV6Address(address)) {
                throw new InvalidInventoryException(line, "host " + id + " has a bad address: " + ADDRESS + " "
                        + address);
            }
            whole(line, id, PORT, variables.get(PORT), 1, 65535);
            whole(line, id, CELL, variables.get(CELL), 0, cells - 1);
            first = addresses.putIfAbsent(address + " " + variables.get(PORT), line);
            if (first != null) {
                throw new InvalidInventoryException(line, "host " + id + " has the address of the host on line "
                        + first);
            }
            String size = variables.getOrDefault(SIZE, "1");
            if (!size.matches("[0-9]{1,9}(\\.[0-9]{1,9})?") || Double.parseDouble(size) == 0) {
                throw new InvalidInventoryException(line, "host " + id + " has a bad size: " + size);
            }
            String status = variables.getOrDefault(STATUS, "ready");
            if (!status.equals("ready") && !status.equals("draining")) {
                throw new InvalidInventoryException(line, "host " + id + " has a bad status (ready or draining): "
                        + status);
            }
            hosts.add(new Host(id, group.isBlank() ? UNGROUPED : group, new TreeMap<>(variables)));
        }

        private static void whole(long line, String id, String name, String value, int least, int most)
                throws InvalidInventoryException {
            if (value == null || !value.matches("[0-9]{1,5}") || Integer.parseInt(value) < least
                    || Integer.parseInt(value) > most) {
                throw new InvalidInventoryException(line, "host " + id + " has a bad " + name + " (" + least + " to "
                        + most + "): " + value);
            }
        }

        Inventory build() {
            return new Inventory(List.copyOf(hosts));
        }
    }
}
