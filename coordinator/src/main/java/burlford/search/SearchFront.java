package burlford.search;

import burlford.clients.ClientJson;
import burlford.clients.Exchange;
import burlford.clients.HttpConnection;
import burlford.core.Client;
import burlford.core.Coordinator;
import burlford.core.Query;
import burlford.core.ReaderEntry;
import burlford.policy.Aggregator.Status;
import burlford.policy.ClientPresence;
import burlford.policy.Dispatcher;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * The OpenSearch-style front: a search of one index becomes a query of the same coordinator, under the same
 * rules. An answer is whole or it is not given; what a request asks for beyond that is refused by name.
 */
public final class SearchFront implements HttpConnection.Front {

    private static final String DIALECT = "2.19.0";
    private static final String REJECTED = "rejected_execution_exception";
    private static final String JSON = "application/json; charset=UTF-8";

    private final Coordinator coordinator;
    private final String cluster;
    private final String name;
    private Map<String, Index> indices;
    private final BooleanSupplier draining;
    private final ObjectMapper json = ClientJson.createMapper();
    private final long idSalt;
    private long lastId;

    /** idSalt: tells the ids this coordinator gives to searches from those of its other lives. */
    public SearchFront(Coordinator coordinator, String cluster, String name, Map<String, Index> indices, long idSalt,
            BooleanSupplier draining) {
        this.coordinator = coordinator;
        this.cluster = cluster;
        this.name = name;
        this.indices = indices;
        this.idSalt = idSalt;
        this.draining = draining;
    }

    /** New settings: the indices as they stand under them. */
    public void reconfigure(Map<String, Index> to) {
        indices = to;
    }

    @Override
    public void serve(Exchange e) {
        coordinator.applyPendingUpdates(); // a search is read under the settings it is taken under
        SearchRequest request;
        try {
            request = SearchRequest.read(e, indices, coordinator.site(), json);
        } catch (SearchRequestException f) {
            coordinator.counters().add("search.requests.bad");
            reply(e, f.status, f.type == null ? plain(f) : error(f.status, f.type, f.getMessage(), f.details), f.pretty,
                    f.headers);
            return;
        }
        switch (request.kind()) {
            case ROOT -> reply(e, HttpResponseStatus.OK, root(), request.pretty(), Map.of());
            case HEALTH -> reply(e, HttpResponseStatus.OK, health(), request.pretty(), Map.of());
            case SEARCH -> search(e, request);
        }
    }

    private void search(Exchange e, SearchRequest r) {
        Index index = r.index();
        long key = Query.key(r.routing());
        List<Dispatcher.Part> parts = index.shards().stream().map(s -> new Dispatcher.Part(s,
                1.0 / index.shards().size(), 0, Query.partKey(key, s))).toList();
        coordinator.counters().add("search.requests");
        long number = 0;
        while (number == 0) { // an id that is open is not given again
            String id = String.format(Locale.ROOT, "%016x", Dispatcher.hash(idSalt + "." + ++lastId));
            Query query = new Query(id, index.queryClass(), r.tenant(), key, false,
                    Query.deadline(e.arrivedAt, r.waitMs()), r.text().getBytes(StandardCharsets.UTF_8), parts);
            number = coordinator.submit(query, new Reply(e, r));
        }
        long taken = number;
        e.onClientDisconnect(() -> coordinator.clientLeft(taken));
    }

    @Override
    public void reject(Exchange e, HttpResponseStatus status, String fault) {
        coordinator.counters().add("search.requests.bad");
        reply(e, status, error(status, "illegal_argument_exception", fault, Map.of()), false, Map.of());
    }

    @Override
    public void refuseOverloaded(Exchange e, String why) {
        coordinator.counters().add("clients.requests.crowded");
        reply(e, HttpResponseStatus.TOO_MANY_REQUESTS, error(HttpResponseStatus.TOO_MANY_REQUESTS, REJECTED,
                why, Map.of()), false, Map.of());
    }

    private final class Reply implements Client {
        private final Exchange exchange;
        private final SearchRequest request;

        Reply(Exchange exchange, SearchRequest request) {
            this.exchange = exchange;
            this.request = request;
        }

