package burlford.clients;

import burlford.core.Client;
import burlford.core.Coordinator;
import burlford.core.Query;
import burlford.core.Utf8;
import burlford.policy.ClientPresence;
import burlford.policy.Dispatcher;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** The platform's protocol: a thin translation between HTTP and the coordinator. */
public final class PlatformFront implements HttpConnection.Front {

    private static final long LONGEST_WAIT_MS = 3_600_000;
    /** Weights are shares of the whole answer, rounded by the client. */
    private static final double ROUNDING = 0.01;
    private static final String ID = "[!-~]{1,128}";

    private final Coordinator coordinator;
    private final BooleanSupplier draining;
    private final Supplier<String> counters;
    private final ObjectMapper json = ClientJson.createMapper();

    /** counters: those of the process, a line each. */
    public PlatformFront(Coordinator coordinator, BooleanSupplier draining, Supplier<String> counters) {
        this.counters = counters;
        this.coordinator = coordinator;
        this.draining = draining;
    }

    /** The client's fault, as it is told. */
    private static final class InvalidRequestException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidRequestException(String message) {
            super(message);
        }
    }

    @Override
    public void serve(Exchange e) {
        coordinator.applyPendingUpdates(); // a query is read under the settings it is taken under
        String path = e.uri.contains("?") ? e.uri.substring(0, e.uri.indexOf('?')) : e.uri;
        if (path.equals("/healthz") || path.equals("/counters")) {
            if (!e.method.equals(HttpMethod.GET) && !e.method.equals(HttpMethod.HEAD)) {
                reject(e, HttpResponseStatus.METHOD_NOT_ALLOWED, path + " takes GET");
            } else if (path.equals("/counters")) {
                e.reply(HttpResponseStatus.OK, "text/plain", counters.get(), Map.of());
            } else if (draining.getAsBoolean() || !coordinator.canServe()) {
                reject(e, HttpResponseStatus.SERVICE_UNAVAILABLE, draining.getAsBoolean() ? "shutting down"
                        : "no reader is listed as ready");
            } else {
                e.reply(HttpResponseStatus.OK, "text/plain", "ok\n", Map.of());
            }
            return;
        }
        if (!path.equals("/api") && !path.startsWith("/api/")) {
            reject(e, HttpResponseStatus.NOT_FOUND, "no such path: " + path);
            return;
        }
        if (!e.method.equals(HttpMethod.POST)) {
            reject(e, HttpResponseStatus.METHOD_NOT_ALLOWED, "queries are sent by POST");
            return;
        }
        Query query;
        try {
            query = query(e, path);
        } catch (InvalidRequestException f) {
            reject(e, HttpResponseStatus.BAD_REQUEST, f.getMessage());
            return;
        }
        long number = coordinator.submit(query, new Reply(e));
        if (number == 0) {
            // Answers name their part by it: one client could get what was made for another.
            reject(e, HttpResponseStatus.CONFLICT, "header Req-Id names a query that is still open: " + query.id());
            return;
        }
        e.onClientDisconnect(() -> coordinator.clientLeft(number));
    }

    @Override
    public void reject(Exchange e, HttpResponseStatus status, String fault) {
        if (status.codeClass() == io.netty.handler.codec.http.HttpStatusClass.CLIENT_ERROR) {
            coordinator.counters().add("clients.requests.bad");
        }
        e.reply(status, "text/plain", fault + "\n", Map.of());
    }

    @Override
    public void refuseOverloaded(Exchange e, String why) {
        coordinator.counters().add("clients.requests.crowded");
        e.reply(HttpResponseStatus.SERVICE_UNAVAILABLE, "text/plain", "refused: " + why + "\n",
                comeBack(coordinator.site().retryAfter()));
    }

    private static Map<String, String> comeBack(long after) {
        return after <= 0 ? Map.of() : Map.of("Retry-After", String.format(Locale.ROOT, "%.3f", after / 1e6));
    }

    private final class Reply implements Client {
        private final Exchange exchange;

        Reply(Exchange exchange) {
            this.exchange = exchange;
        }

        @Override
        public void answered(boolean whole, Map<Integer, String> values) {
            ObjectNode body = json.createObjectNode();
            body.put("exact", whole);
            ArrayNode rows = body.putArray("rows");
            values.forEach((shard, value) -> rows.addObject().put("id", shard).put("data", value));
            String text = body.toString();
            if (text.getBytes(StandardCharsets.UTF_8).length > HttpConnection.MAX_BODY_BYTES) {
                failed("the answer is longer than " + HttpConnection.MAX_BODY_BYTES + " bytes");
                return;
            }
            exchange.reply(HttpResponseStatus.OK, "application/json", text, Map.of());
        }

        @Override
        public void refused(long retryAfter) {
            exchange.reply(HttpResponseStatus.SERVICE_UNAVAILABLE, "text/plain", "refused\n", comeBack(retryAfter));
        }

        @Override
        public ClientPresence presence() {
            return exchange.clientPresence();
        }

        @Override
        public void failed(String why) {
            exchange.reply(HttpResponseStatus.BAD_GATEWAY, "text/plain", why + "\n", Map.of());
        }
    }

    // ---- reading a query

    private Query query(Exchange e, String path) throws InvalidRequestException {
        String id = header(e, "Req-Id");
        if (!id.matches(ID)) {
            throw new InvalidRequestException("header Req-Id is not a plain word: " + id);
        }
        String kind = header(e, "Req-Kind");
        int queryClass = coordinator.site().classes().indexOf(kind);
        if (queryClass < 0) {
            throw new InvalidRequestException("header Req-Kind names an unknown class: " + kind);
        }
        int tenant = 0;
        if (!coordinator.site().tenants().isEmpty()) {
            String owner = header(e, "Req-Owner");
            tenant = coordinator.site().tenants().indexOf(owner);
            if (tenant < 0) {
                throw new InvalidRequestException("header Req-Owner names an unknown tenant: " + owner);
            }
        }
        long wait = wait(header(e, "Req-Deadline-Ms"));
        String name = path.length() > 5 ? path.substring(path.lastIndexOf('/') + 1) : "";
        long key = Query.key(name);
        JsonNode body = body(e.body);
        JsonNode text = body.get("expr");
        if (text == null || !text.isTextual()) {
            throw new InvalidRequestException("expr is not a string");
        }
        return new Query(id, queryClass, tenant, key, "1".equals(e.headers.get("Req-Retry")),
                Query.deadline(e.arrivedAt, wait), text.textValue().getBytes(StandardCharsets.UTF_8),
                parts(body.get("parts"), key));
    }

    private static String header(Exchange e, String name) throws InvalidRequestException {
        List<String> values;
        try {
            values = e.headerTexts(name);
        } catch (Utf8.MalformedTextException malformed) {
            throw new InvalidRequestException("header " + name + " is " + malformed.getMessage());
        }
        if (values.size() != 1 || values.get(0).isBlank()) {
            throw new InvalidRequestException("header " + name + (values.size() > 1 ? " is given more than once"
                    : " is missing"));
        }
        return values.get(0).trim();
    }

    private static long wait(String value) throws InvalidRequestException {
        try {
            long wait = Long.parseLong(value);
            if (wait > 0 && wait <= LONGEST_WAIT_MS) {
                return wait;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new InvalidRequestException("header Req-Deadline-Ms is not a whole number from 1 to " + LONGEST_WAIT_MS
                + ": " + value);
    }

    private JsonNode body(byte[] bytes) throws InvalidRequestException {
        try {
            return ClientJson.parseObject(json, bytes);
        } catch (InvalidJsonException e) {
            throw new InvalidRequestException(e.getMessage());
        }
    }

    private List<Dispatcher.Part> parts(JsonNode list, long key) throws InvalidRequestException {
        if (list == null || !list.isArray() || list.isEmpty() || list.size() > Dispatcher.MAX_PARTS) {
            throw new InvalidRequestException("parts is not a list of 1 to " + Dispatcher.MAX_PARTS);
        }
        List<Dispatcher.Part> parts = new ArrayList<>();
        Set<Integer> shards = new HashSet<>();
        double whole = 0;
        for (JsonNode p : list) {
            String at = "parts[" + parts.size() + "]";
            JsonNode id = p.get("id");
            if (id == null || !id.isIntegralNumber() || !id.canConvertToInt() || id.intValue() < 0
                    || id.intValue() >= coordinator.site().shards()) {
                throw new InvalidRequestException(at + ".id is not a shard from 0 to " + (coordinator.site().shards()
                        - 1));
            }
            if (!shards.add(id.intValue())) {
                throw new InvalidRequestException(at + ".id names shard " + id.intValue() + " again");
            }
            double weight = number(p, "w", at, 1.0 / list.size());
            if (weight <= 0 || weight > 1 + ROUNDING) {
                throw new InvalidRequestException(at + ".w is not a share above 0 and up to 1");
            }
            whole += weight;
            long hint = (long) number(p, "hint", at, 0);
            JsonNode tag = p.get("tag");
            long partKey = tag != null && tag.isTextual() ? Query.key(tag.textValue())
                    : Query.partKey(key, id.intValue());
            parts.add(new Dispatcher.Part(id.intValue(), weight, hint, partKey));
        }
        if (Math.abs(whole - 1) > ROUNDING) {
            throw new InvalidRequestException("the weights w of parts do not add up to 1");
        }
        return parts;
    }

    private static double number(JsonNode part, String name, String at, double absent) throws InvalidRequestException {
        JsonNode value = part.get(name);
        if (value == null) {
            return absent;
        }
        if (!value.isNumber() || !(value.doubleValue() >= 0) || Double.isInfinite(value.doubleValue())) {
            throw new InvalidRequestException(at + "." + name + " is not a number of at least 0");
        }
        return value.doubleValue();
    }
}
