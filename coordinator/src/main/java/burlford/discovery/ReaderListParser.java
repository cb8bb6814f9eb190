package burlford.discovery;

import burlford.core.ReaderEntry;
import burlford.core.Utf8;
import burlford.policy.Aggregator.Status;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.util.NetUtil;
import java.util.ArrayList;
import java.util.List;

/** Parses discovery's JSON form of the reader list. Unknown fields are ignored. */
public final class ReaderListParser {

    /** A reader list that cannot be used; the message says why. */
    public static final class MalformedListException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedListException(String message) {
            super(message);
        }
    }

    /** A reader list (complete) or changes of the list, at a revision of discovery's. */
    public record ReaderList(long revision, boolean complete, List<ReaderEntry> entries) { }

    private ReaderListParser() { }

    /** Parses a reader list. cells: number of cells in the settings. */
    public static ReaderList parse(JsonNode list, int cells) throws MalformedListException {
        if (list == null || !list.isObject() || !list.path("revision").isIntegralNumber()
                || !list.path("complete").isBoolean() || !list.path("members").isArray()) {
            throw new MalformedListException("a list needs revision, complete and members");
        }
        List<ReaderEntry> entries = new ArrayList<>();
        for (JsonNode member : list.get("members")) {
            entries.add(parseMember(member, cells));
        }
        return new ReaderList(list.get("revision").longValue(), list.get("complete").booleanValue(), entries);
    }

    private static ReaderEntry parseMember(JsonNode member, int cells) throws MalformedListException {
        String id = member.path("id").asText("");
        String zone = member.path("locality").asText("");
        if (!Utf8.isWellFormed(id) || !Utf8.isWellFormed(zone)) {
            throw new MalformedListException("a member's text has half of a surrogate pair: " + member);
        }
        String address = member.path("host_port").asText("");
        Status status = switch (member.path("phase").asText("")) {
            case "Ready" -> Status.READY;
            case "Terminating" -> Status.DRAINING;
            case "Gone" -> Status.GONE;
            default -> throw new MalformedListException("member " + id + " has the unknown phase "
                    + member.path("phase"));
        };
        int colon = address.lastIndexOf(':');
        int port = 0;
        try {
            port = Integer.parseInt(address.substring(colon + 1));
        } catch (NumberFormatException e) {
            // reported below, as port 0
        }
        String host = address.substring(0, Math.max(0, colon));
        // Connecting to a host name would need a look-up of the name, which would block the event loop.
        boolean reachable = port > 0 && port < 65536
                && (NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host));
        if (id.isEmpty() || status != Status.GONE && (!reachable || !member.path("cell").isIntegralNumber())) {
            throw new MalformedListException("a member lacks its id, a numeric host_port or its cell: " + member);
        }
        // Taken modulo the number of cells, such a cell would stand for another, whose shards the reader does not hold.
        if (status != Status.GONE && (member.path("cell").asLong() < 0 || member.path("cell").asLong() >= cells)) {
            throw new MalformedListException("member " + id + " has cell " + member.path("cell") + " of " + cells);
        }
        return new ReaderEntry(id, reachable ? host : "", port, zone,
                member.path("cell").asInt(), status, member.path("size").asDouble(1),
                member.path("up_since_ms").asLong(0) * 1000);
    }
}
