package burlford.servers;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Parses a reader's load report, such as {@code inflight=7,util=0.61}, into the order of the settings' columns. */
final class LoadReport {

    /** Fields that the settings call by another name than the readers, mapped to the settings' name. */
    private static final Map<String, String> COLUMN_BY_FIELD = Map.of("inflight", "active", "queue", "waiting",
            "util", "cpu", "latency_ms", "avg_ms", "qps", "rps", "eps", "err_rps");
    private static final double[] NO_LOAD_REPORT = {};

    private LoadReport() { }

    /**
     * The values in the order of the columns. Empty for "-", for a report that lacks a column (the module takes all
     * columns or none), and for a malformed report; the answer that it came with is valid all the same.
     */
    static double[] parse(String text, List<String> columns) {
        if (text.equals("-") || text.isEmpty()) {
            return NO_LOAD_REPORT;
        }
        Map<String, Double> values = new HashMap<>();
        for (String pair : text.split(",")) {
            int separator = pair.indexOf('=');
            try {
                double value = Double.parseDouble(pair.substring(separator + 1));
                String name = pair.substring(0, Math.max(0, separator)).trim();
                values.put(COLUMN_BY_FIELD.getOrDefault(name, name), value);
            } catch (NumberFormatException e) {
                return NO_LOAD_REPORT;
            }
        }
        if (!values.keySet().containsAll(columns)) {
            return NO_LOAD_REPORT;
        }
        return columns.stream().mapToDouble(values::get).toArray();
    }
}
