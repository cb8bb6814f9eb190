package burlford.settings;

import burlford.policy.Aggregator;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses a settings text, which has a line path=value for each setting, into the module's types. Times are
 * microseconds. Unknown settings are ignored.
 */
public final class SettingsParser {

    private final Map<String, String> valueByPath = new HashMap<>();

    private SettingsParser() { }

    /** Throws {@link InputFormatException} if a setting is malformed or a required one is missing. */
    public static Aggregator.Settings parse(String text) {
        SettingsParser parser = new SettingsParser();
        int lineNumber = 0;
        for (String line : text.split("\n", -1)) {
            lineNumber++;
            if (line.isBlank()) {
                continue;
            }
            int separator = line.indexOf('=');
            if (separator <= 0) {
                throw new InputFormatException("settings line " + lineNumber + " is not path=value: " + line);
            }
            parser.valueByPath.put(line.substring(0, separator).trim(), line.substring(separator + 1).trim());
        }
        return parser.build();
    }

    private Aggregator.Settings build() {
        List<Aggregator.QueryClass> classes = new ArrayList<>();
        int count = (int) required("classes.count");
        for (int i = 0; i < count; i++) {
            String prefix = "classes." + i + ".";
            double need = listItem("familyInfo.completeFrom", i, 1);
            classes.add(new Aggregator.QueryClass((long) required(prefix + "target"),
                    (long) required(prefix + "deadline"), effect(prefix + "effect"),
                    (long) number(prefix + "memorySpan", 0), required(prefix + "points"),
                    number(prefix + "lateWorth", 0), need, listItem("familyInfo.classFloor", i, need),
                    listItem("familyInfo.shortWorth", i, 0), (int) listItem("familyInfo.followUp", i, 0)));
        }
        List<Aggregator.Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < (int) number("tenants.count", 0); i++) {
            tenants.add(new Aggregator.Tenant(required("tenants." + i + ".allowancePerS"),
                    number("tenants." + i + ".share", 0)));
        }
        boolean hasBudget = valueByPath.containsKey("rules.lookBack")
                && (valueByPath.containsKey("rules.resendRatio") || valueByPath.containsKey("rules.minExtra"));
        Aggregator.Rules rules = new Aggregator.Rules((long) number("rules.stopSendingWithin", 0),
                number("rules.coldFrom", 0), (long) number("rules.cold", 0), number("rules.tipMultiple", 0),
                (long) number("rules.fall", 0), hasBudget, number("rules.minExtra", 0), number("rules.resendRatio", 0),
                (long) number("rules.lookBack", 0), (long) number("rules.answerSlack", 0),
                (long) number("rules.askEvery", 0));
        Aggregator.Allowed allowed = new Aggregator.Allowed((int) required("allowed.mostTries"),
                (int) required("allowed.maxOpen"), flag("allowed.secondCopies"), flag("allowed.mayCancel"),
                flag("allowed.probing"), flag("allowed.retryAfter"), (long) number("allowed.maxRetryAfter", 0));
        Aggregator.Prices prices = new Aggregator.Prices(number("charges.crossZone", 0), number("charges.handshake", 0),
                number("charges.probe", 0));
        List<Aggregator.ReportField> fields = new ArrayList<>();
        for (String name : valueByPath.getOrDefault("feedback.columns", "").split(",")) {
            if (!name.isBlank()) {
                fields.add(reportField(name.trim()));
            }
        }
        return new Aggregator.Settings((int) number("position", 0), (int) required("instances"),
                (int) number("zone", 0), "subscribe".equals(valueByPath.get("discovery")),
                (int) required("familyInfo.sets"), (int) required("familyInfo.reach"),
                (int) required("familyInfo.slices"), (int) number("familyInfo.batch", 1),
                (long) number("familyInfo.perCallWork", 0),
                "answers".equals(valueByPath.get("feedback.source")), number("overShareWorth", 1), List.copyOf(fields),
                List.copyOf(classes), List.copyOf(tenants), rules, allowed, prices,
                flag("clientHabits.marksRetry"));
    }

    private static Aggregator.ReportField reportField(String name) {
        return switch (name) {
            case "active" -> Aggregator.ReportField.QUEUE;
            case "waiting" -> Aggregator.ReportField.WAITING;
            case "cpu" -> Aggregator.ReportField.BUSY;
            case "avg_ms" -> Aggregator.ReportField.SERVICE_MS;
            case "rps" -> Aggregator.ReportField.RATE;
            case "err_rps" -> Aggregator.ReportField.ERROR_RATE;
            default -> Aggregator.ReportField.OTHER;
        };
    }

    private Aggregator.Effect effect(String path) {
        String value = requiredText(path);
        return switch (value) {
            case "retryable" -> Aggregator.Effect.SAFE;
            case "dedup" -> Aggregator.Effect.KEYED;
            case "fragile" -> Aggregator.Effect.UNSAFE;
            default -> throw new InputFormatException("setting " + path + " has the unknown value " + value);
        };
    }

    private String requiredText(String path) {
        String value = valueByPath.get(path);
        if (value == null) {
            throw new InputFormatException("setting " + path + " is missing");
        }
        return value;
    }

    private double required(String path) {
        return parseNumber(path, requiredText(path));
    }

    /** Returns the number at the path, or the default value if it is absent or empty. */
    private double number(String path, double defaultValue) {
        String value = valueByPath.get(path);
        return value == null || value.isEmpty() ? defaultValue : parseNumber(path, value);
    }

    /** Returns an item of the comma-separated list at the path, or the default value if the list has no such item. */
    private double listItem(String path, int index, double defaultValue) {
        String value = valueByPath.get(path);
        if (value == null || value.isEmpty()) {
            return defaultValue;
        }
        String[] items = value.split(",");
        return index < items.length ? parseNumber(path, items[index].trim()) : defaultValue;
    }

    private boolean flag(String path) {
        return "true".equals(valueByPath.get(path));
    }

    private static double parseNumber(String path, String value) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new InputFormatException("setting " + path + " is not a number: " + value);
    }
}
