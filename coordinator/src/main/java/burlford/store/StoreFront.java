package burlford.store;

import burlford.clients.Exchange;
import burlford.clients.HttpConnection;
import burlford.core.Counters;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * The operators' door to the store, over HTTP: GET /store (who leads, which keys at which versions), GET
 * /store/KEY, and PUT /store/KEY?from=VERSION with the value as the body, which a member that does not lead
 * passes on to the one that does by a redirect. GET /counters prints the counters.
 */
public final class StoreFront implements HttpConnection.Front {

    /** Says why a value may not stand under a key, or null where it may. */
    public interface ValueValidator {
        String rejectionReason(String key, String value);
    }

    private static final String PREFIX = "/store/";
    private static final String JSON = "application/json";

    private final Store store;
    private final Map<String, InetSocketAddress> doors;
    private final Counters counters;
    private final ValueValidator check;
    private final ObjectMapper json = new ObjectMapper();

    /** doors: where each member listens to operators. */
    public StoreFront(Store store, Map<String, InetSocketAddress> doors, Counters counters, ValueValidator check) {
        this.store = store;
        this.doors = doors;
        this.counters = counters;
        this.check = check;
    }

    @Override
    public void serve(Exchange e) {
        QueryStringDecoder uri = new QueryStringDecoder(e.uri);
        String path;
        Map<String, List<String>> parameters;
        try {
            path = uri.path();
            parameters = uri.parameters();
        } catch (IllegalArgumentException x) {
            reject(e, HttpResponseStatus.BAD_REQUEST, "malformed URI: " + x.getMessage());
            return;
        }
        String key = path.startsWith(PREFIX) ? path.substring(PREFIX.length()) : "";
        if (e.method.equals(HttpMethod.PUT) && !key.isEmpty()) {
            put(e, key, parameters.getOrDefault("from", List.of()));
        } else if (!e.method.equals(HttpMethod.GET)) {
            reject(e, HttpResponseStatus.METHOD_NOT_ALLOWED, path + " does not take " + e.method);
        } else if (path.equals("/counters")) {
            e.reply(HttpResponseStatus.OK, "text/plain", counters.text(), Map.of());
        } else if (path.equals("/store")) {
            ObjectNode body = json.createObjectNode().put("member", store.member()).put("leader", store.leader());
            ObjectNode keys = body.putObject("versions");
            store.entries().forEach((k, v) -> keys.put(k, v.version()));
            e.reply(HttpResponseStatus.OK, JSON, body + "\n", Map.of());
        } else if (!key.isEmpty() && store.get(key) != null) {
            Store.Entry entry = store.get(key);
            e.reply(HttpResponseStatus.OK, "text/plain; charset=UTF-8", entry.value(),
                    Map.of("ETag", "\"" + entry.version() + "\""));
        } else {
            reject(e, HttpResponseStatus.NOT_FOUND, "no such path or key: " + path);
        }
    }

    private void put(Exchange e, String key, List<String> from) {
        if (from.size() != 1 || !from.get(0).matches("[0-9]{1,18}")) {
            reject(e, HttpResponseStatus.BAD_REQUEST, "from names no version; 0 is that of a key not there yet");
            return;
        }
        String value = new String(e.body, StandardCharsets.UTF_8);
        String fault = check.rejectionReason(key, value);
        if (fault != null) {
            reject(e, HttpResponseStatus.BAD_REQUEST, fault);
            return;
        }
        String leader = store.leader();
        if (leader != null && !leader.equals(store.member())) {
            String door = NetUtil.toSocketAddressString(doors.get(leader));
            e.reply(HttpResponseStatus.TEMPORARY_REDIRECT, "text/plain", leader + " leads, at " + door + "\n",
                    Map.of("Location", "http://" + door + e.uri));
            return;
        }
        counters.add("store.writes");
        store.put(key, Long.parseLong(from.get(0)), value, w -> {
            counters.add("store.writes." + w.outcome().name().toLowerCase());
            ObjectNode body = json.createObjectNode().put("key", key);
            switch (w.outcome()) {
                case STORED -> e.reply(HttpResponseStatus.OK, JSON, body.put("version", w.version()) + "\n", Map.of());
                case STALE -> e.reply(HttpResponseStatus.CONFLICT, JSON, body.put("version", w.version())
                        .put("error", w.detail()) + "\n", Map.of());
                case REFUSED -> e.reply(HttpResponseStatus.SERVICE_UNAVAILABLE, JSON, body.put("error", w.detail())
                        .put("leader", store.leader()) + "\n", Map.of());
            }
        });
    }

    @Override
    public void refuseOverloaded(Exchange e, String why) {
        reject(e, HttpResponseStatus.SERVICE_UNAVAILABLE, "too many connections");
    }

    @Override
    public void reject(Exchange e, HttpResponseStatus status, String fault) {
        counters.add("store.requests.bad");
        e.reply(status, "text/plain", fault + "\n", Map.of());
    }
}
