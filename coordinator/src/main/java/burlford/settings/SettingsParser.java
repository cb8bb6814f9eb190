package burlford.settings;

import burlford.policy.Aggregator;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads the settings text of the wire into the interface's types: names and units, nothing else. */
public final class SettingsParser {

    private final Map<String, String> values = new HashMap<>();

    private SettingsParser() { }

    public static Aggregator.Settings parse(String text) {
        SettingsParser s = new SettingsParser();
        int row = 0;
        for (String line : text.split("\n", -1)) {
            row++;
            if (line.isBlank()) {
                continue;
            }
            int eq = line.indexOf('=');
            if (eq <= 0) {
                throw new InputFormatException("settings line " + row + " is not path=value: " + line);
            }
            s.values.put(line.substring(0, eq).trim(), line.substring(eq + 1).trim());
        }
        return s.build();
    }

    private Aggregator.Settings build() {
        List<Aggregator.QueryClass> classes = new ArrayList<>();
        int count = (int) needed("classes.count");
        for (int i = 0; i < count; i++) {
            String at = "classes." + i + ".";
            double need = item("familyInfo.completeFrom", i, 1);
            classes.add(new Aggregator.QueryClass((long) needed(at + "target"), (long) needed(at + "deadline"),
                    effect(at + "effect"), (long) number(at + "memorySpan", 0), needed(at + "points"),
                    number(at + "lateWorth", 0), need, item("familyInfo.classFloor", i, need),
                    item("familyInfo.shortWorth", i, 0), (int) item("familyInfo.followUp", i, 0)));
        }
        List<Aggregator.Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < (int) number("tenants.count", 0); i++) {
            tenants.add(new Aggregator.Tenant(needed("tenants." + i + ".allowancePerS"),
                    number("tenants." + i + ".share", 0)));
        }
        boolean budget = values.containsKey("rules.lookBack")
                && (values.containsKey("rules.resendRatio") || values.containsKey("rules.minExtra"));
        Aggregator.Rules rules = new Aggregator.Rules((long) number("rules.stopSendingWithin", 0),
                number("rules.coldFrom", 0), (long) number("rules.cold", 0), number("rules.tipMultiple", 0),
                (long) number("rules.fall", 0), budget, number("rules.minExtra", 0), number("rules.resendRatio", 0),
                (long) number("rules.lookBack", 0), (long) number("rules.answerSlack", 0),
                (long) number("rules.askEvery", 0));
        Aggregator.Allowed allowed = new Aggregator.Allowed((int) needed("allowed.mostTries"),
                (int) needed("allowed.maxOpen"), flag("allowed.secondCopies"), flag("allowed.mayCancel"),
                flag("allowed.probing"), flag("allowed.retryAfter"), (long) number("allowed.maxRetryAfter", 0));
        Aggregator.Prices prices = new Aggregator.Prices(number("charges.crossZone", 0), number("charges.handshake", 0),
                number("charges.probe", 0));
        List<Aggregator.ReportField> fields = new ArrayList<>();
        for (String name : values.getOrDefault("feedback.columns", "").split(",")) {
            if (!name.isBlank()) {
                fields.add(field(name.trim()));
            }
        }
        return new Aggregator.Settings((int) number("position", 0), (int) needed("instances"),
                (int) number("zone", 0), "subscribe".equals(values.get("discovery")),
                (int) needed("familyInfo.sets"), (int) needed("familyInfo.reach"), (int) needed("familyInfo.slices"),
                (int) number("familyInfo.batch", 1), (long) number("familyInfo.perCallWork", 0),
                "answers".equals(values.get("feedback.source")), number("overShareWorth", 1), List.copyOf(fields),
                List.copyOf(classes), List.copyOf(tenants), rules, allowed, prices,
                flag("clientHabits.marksRetry"));
    }

    private static Aggregator.ReportField field(String name) {
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
        String v = text(path);
        return switch (v) {
            case "retryable" -> Aggregator.Effect.SAFE;
            case "dedup" -> Aggregator.Effect.KEYED;
            case "fragile" -> Aggregator.Effect.UNSAFE;
            default -> throw new InputFormatException("setting " + path + " has the unknown value " + v);
        };
    }

    private String text(String path) {
        String v = values.get(path);
        if (v == null) {
            throw new InputFormatException("setting " + path + " is missing");
        }
        return v;
    }

    private double needed(String path) {
        return parse(path, text(path));
    }

    private double number(String path, double absent) {
        String v = values.get(path);
        return v == null || v.isEmpty() ? absent : parse(path, v);
    }

    private double item(String path, int index, double absent) {
        String v = values.get(path);
        if (v == null || v.isEmpty()) {
            return absent;
        }
        String[] items = v.split(",");
        return index < items.length ? parse(path, items[index].trim()) : absent;
    }

    private boolean flag(String path) {
        return "true".equals(values.get(path));
    }

    private static double parse(String path, String v) {
        try {
            double d = Double.parseDouble(v);
            if (Double.isFinite(d)) {
                return d;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new InputFormatException("setting " + path + " is not a number: " + v);
    }
}
