package burlford.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * What the coordinator itself needs of the settings; the module reads the rest. The settings come flat, as
 * path=value; times are microseconds. Unknown settings are skipped.
 */
public record Site(List<String> classes, List<String> tenants, List<String> zones, int shards, int cells, int reach,
        int multiplex, long connectTimeout, long connIdle, int maxOpen, List<String> reportColumns,
        long longestDeadline, long retryAfter) {

    /** A setting is missing or makes no sense; the message names its key. */
    public static final class InvalidSettingException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public InvalidSettingException(String message) {
            super(message);
        }
    }

    public static Site of(Map<String, String> settings) {
        for (String step : list(settings.getOrDefault("familyInfo.followUp", ""))) {
            if (number("familyInfo.followUp", step) > 0) {
                throw new InvalidSettingException(
                        "setting familyInfo.followUp: a second step is not served on sockets");
            }
        }
        return new Site(names(settings, "classes"), names(settings, "tenants"),
                list(settings.getOrDefault("zones", "")), count(settings, "familyInfo.slices"),
                count(settings, "familyInfo.sets"), count(settings, "familyInfo.reach"),
                count(settings, "allowed.multiplex"), count(settings, "allowed.connectTimeout"),
                count(settings, "allowed.connIdle"), count(settings, "allowed.maxOpen"),
                list(settings.getOrDefault("feedback.columns", "")), longestDeadline(settings),
                retryAfter(settings));
    }

    public boolean holds(int cell, int shard) {
        return Math.floorMod(cell - shard, cells) < reach;
    }

    private static List<String> names(Map<String, String> settings, String key) {
        List<String> names = new ArrayList<>();
        int count = (int) number(key + ".count", settings.getOrDefault(key + ".count", "0"));
        for (int i = 0; i < count; i++) {
            String name = settings.get(key + "." + i + ".name");
            if (name == null) {
                throw new InvalidSettingException("setting " + key + "." + i + ".name is missing");
            }
            names.add(name);
        }
        return List.copyOf(names);
    }

    /** What a client turned away for want of room is told to wait: the most that may be told; 0 where nothing may. */
    private static long retryAfter(Map<String, String> settings) {
        return "true".equals(settings.get("allowed.retryAfter"))
                ? (long) number("allowed.maxRetryAfter", settings.getOrDefault("allowed.maxRetryAfter", "0")) : 0;
    }

    private static long longestDeadline(Map<String, String> settings) {
        return settings.entrySet().stream().filter(e -> e.getKey().matches("classes\\.[0-9]+\\.deadline"))
                .mapToLong(e -> (long) number(e.getKey(), e.getValue())).max().orElse(0);
    }

    private static List<String> list(String value) {
        return value.isBlank() ? List.of() : List.of(value.split(","));
    }

    private static int count(Map<String, String> settings, String key) {
        String value = settings.get(key);
        if (value == null) {
            throw new InvalidSettingException("setting " + key + " is missing");
        }
        double number = number(key, value);
        if (number < 1 || number > Integer.MAX_VALUE || number != Math.rint(number)) {
            throw new InvalidSettingException("setting " + key + " is not a whole number above 0: " + value);
        }
        return (int) number;
    }

    private static double number(String key, String value) {
        try {
            return Double.parseDouble(value.trim());
        } catch (NumberFormatException e) {
            throw new InvalidSettingException("setting " + key + " is not a number: " + value);
        }
    }
}