        @Override
        public void answered(boolean whole, Map<Integer, String> values) {
            int shards = request.index().shards().size();
            if (!whole || values.size() < shards) {
                failed("not all shards have answered"); // a search is never answered in part
                return;
            }
            ObjectNode body = json.createObjectNode();
            body.put("took", Math.max(0, (coordinator.now() - exchange.arrivedAt) / 1000)).put("timed_out", false);
            shards(body, shards);
            ObjectNode hits = body.putObject("hits");
            hits.putObject("total").put("value", values.size()).put("relation", "eq");
            hits.putNull("max_score");
            ArrayNode list = hits.putArray("hits");
            values.forEach((shard, value) -> {
                ObjectNode hit = list.addObject().put("_index", request.index().name())
                        .put("_id", String.valueOf(shard)).putNull("_score");
                hit.putObject("_source").put("id", shard).put("data", value);
            });
            reply(exchange, HttpResponseStatus.OK, body, request.pretty(), Map.of());
        }

        @Override
        public void refused(long retryAfter) {
            reply(exchange, HttpResponseStatus.TOO_MANY_REQUESTS, error(HttpResponseStatus.TOO_MANY_REQUESTS, REJECTED,
                    "the search was refused; trying again is harmless", Map.of()), request.pretty(), retryAfter <= 0
                    ? Map.of() : Map.of("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfter / 1e6)));
        }

        @Override
        public ClientPresence presence() {
            return exchange.clientPresence();
        }

        @Override
        public void failed(String why) {
            ObjectNode body = error(HttpResponseStatus.GATEWAY_TIMEOUT, "search_phase_execution_exception", why,
                    Map.of());
            ((ObjectNode) body.get("error")).put("phase", "query").put("grouped", true).putArray("failed_shards");
            reply(exchange, HttpResponseStatus.GATEWAY_TIMEOUT, body, request.pretty(), Map.of());
        }
    }

    private static void shards(ObjectNode body, int total) {
        body.putObject("_shards").put("total", total).put("successful", total).put("skipped", 0).put("failed", 0);
    }

    private ObjectNode root() {
        ObjectNode body = json.createObjectNode();
        body.put("name", name).put("cluster_name", cluster).put("cluster_uuid", "_na_");
        body.putObject("version").put("distribution", "opensearch").put("number", DIALECT)
                .put("build_type", "jar").put("build_snapshot", false)
                .put("minimum_wire_compatibility_version", DIALECT)
                .put("minimum_index_compatibility_version", DIALECT);
        body.put("tagline", "burlford: an OpenSearch-style front of a sharded query service");
        return body;
    }

    /** red: some shard has no ready reader, or we are going; yellow: some has only one; else green. */
    private ObjectNode health() {
        List<ReaderEntry> ready = coordinator.readers().stream().filter(r -> r.status() == Status.READY).toList();
        int all = coordinator.site().shards();
        int active = 0;
        int primaries = 0;
        boolean thin = false;
        for (int shard = 0; shard < all; shard++) {
            int s = shard;
            int holders = (int) ready.stream().filter(r -> coordinator.site().holds(r.cell(), s)).count();
            active += holders;
            primaries += holders > 0 ? 1 : 0;
            thin |= holders < 2;
        }
        ObjectNode body = json.createObjectNode();
        body.put("cluster_name", cluster)
                .put("status", primaries < all || draining.getAsBoolean() ? "red" : thin ? "yellow" : "green")
                .put("timed_out", false).put("number_of_nodes", 1 + ready.size())
                .put("number_of_data_nodes", ready.size()).put("discovered_master", true)
                .put("discovered_cluster_manager", true).put("active_primary_shards", primaries)
                .put("active_shards", active).put("relocating_shards", 0).put("initializing_shards", 0)
                .put("unassigned_shards", all - primaries).put("delayed_unassigned_shards", 0)
                .put("number_of_pending_tasks", 0).put("number_of_in_flight_fetch", 0)
                .put("task_max_waiting_in_queue_millis", 0)
                .put("active_shards_percent_as_number", 100.0 * primaries / all);
        return body;
    }

    private ObjectNode error(HttpResponseStatus status, String type, String reason, Map<String, String> details) {
        ObjectNode body = json.createObjectNode();
        ObjectNode error = body.putObject("error");
        ObjectNode cause = error.putArray("root_cause").addObject();
        for (ObjectNode at : List.of(cause, error)) {
            at.put("type", type).put("reason", reason);
            details.forEach(at::put);
        }
        return body.put("status", status.code());
    }

    private ObjectNode plain(SearchRequestException f) {
        return json.createObjectNode().put("error", f.getMessage()).put("status", f.status.code());
    }

    private static void reply(Exchange e, HttpResponseStatus status, JsonNode body, boolean pretty,
            Map<String, String> headers) {
        e.reply(status, JSON, pretty ? body.toPrettyString() + "\n" : body.toString(), headers);
    }
}
