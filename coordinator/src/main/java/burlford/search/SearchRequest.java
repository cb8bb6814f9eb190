package burlford.search;

import burlford.clients.ClientJson;
import burlford.clients.Exchange;
import burlford.clients.InvalidJsonException;
import burlford.clients.RequestTarget;
import burlford.core.Site;
import burlford.core.Utf8;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A request of the OpenSearch-style front, read and checked. Only what can be honoured to the letter is taken:
 * any other parameter, body field or value is a fault that names it.
 */
record SearchRequest(Kind kind, Index index, int tenant, String routing, String text, long waitMs, boolean pretty) {

    enum Kind { ROOT, HEALTH, SEARCH }

    private static final Set<String> SEARCH_PARAMETERS = Set.of("q", "routing", "timeout", "size", "from",
            "allow_partial_search_results", "track_total_hits", "search_type", "pretty");
    private static final Set<String> BODY_FIELDS = Set.of("query", "timeout", "size", "from", "track_total_hits",
            "allow_partial_search_results");

    static SearchRequest read(Exchange e, Map<String, Index> indices, Site site, ObjectMapper json)
            throws SearchRequestException {
        Map<String, String> parameters = new LinkedHashMap<>();
        boolean pretty = false;
        try {
            RequestTarget target = target(e);
            for (Map.Entry<String, List<String>> p : target.parameters().entrySet()) {
                if (p.getValue().size() > 1) {
                    throw SearchRequestException.illegalArgument("parameter [" + p.getKey()
                            + "] is given more than once");
                }
                parameters.put(p.getKey(), p.getValue().get(0));
            }
            pretty = flag("pretty", parameters.get("pretty"), false);
            return route(e, target.path(), parameters, indices, site, json, pretty);
        } catch (SearchRequestException f) {
            f.pretty = pretty;
            throw f;
        }
    }

    private static RequestTarget target(Exchange e) throws SearchRequestException {
        try {
            return RequestTarget.parse(e.uri);
        } catch (RequestTarget.MalformedTargetException x) {
            throw SearchRequestException.illegalArgument(x.getMessage());
        }
    }

    private static SearchRequest route(Exchange e, String path, Map<String, String> parameters,
            Map<String, Index> indices, Site site, ObjectMapper json, boolean pretty) throws SearchRequestException {
        if (path.equals("/") || path.equals("/_cluster/health")) {
            if (!e.method.equals(HttpMethod.GET) && !e.method.equals(HttpMethod.HEAD)) {
                throw SearchRequestException.methodNotAllowed(path, e.method, "GET, HEAD");
            }
            only(parameters, Set.of("pretty"), path);
            return new SearchRequest(path.equals("/") ? Kind.ROOT : Kind.HEALTH, null, 0, "", "", 0, pretty);
        }
        String[] steps = path.split("/", -1);
        if (steps.length != 3 || !steps[2].equals("_search") || steps[1].startsWith("_")) {
            throw SearchRequestException.pathNotFound(path, e.method);
        }
        if (!e.method.equals(HttpMethod.GET) && !e.method.equals(HttpMethod.POST)) {
            throw SearchRequestException.methodNotAllowed(path, e.method, "GET, POST");
        }
        Index index = indices.get(steps[1]);
        if (index == null) {
            throw SearchRequestException.indexNotFound(steps[1]);
        }
        only(parameters, SEARCH_PARAMETERS, path);
        return search(e, index, parameters, body(e, json), site, pretty);
    }

    private static SearchRequest search(Exchange e, Index index, Map<String, String> parameters, JsonNode body,
            Site site, boolean pretty) throws SearchRequestException {
        for (Map.Entry<String, JsonNode> field : body.properties()) {
            if (!BODY_FIELDS.contains(field.getKey())) {
                throw SearchRequestException.parsingError("body field [" + field.getKey() + "] is not supported here");
            }
        }
        whole("allow_partial_search_results", given("allow_partial_search_results", parameters, body), false);
        whole("track_total_hits", given("track_total_hits", parameters, body), true);
        if (!parameters.getOrDefault("search_type", "query_then_fetch").equals("query_then_fetch")) {
            throw SearchRequestException.illegalArgument("search_type [" + parameters.get("search_type")
                    + "] is not supported here");
        }
        if (count("from", given("from", parameters, body), 0) != 0) {
            throw SearchRequestException.illegalArgument(
                    "[from] is not supported here: an answer is whole, and starts at 0");
        }
        if (count("size", given("size", parameters, body), index.shards().size()) < index.shards().size()) {
            throw SearchRequestException.illegalArgument("[size] below " + index.shards().size()
                    + ", the hits of a whole answer of index [" + index.name() + "], is not supported here");
        }
        String routing = parameters.getOrDefault("routing", "");
        if (!routing.isEmpty() && !index.keyFromRouting()) {
            throw SearchRequestException.illegalArgument("index [" + index.name() + "] takes no [routing]");
        }
        return new SearchRequest(Kind.SEARCH, index, tenant(e, index, site), routing, text(parameters, body),
                waitMs(e, index, given("timeout", parameters, body)), pretty);
    }

    private static void only(Map<String, String> parameters, Set<String> known, String path)
            throws SearchRequestException {
        for (String name : parameters.keySet()) {
            if (!known.contains(name)) {
                throw SearchRequestException.illegalArgument("request [" + path + "] contains unsupported parameter: ["
                        + name + "]");
            }
        }
    }

