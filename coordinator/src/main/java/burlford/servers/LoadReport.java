package burlford.servers;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A reader's load, as {@code inflight=7,util=0.61}; put in the order of the settings' columns. */
final class LoadReport {

    /** The settings call some values otherwise than the readers do. */
    private static final Map<String, String> SETTINGS_NAMES = Map.of("inflight", "active", "queue", "waiting",
            "util", "cpu", "latency_ms", "avg_ms", "qps", "rps", "eps", "err_rps");
    private static final double[] NONE = {};

    private LoadReport() { }

    /**
     * Empty for "-", for a report that lacks a column (the module takes all columns or none), and for one that
     * cannot be read: the answer it came with is good all the same.
     */
    static double[] parse(String text, List<String> columns) {
        if (text.equals("-") || text.isEmpty()) {
            return NONE;
        }
        Map<String, Double> values = new HashMap<>();
        for (String pair : text.split(",")) {
            int eq = pair.indexOf('=');
            try {
                double value = Double.parseDouble(pair.substring(eq + 1));
                String name = pair.substring(0, Math.max(0, eq)).trim();
                values.put(SETTINGS_NAMES.getOrDefault(name, name), value);
            } catch (NumberFormatException e) {
                return NONE;
            }
        }
        if (!values.keySet().containsAll(columns)) {
            return NONE;
        }
        return columns.stream().mapToDouble(values::get).toArray();
    }
}
