package burlford.store;

import burlford.clients.Exchange;
import burlford.clients.HttpConnection;
import burlford.clients.RequestTarget;
import burlford.core.Counters;
import burlford.core.Utf8;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * The operators' HTTP front of the store. GET /store returns the leader and the version of each key, GET /store/KEY a
 * value. PUT /store/KEY?from=VERSION writes the body as the value; a follower redirects it to the leader. GET
 * /counters prints the counters.
 */
public final class StoreFront implements HttpConnection.Front {

    /** Returns why a value is not valid for a key, or null if it is valid. */
    public interface ValueValidator {
        String rejectionReason(String key, String value);
    }

    private static final String PREFIX = "/store/";
    private static final String JSON = "application/json";

    private final Store store;
    private final Map<String, InetSocketAddress> operatorAddresses;
    private final Counters counters;
    private final ValueValidator validator;
    private final ObjectMapper json = new ObjectMapper();

    /** operatorAddresses: the address of each member's operator front, by member name. */
    public StoreFront(Store store, Map<String, InetSocketAddress> operatorAddresses, Counters counters,
            ValueValidator validator) {
        this.store = store;
        this.operatorAddresses = operatorAddresses;
        this.counters = counters;
        this.validator = validator;
    }

    @Override
    public void serve(Exchange exchange) {
        RequestTarget target;
        try {
            target = RequestTarget.parse(exchange.uri);
        } catch (RequestTarget.MalformedTargetException malformed) {
            reject(exchange, HttpResponseStatus.BAD_REQUEST, malformed.getMessage());
            return;
        }
        String path = target.path();
        String key = path.startsWith(PREFIX) ? path.substring(PREFIX.length()) : "";
        if (exchange.method.equals(HttpMethod.PUT) && !key.isEmpty()) {
            put(exchange, key, target.parameters().getOrDefault("from", List.of()));
        } else if (!exchange.method.equals(HttpMethod.GET)) {
            reject(exchange, HttpResponseStatus.METHOD_NOT_ALLOWED, path + " does not take " + exchange.method);
        } else if (path.equals("/counters")) {
            exchange.reply(HttpResponseStatus.OK, "text/plain", counters.text(), Map.of());
        } else if (path.equals("/store")) {
            ObjectNode body = json.createObjectNode().put("member", store.member()).put("leader", store.leader());
            ObjectNode keys = body.putObject("versions");
            store.entries().forEach((k, v) -> keys.put(k, v.version()));
            exchange.reply(HttpResponseStatus.OK, JSON, body + "\n", Map.of());
        } else if (!key.isEmpty() && !store.isCurrent()) {
            rejectUntilCurrent(exchange);
        } else if (!key.isEmpty() && store.get(key) != null) {
            Store.Entry entry = store.get(key);
            exchange.reply(HttpResponseStatus.OK, "text/plain; charset=UTF-8", entry.value(),
                    Map.of("ETag", "\"" + entry.version() + "\""));
        } else {
            reject(exchange, HttpResponseStatus.NOT_FOUND, "no such path or key: " + path);
        }
    }

    private void put(Exchange exchange, String key, List<String> expectedVersions) {
        if (expectedVersions.size() != 1 || !expectedVersions.get(0).matches("[0-9]{1,18}")) {
            reject(exchange, HttpResponseStatus.BAD_REQUEST, "from names no version; 0 is that of a key not there yet");
            return;
        }
        if (!store.isCurrent()) {
            // It would be checked by settings that may have been replaced.
            rejectUntilCurrent(exchange);
            return;
        }
        String value;
        try {
            value = Utf8.decode(exchange.body);
        } catch (Utf8.MalformedTextException malformed) {
            reject(exchange, HttpResponseStatus.BAD_REQUEST, "the value is " + malformed.getMessage());
            return;
        }
        String rejection = validator.rejectionReason(key, value);
        if (rejection != null) {
            reject(exchange, HttpResponseStatus.BAD_REQUEST, rejection);
            return;
        }
        String leader = store.leader();
        if (leader != null && !leader.equals(store.member())) {
            String leaderAddress = NetUtil.toSocketAddressString(operatorAddresses.get(leader));
            exchange.reply(HttpResponseStatus.TEMPORARY_REDIRECT, "text/plain",
                    leader + " leads, at " + leaderAddress + "\n",
                    Map.of("Location", "http://" + leaderAddress + exchange.uri));
            return;
        }
        counters.add("store.writes");
        store.put(key, Long.parseLong(expectedVersions.get(0)), value, result -> {
            counters.add("store.writes." + result.outcome().name().toLowerCase());
            ObjectNode body = json.createObjectNode().put("key", key);
            switch (result.outcome()) {
                case STORED -> exchange.reply(HttpResponseStatus.OK, JSON,
                        body.put("version", result.version()) + "\n", Map.of());
                case STALE -> exchange.reply(HttpResponseStatus.CONFLICT, JSON, body.put("version", result.version())
                        .put("error", result.detail()) + "\n", Map.of());
                case REFUSED -> exchange.reply(HttpResponseStatus.SERVICE_UNAVAILABLE, JSON, body
                        .put("error", result.detail())
                        .put("leader", store.leader()) + "\n", Map.of());
            }
        });
    }

    private void rejectUntilCurrent(Exchange exchange) {
        reject(exchange, HttpResponseStatus.SERVICE_UNAVAILABLE,
                "no majority has answered since this member started; what it has may be old");
    }

    @Override
    public void refuseOverloaded(Exchange exchange, String reason) {
        reject(exchange, HttpResponseStatus.SERVICE_UNAVAILABLE, "too many connections");
    }

    @Override
    public void reject(Exchange exchange, HttpResponseStatus status, String reason) {
        counters.add("store.requests.bad");
        exchange.reply(status, "text/plain", reason + "\n", Map.of());
    }
}
