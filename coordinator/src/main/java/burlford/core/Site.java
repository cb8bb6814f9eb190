package burlford.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The settings that the coordinator itself needs; the decision module reads the others. Times are microseconds. The
 * settings are given as flat path=value pairs, of which unknown ones are ignored.
 */
public record Site(List<String> classes, List<String> tenants, List<String> zones, int shards, int cells, int reach,
        int multiplex, long connectTimeout, long connIdle, int maxOpen, List<String> reportColumns,
        long longestDeadline, long retryAfter, List<Boolean> repeatableClasses) {

    /** A setting is missing or invalid; the message names its key. */
    public static final class InvalidSettingException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public InvalidSettingException(String message) {
            super(message);
        }
    }

    /** Reads the settings from path=value pairs. */
    public static Site of(Map<String, String> settings) {
        for (String step : splitList(settings.getOrDefault("familyInfo.followUp", ""))) {
            if (parseNumber("familyInfo.followUp", step) > 0) {
                throw new InvalidSettingException(
                        "setting familyInfo.followUp: a second step is not served on sockets");
            }
        }
        return new Site(names(settings, "classes"), names(settings, "tenants"),
                splitList(settings.getOrDefault("zones", "")), positiveInt(settings, "familyInfo.slices"),
                positiveInt(settings, "familyInfo.sets"), positiveInt(settings, "familyInfo.reach"),
                positiveInt(settings, "allowed.multiplex"), positiveInt(settings, "allowed.connectTimeout"),
                positiveInt(settings, "allowed.connIdle"), positiveInt(settings, "allowed.maxOpen"),
                splitList(settings.getOrDefault("feedback.columns", "")), longestDeadline(settings),
                retryAfter(settings), repeatableClasses(settings));
    }

    /** Whether the readers of a cell hold a shard. */
    public boolean holds(int cell, int shard) {
        return Math.floorMod(cell - shard, cells) < reach;
    }

    /** Whether a part of a class may run twice without harm. */
    public boolean isRepeatable(int queryClass) {
        return repeatableClasses.get(queryClass);
    }

    private static List<Boolean> repeatableClasses(Map<String, String> settings) {
        List<Boolean> repeatable = new ArrayList<>();
        for (int i = 0; i < names(settings, "classes").size(); i++) {
            repeatable.add("retryable".equals(settings.get("classes." + i + ".effect")));
        }
        return List.copyOf(repeatable);
    }

    private static List<String> names(Map<String, String> settings, String key) {
        List<String> names = new ArrayList<>();
        int count = (int) parseNumber(key + ".count", settings.getOrDefault(key + ".count", "0"));
        for (int i = 0; i < count; i++) {
            String name = settings.get(key + "." + i + ".name");
            if (name == null) {
                throw new InvalidSettingException("setting " + key + "." + i + ".name is missing");
            }
            names.add(name);
        }
        return List.copyOf(names);
    }

    /** Retry-after advice to a client refused for want of capacity: the longest that may be given; 0: none may. */
    private static long retryAfter(Map<String, String> settings) {
        return "true".equals(settings.get("allowed.retryAfter"))
                ? (long) parseNumber("allowed.maxRetryAfter", settings.getOrDefault("allowed.maxRetryAfter", "0")) : 0;
    }

    private static long longestDeadline(Map<String, String> settings) {
        return settings.entrySet().stream().filter(e -> e.getKey().matches("classes\\.[0-9]+\\.deadline"))
                .mapToLong(e -> (long) parseNumber(e.getKey(), e.getValue())).max().orElse(0);
    }

    private static List<String> splitList(String value) {
        return value.isBlank() ? List.of() : List.of(value.split(","));
    }

    private static int positiveInt(Map<String, String> settings, String key) {
        String value = settings.get(key);
        if (value == null) {
            throw new InvalidSettingException("setting " + key + " is missing");
        }
        double number = parseNumber(key, value);
        if (number < 1 || number > Integer.MAX_VALUE || number != Math.rint(number)) {
            throw new InvalidSettingException("setting " + key + " is not a whole number above 0: " + value);
        }
        return (int) number;
    }

    private static double parseNumber(String key, String value) {
        try {
            return Double.parseDouble(value.trim());
        } catch (NumberFormatException e) {
            throw new InvalidSettingException("setting " + key + " is not a number: " + value);
        }
    }
}
