package burlford.inventory;

import burlford.core.ReaderEntry;
import burlford.core.Utf8;
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

/** The readers as listed by configuration tools: hosts in groups, with variables. */
public record Inventory(List<Host> hosts) {

    /** Names of the variables that the coordinator uses; any others are kept and written out again. */
    static final String ADDRESS = "ansible_host";
    static final String PORT = "ansible_port";
    static final String CELL = "cell";
    static final String ZONE = "zone";
    static final String SIZE = "size";
    static final String STATUS = "status";
    /** Group given to hosts without one. */
    static final String UNGROUPED = "ungrouped";
    /** Upper limit of the cell count, used where the settings, and so the actual count, are not available. */
    public static final int MAX_CELLS = 65536;

    /** variables: all variables of the host, including those inherited from its groups. */
    public record Host(String id, String group, Map<String, String> variables) {

        ReaderEntry toReaderEntry() {
            return new ReaderEntry(id, variables.get(ADDRESS), Integer.parseInt(variables.get(PORT)),
                    variables.getOrDefault(ZONE, ""), Integer.parseInt(variables.get(CELL)),
                    Status.valueOf(variables.getOrDefault(STATUS, "ready").toUpperCase(Locale.ROOT)),
                    Double.parseDouble(variables.getOrDefault(SIZE, "1")), 0);
        }
    }

    /** The inventory is malformed or has invalid values; the message names the line, after the file if known. */
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
     * Reads a file as CSV if its name ends with .csv, otherwise as YAML. cellCount: the number of cells; the cell of a
     * host must be lower.
     */
    public static Inventory load(Path file, int cellCount) throws InvalidInventoryException, IOException {
        try {
            return parse(Files.readString(file), isCsv(file), cellCount);
        } catch (InvalidInventoryException e) {
            throw new InvalidInventoryException(file, e.getMessage());
        } catch (java.nio.charset.CharacterCodingException e) {
            throw new InvalidInventoryException(file, "is not valid UTF-8");
        }
    }

    /** Parses CSV or YAML text. */
    public static Inventory parse(String text, boolean csv, int cellCount)
            throws InvalidInventoryException, IOException {
        Builder builder = new Builder(cellCount);
        if (csv) {
            CsvInventory.parse(text, builder);
        } else {
            YamlInventory.parse(text, builder);
        }
        return builder.build();
    }

    /** Returns the inventory as CSV or YAML text. */
    public String format(boolean csv) throws IOException {
        return csv ? CsvInventory.format(this) : YamlInventory.format(this);
    }

    /** Whether the file name ends with .csv, in any case. */
    public static boolean isCsv(Path file) {
        return file.toString().toLowerCase(Locale.ROOT).endsWith(".csv");
    }

    /**
     * Guesses the format of text without a file name: the first line of CSV has a comma, but no colon and no leading
     * # as a first line of YAML may.
     */
    public static boolean isCsv(String text) {
        String first = text.lines().findFirst().orElse("");
        return first.contains(",") && !first.contains(":") && !first.startsWith("#");
    }

    public List<ReaderEntry> readerEntries() {
        return hosts.stream().map(Host::toReaderEntry).toList();
    }

    /** Collects hosts and validates each as it is added, so that errors name its line. */
    static final class Builder {
        private final int cellCount;
        private final List<Host> hosts = new ArrayList<>();
        private final Map<String, Long> lineById = new HashMap<>();
        private final Map<String, Long> lineByAddress = new HashMap<>();

        Builder(int cellCount) {
            this.cellCount = cellCount;
        }

        void add(long line, String id, String group, Map<String, String> variables) throws InvalidInventoryException {
            if (id.isBlank()) {
                throw new InvalidInventoryException(line, "a host has no id");
            }
            if (!Utf8.isWellFormed(id) || !variables.values().stream().allMatch(Utf8::isWellFormed)) {
                throw new InvalidInventoryException(line, "a host has a text with half of a surrogate pair");
            }
            Long earlierLine = lineById.putIfAbsent(id, line);
            if (earlierLine != null) {
                throw new InvalidInventoryException(line, "duplicate id " + id + ", first on line " + earlierLine);
            }
            String address = variables.getOrDefault(ADDRESS, "");
            // Host names are rejected: resolving one could block the coordinator.
            if (!NetUtil.isValidIpV4Address(address) && !NetUtil.isValidIpV6Address(address)) {
                throw new InvalidInventoryException(line, "host " + id + " has a bad address: " + ADDRESS + " "
                        + address);
            }
            checkInteger(line, id, PORT, variables.get(PORT), 1, 65535);
            checkInteger(line, id, CELL, variables.get(CELL), 0, cellCount - 1);
            earlierLine = lineByAddress.putIfAbsent(address + " " + variables.get(PORT), line);
            if (earlierLine != null) {
                throw new InvalidInventoryException(line, "host " + id + " has the address of the host on line "
                        + earlierLine);
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

        private static void checkInteger(long line, String id, String name, String value, int min, int max)
                throws InvalidInventoryException {
            if (value == null || !value.matches("[0-9]{1,5}") || Integer.parseInt(value) < min
                    || Integer.parseInt(value) > max) {
                throw new InvalidInventoryException(line, "host " + id + " has a bad " + name + " (" + min + " to "
                        + max + "): " + value);
            }
        }

        Inventory build() {
            return new Inventory(List.copyOf(hosts));
        }
    }
}
