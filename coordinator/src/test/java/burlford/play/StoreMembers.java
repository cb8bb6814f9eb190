package burlford.play;

import burlford.FreePorts;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Programs that are the members of one store, each with a folder of its own. */
final class StoreMembers implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int POLL_MS = 50;

    private final HttpClient client = HttpClient.newBuilder().followRedirects(HttpClient.Redirect.NORMAL).build();
    private final Path directory;
    private final Map<String, String> environment;
    private final String operator;
    private final StringBuilder addresses = new StringBuilder();
    private final Map<String, Integer> operatorPorts = new LinkedHashMap<>();
    private final Map<String, CoordinatorProcess> running = new LinkedHashMap<>();

    /** environment: of each program, beside its configuration. */
    StoreMembers(Path directory, Map<String, String> environment, List<String> names) throws IOException {
        this(directory, environment, names, "");
    }

    /** operator: further lines of the operator's file. */
    StoreMembers(Path directory, Map<String, String> environment, List<String> names, String operator)
            throws IOException {
        this.operator = operator;
        this.directory = directory;
        this.environment = environment;
        for (String name : names) {
            List<Integer> ports = FreePorts.take(2);
            operatorPorts.put(name, ports.get(1));
            addresses.append(addresses.isEmpty() ? "" : ", ").append(name + ": {peers: '127.0.0.1:" + ports.get(0)
                    + "', admin: '127.0.0.1:" + ports.get(1) + "'}");
        }
        for (String name : names) {
            start(name);
        }
    }

    void start(String name) throws IOException {
        ObjectNode configuration;
        try (InputStream in = getClass().getResourceAsStream("/configuration.json")) {
            configuration = (ObjectNode) JSON.readTree(in);
        }
        configuration.put("name", name).remove("discovery");
        running.put(name, CoordinatorProcess.serve(configuration, operator + "store: {directory: '"
                + Files.createDirectories(directory.resolve(name)) + "', members: {" + addresses + "}}\n",
                environment));
    }

    /** Ends a member at once. */
    void kill(String name) throws InterruptedException {
        CoordinatorProcess killed = running.remove(name);
        killed.close();
        killed.awaitExit();
    }

    Map<String, CoordinatorProcess> running() {
        return running;
    }

    /** A member that runs and is not this one. */
    String otherThan(String name) {
        return running.keySet().stream().filter(n -> !n.equals(name)).findFirst().orElseThrow();
    }

    long logBytes(String name) throws IOException {
        return Files.size(directory.resolve(name).resolve(name + ".log"));
    }

    /** Who leads, once all that run agree on one that is not the one that was. */
    String awaitLeader(String was) throws IOException, InterruptedException {
        for (CoordinatorProcess p : running.values()) {
            p.port("store");
        }
        long until = System.nanoTime() + 3 * CoordinatorProcess.TIMEOUT_MS * 1_000_000;
        while (System.nanoTime() < until) {
            List<String> named = new ArrayList<>();
            for (String name : running.keySet()) {
                named.add(JSON.readTree(get(name, "/store").body()).path("leader").asText(""));
            }
            if (named.stream().distinct().count() == 1 && running.containsKey(named.get(0))
                    && !named.get(0).equals(was)) {
                return named.get(0);
            }
            Thread.sleep(POLL_MS);
        }
        throw new AssertionError("no leader");
    }

    /** Waits until a member has this value under a key. */
    void awaitValue(String name, String key, String value) throws IOException, InterruptedException {
        running.get(name).port("store");
        long until = System.nanoTime() + 3 * CoordinatorProcess.TIMEOUT_MS * 1_000_000;
        while (!get(name, "/store/" + key).body().equals(value)) {
            if (System.nanoTime() > until) {
                throw new AssertionError(name + " does not have the value:\n" + running.get(name).log());
            }
            Thread.sleep(POLL_MS);
        }
    }

    HttpResponse<String> get(String name, String path) throws IOException, InterruptedException {
        return send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + operatorPorts.get(name) + path)).build());
    }

    /** A new leader refuses writes until its term has begun for a majority: those are tried again. */
    HttpResponse<String> put(String name, String key, long from, String value) throws IOException,
            InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + operatorPorts.get(name)
                + "/store/" + key + "?from=" + from)).PUT(BodyPublishers.ofString(value)).build();
        long until = System.nanoTime() + CoordinatorProcess.TIMEOUT_MS * 1_000_000;
        HttpResponse<String> answer = send(request);
        while (answer.statusCode() == 503 && System.nanoTime() < until) {
            Thread.sleep(POLL_MS);
            answer = send(request);
        }
        return answer;
    }

    private HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
        return client.send(request, BodyHandlers.ofString());
    }

    @Override
    public void close() {
        running.values().forEach(CoordinatorProcess::close);
    }
}
