package burlford.discovery;

import burlford.core.ReaderEntry;
import burlford.policy.Aggregator.Status;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.util.NetUtil;
import java.util.ArrayList;
import java.util.List;

/** Discovery's JSON form of the list. Fields it does not know are skipped. */
public final class ReaderListParser {

    /** A list that cannot be used; the message says why. */
    public static final class MalformedListException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedListException(String message) {
            super(message);
        }
    }

    public record ReaderList(long revision, boolean complete, List<ReaderEntry> entries) { }

    private ReaderListParser() { }

    /** cells: how many the settings have. */
    public static ReaderList parse(JsonNode list, int cells) throws MalformedListException {
        if (list == null || !list.isObject() || !list.path("revision").isIntegralNumber()
                || !list.path("complete").isBoolean() || !list.path("members").isArray()) {
            throw new MalformedListException("a list needs revision, complete and members");
        }
        List<ReaderEntry> entries = new ArrayList<>();
        for (JsonNode m : list.get("members")) {
            entries.add(entry(m, cells));
        }
        return new ReaderList(list.get("revision").longValue(), list.get("complete").booleanValue(), entries);
    }

    private static ReaderEntry entry(JsonNode m, int cells) throws MalformedListException {
        String id = m.path("id").asText("");
        String address = m.path("host_port").asText("");
        Status status = switch (m.path("phase").asText("")) {
            case "Ready" -> Status.READY;
            case "Terminating" -> Status.DRAINING;
            case "Gone" -> Status.GONE;
            default -> throw new MalformedListException("member " + id + " has the unknown phase " + m.path("phase"));
        };
        int colon = address.lastIndexOf(':');
        int port = 0;
        try {
            port = Integer.parseInt(address.substring(colon + 1));
        } catch (NumberFormatException e) {
            // told below
        }
        String host = address.substring(0, Math.max(0, colon));
        // A name would be looked up when it is connected to, and the event loop would wait for that.
        boolean reachable = port > 0 && port < 65536
                && (NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host));
        if (id.isEmpty() || status != Status.GONE && (!reachable || !m.path("cell").isIntegralNumber())) {
            throw new MalformedListException("a member lacks its id, a numeric host_port or its cell: " + m);
        }
        // Counted round, such a cell would stand for another, whose shards the reader does not hold.
        if (status != Status.GONE && (m.path("cell").asLong() < 0 || m.path("cell").asLong() >= cells)) {
            throw new MalformedListException("member " + id + " has cell " + m.path("cell") + " of " + cells);
        }
        return new ReaderEntry(id, reachable ? host : "", port, m.path("locality").asText(""),
                m.path("cell").asInt(), status, m.path("size").asDouble(1), m.path("up_since_ms").asLong(0) * 1000);
    }
}
