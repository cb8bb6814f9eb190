import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A car-lookup as a client sends it, with a fresh Req-Id, and what a right answer to it holds. */
final class Query {

    private static final Pattern ROW = Pattern.compile("\\{\"id\":([0-9]+),\"data\":\"([^\"]*)\"\\}");

    final String id;
    final String text;
    final List<Integer> shards;
    private final String tenant;
    private final long key;
    private final int deadlineMs;

    Query(Random random, int deadlineMs) {
        id = String.format(Locale.ROOT, "%016x", random.nextLong());
        text = String.format(Locale.ROOT, "%08x", random.nextInt());
        tenant = Settings.TENANTS[random.nextInt(Settings.TENANTS.length)];
        key = random.nextLong();
        this.deadlineMs = deadlineMs;
        List<Integer> all = new ArrayList<>();
        for (int s = 0; s < Settings.SHARDS; s++) {
            all.add(s);
        }
        Collections.shuffle(all, random);
        shards = List.copyOf(all.subList(0, 3 + random.nextInt(3)));
    }

    byte[] bytes() {
        StringBuilder parts = new StringBuilder();
        for (int s : shards) {
            parts.append(parts.length() == 0 ? "" : ",").append(String.format(Locale.ROOT, "{\"id\":%d,\"w\":%.6f}", s,
                    1.0 / shards.size()));
        }
        String body = "{\"parts\":[" + parts + "],\"expr\":\"" + text + "\"}";
        return String.format(Locale.ROOT, "POST /api/%016x HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\n"
                + "Req-Kind: car-lookup\r\nReq-Owner: %s\r\nReq-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", key, id,
                tenant, deadlineMs, body.length(), body).getBytes(StandardCharsets.UTF_8);
    }

    /** What is wrong with the body of a 200; null: nothing. */
    String faultOf(String body) {
        Map<Integer, String> expected = new TreeMap<>();
        shards.forEach(s -> expected.put(s, Reader.value(id + "." + s, text)));
        Map<Integer, String> given = new TreeMap<>();
        Matcher row = ROW.matcher(body);
        while (row.find()) {
            given.put(Integer.valueOf(row.group(1)), row.group(2));
        }
        return given.equals(expected) ? null : "got " + given + ", the readers made " + expected;
    }
}
