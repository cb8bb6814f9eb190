package burlford.play;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Three programs, one store: a write at any of them reaches all, and outlives the one that led. */
class StoreFailoverTest {

    private static final ObjectMapper JSON = new ObjectMapper();
    private final HttpClient client = HttpClient.newBuilder().followRedirects(HttpClient.Redirect.NORMAL).build();
    private final Map<String, CoordinatorProcess> programs = new LinkedHashMap<>();
    private final Map<String, Integer> doors = new LinkedHashMap<>();

    @Test
    void aWriteAtAnyMemberReachesAll(@TempDir Path directory) throws Exception {
        StringBuilder members = new StringBuilder();
        List<ServerSocket> free = new ArrayList<>();
        for (String name : List.of("n1", "n2", "n3")) {
            free.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            free.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            doors.put(name, free.get(free.size() - 1).getLocalPort());
            members.append(members.isEmpty() ? "" : ", ").append(name + ": {peers: '127.0.0.1:"
                    + free.get(free.size() - 2).getLocalPort() + "', admin: '127.0.0.1:" + doors.get(name) + "'}");
        }
        for (ServerSocket s : free) {
            s.close();
        }
        try {
            for (String name : doors.keySet()) {
                ObjectNode configuration;
                try (InputStream in = getClass().getResourceAsStream("/configuration.json")) {
                    configuration = (ObjectNode) JSON.readTree(in);
                }
                configuration.put("name", name).remove("discovery");
                programs.put(name, CoordinatorProcess.serve(configuration, "store: {directory: '"
                        + Files.createDirectory(directory.resolve(name)) + "', members: {" + members + "}}\n"));
            }
            String leader = awaitLeader("");
            String other = doors.keySet().stream().filter(n -> !n.equals(leader)).findFirst().orElseThrow();
            assertThat(put(other, 0, "id,ansible_host,ansible_port,cell\nr1,127.0.0.1,9,0\n").body())
                    .isEqualTo("{\"key\":\"inventory\",\"version\":1}\n");
            for (CoordinatorProcess p : programs.values()) {
                p.awaitLog("store: inventory is at version 1");
                assertThat(get(p.port("platform"), "/healthz").statusCode()).isEqualTo(200);
            }
            programs.remove(leader).close();
            doors.remove(leader);
            awaitLeader(leader);
            assertThat(put(other, 0, "id,ansible_host,ansible_port,cell\n").statusCode()).isEqualTo(409);
            assertThat(put(other, 1, "id,ansible_host,ansible_port,cell\n").statusCode()).isEqualTo(200);
        } finally {
            programs.values().forEach(CoordinatorProcess::close);
        }
    }

    /** Who leads, once all that are up agree on one that is not the one that was. */
    private String awaitLeader(String was) throws Exception {
        for (CoordinatorProcess p : programs.values()) {
            p.port("store");
        }
        long until = System.nanoTime() + 3 * CoordinatorProcess.TIMEOUT_MS * 1_000_000;
        while (System.nanoTime() < until) {
            List<String> named = new ArrayList<>();
            for (int door : doors.values()) {
                JsonNode status = JSON.readTree(get(door, "/store").body());
                named.add(status.path("leader").asText(""));
            }
            if (named.stream().distinct().count() == 1 && doors.containsKey(named.get(0)) && !named.get(0)
                    .equals(was)) {
                return named.get(0);
            }
            Thread.sleep(50);
        }
        throw new AssertionError("no leader");
    }

    private HttpResponse<String> get(int port, String path) throws IOException, InterruptedException {
        return client.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path)).build(),
                BodyHandlers.ofString());
    }

    /** A new leader refuses writes until its term has begun for a majority: those are tried again. */
    private HttpResponse<String> put(String member, long from, String value) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + doors.get(member)
                + "/store/inventory?from=" + from)).PUT(BodyPublishers.ofString(value)).build();
        HttpResponse<String> answer = client.send(request, BodyHandlers.ofString());
        for (int i = 0; i < 100 && answer.statusCode() == 503; i++) {
            Thread.sleep(50);
            answer = client.send(request, BodyHandlers.ofString());
        }
        return answer;
    }
}