    private static JsonNode body(Exchange e, ObjectMapper json) throws SearchRequestException {
        if (e.body.length == 0) {
            return json.createObjectNode();
        }
        String type = e.headers.get(HttpHeaderNames.CONTENT_TYPE, "application/json");
        if (!type.split(";")[0].trim().equalsIgnoreCase("application/json")) {
            throw new SearchRequestException(HttpResponseStatus.NOT_ACCEPTABLE, "illegal_argument_exception",
                    "Content-Type header [" + type + "] is not supported");
        }
        try {
            return ClientJson.parseObject(json, e.body);
        } catch (InvalidJsonException x) {
            throw SearchRequestException.parsingError(x.getMessage());
        }
    }

    /** From the URL or else the body; both at once must agree. */
    private static String given(String name, Map<String, String> parameters, JsonNode body)
            throws SearchRequestException {
        JsonNode field = body.get(name);
        if (field != null && !field.isValueNode()) {
            throw SearchRequestException.parsingError("[" + name + "] is not a plain value");
        }
        String fromBody = field == null || field.isNull() ? null : field.asText();
        String fromUrl = parameters.get(name);
        if (fromBody != null && fromUrl != null && !fromBody.equals(fromUrl)) {
            throw SearchRequestException.illegalArgument("[" + name + "] differs between the URL and the body");
        }
        return fromUrl != null ? fromUrl : fromBody;
    }

    /** Answers are whole and counted in full: the one value that agrees with that is taken. */
    private static void whole(String name, String value, boolean only) throws SearchRequestException {
        if (flag(name, value, only) != only) {
            throw SearchRequestException.illegalArgument("[" + name + "=" + !only
                    + "] is not supported here: an answer is whole or refused");
        }
    }

    private static boolean flag(String name, String value, boolean absent) throws SearchRequestException {
        if (value == null) {
            return absent;
        }
        return switch (value) {
            case "true", "" -> true;
            case "false" -> false;
            default -> throw SearchRequestException.illegalArgument("Failed to parse value [" + value + "] of [" + name
                    + "] as only [true] or [false] are allowed.");
        };
    }

    private static int count(String name, String value, int absent) throws SearchRequestException {
        try {
            int count = value == null ? absent : Integer.parseInt(value);
            if (count >= 0) {
                return count;
            }
        } catch (NumberFormatException x) {
            // told below
        }
        throw SearchRequestException.illegalArgument("[" + name + "] is not a whole number of at least 0: [" + value
                + "]");
    }

    private static int tenant(Exchange e, Index index, Site site) throws SearchRequestException {
        if (index.tenantHeader() == null) {
            return index.tenant();
        }
        String name = header(e, index.tenantHeader(), "");
        int tenant = site.tenants().indexOf(name);
        if (tenant < 0) {
            throw SearchRequestException.illegalArgument("header [" + index.tenantHeader()
                    + "] names an unknown tenant: [" + name + "]");
        }
        return tenant;
    }

    private static String header(Exchange e, String name, String absent) throws SearchRequestException {
        try {
            List<String> values = e.headerTexts(name);
            return values.isEmpty() ? absent : values.get(0);
        } catch (Utf8.MalformedTextException x) {
            throw SearchRequestException.illegalArgument("header [" + name + "] is " + x.getMessage());
        }
    }

    /** The query's text: q, or a query_string query. Readers get it unchanged. */
    private static String text(Map<String, String> parameters, JsonNode body) throws SearchRequestException {
        JsonNode query = body.get("query");
        if (parameters.containsKey("q") == (query != null)) {
            throw SearchRequestException.illegalArgument(query == null ? "a search needs [q] or a [query]"
                    : "[q] and [query] are both given");
        }
        if (query == null) {
            return parameters.get("q");
        }
        JsonNode string = query.path("query_string");
        if (query.size() != 1 || string.size() != 1 || !string.path("query").isTextual()) {
            throw SearchRequestException.parsingError("[query] takes only {\"query_string\":{\"query\":\"...\"}} here");
        }
        return string.get("query").textValue();
    }

    private static long waitMs(Exchange e, Index index, String timeout) throws SearchRequestException {
        long wait = index.deadlineMs();
        String header = index.deadlineHeader() == null ? null : header(e, index.deadlineHeader(), null);
        if (header != null) {
            wait = Math.min(wait, count(index.deadlineHeader(), header, 0));
        }
        if (timeout != null) {
            wait = Math.min(wait, millis(timeout));
        }
        if (wait < 1) {
            throw SearchRequestException.illegalArgument("a search needs a time of at least 1ms");
        }
        return wait;
    }

    private static long millis(String time) throws SearchRequestException {
        String unit = time.replaceFirst("^[0-9]+", "");
        try {
            long number = Long.parseLong(time.substring(0, time.length() - unit.length()));
            long factor = switch (unit) {
                case "ms" -> 1;
                case "s" -> 1000;
                case "m" -> 60_000;
                default -> -1;
            };
            if (factor > 0) {
                return Math.multiplyExact(number, factor);
            }
        } catch (ArithmeticException | NumberFormatException x) {
            // told below
        }
        throw SearchRequestException.illegalArgument("failed to parse [timeout] with value [" + time
                + "]: a whole number of ms, s or m");
    }
}
