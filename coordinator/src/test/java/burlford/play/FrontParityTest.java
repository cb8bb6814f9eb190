package burlford.play;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;

/**
 * Both dialects, identical loads and failures: the same counts of answers, refusals and failures, and the same
 * attempts at the readers. The stand-in readers do to each part what its query's text says.
 */
class FrontParityTest {

    private static final ObjectMapper JSON = new ObjectMapper();
    /** For the part of shard 0; the other shard always answers. */
    private static final List<String> LOAD = List.of("ok", "error", "full", "break", "silent", "once-error", "ok",
            "once-full", "once-break", "partial");

    /** What came back, what the readers saw, and what the program counted of queries and attempts made. */
    private record RunResult(Map<String, Integer> ends, Map<String, Integer> attempts, List<String> counted) { }

    @Test
    void yieldTheSameCounts() throws Exception {
        for (String kind : List.of("car-lookup", "billing")) {
            RunResult platform = run(kind, false);
            assertThat(run(kind, true)).as(kind).isEqualTo(platform);
            // billing may not run twice: part 1 has run, so that nothing of it may be refused.
            assertThat(platform.ends()).isEqualTo(kind.equals("car-lookup")
                    ? Map.of("answered", 5, "refused", 4, "bad", 1)
                    : Map.of("answered", 3, "failed", 6, "bad", 1));
            assertThat(platform.attempts().keySet()).noneMatch(part -> part.startsWith("partial"));
            assertThat(platform.counted()).contains("queries.taken 9");
        }
    }

    private RunResult run(String kind, boolean search) throws Exception {
        Map<String, Integer> attempts = new ConcurrentHashMap<>();
        ObjectNode configuration;
        try (InputStream in = FrontParityTest.class.getResourceAsStream("/configuration.json")) {
            configuration = (ObjectNode) JSON.readTree(in);
        }
        List<ServerSocket> readers = new ArrayList<>();
        StringBuilder inventory = new StringBuilder("id,ansible_host,ansible_port,cell\n");
        for (int cell = 0; cell < 3; cell++) {
            ServerSocket reader = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            readers.add(reader);
            daemon(() -> accept(reader, attempts));
            inventory.append("s" + cell + ",127.0.0.1," + reader.getLocalPort() + "," + cell + "\n");
        }
        configuration.remove("discovery");
        String operator = "inventory: " + CoordinatorProcess.temporaryFile(".csv", inventory.toString()) + "\n"
                + "search: {listen: '127.0.0.1:0', indices: {i: {class: " + kind
                + ", tenant: duna-cab, key: routing, shards: [0, 1], deadline_ms: 2000}}}\n";
        Map<String, Integer> ends = new TreeMap<>();
        List<String> counted;
        try (CoordinatorProcess program = CoordinatorProcess.serve(configuration, operator)) {
            int port = program.port(search ? "search" : "platform");
            HttpClient client = HttpClient.newHttpClient();
            for (int i = 0; i < LOAD.size(); i++) {
                String text = LOAD.get(i) + "-" + i;
                HttpResponse<String> r = client.send(search ? search(port, text) : platform(port, kind, text),
                        BodyHandlers.ofString());
                ends.merge(end(r, search), 1, Integer::sum);
            }
            program.terminate();
            assertThat(program.awaitExit()).isZero();
            // How an attempt ends beside one that ends its query is a race; how many were made is not.
            counted = program.out().lines().filter(l -> l.matches("(queries|attempts\\.(first|further)).*")).toList();
        } finally {
            for (ServerSocket s : readers) {
                s.close();
            }
        }
        return new RunResult(ends, new TreeMap<>(attempts), counted);
    }

    private static HttpRequest platform(int port, String kind, String text) {
        // The platform has no word for partial hits; a query without a part is what it takes as malformed.
        String parts = text.startsWith("partial") ? "[]" : "[{\"id\":0},{\"id\":1}]";
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/api/" + text)).header("Req-Id", text)
                .header("Req-Kind", kind).header("Req-Owner", "duna-cab").header("Req-Deadline-Ms", "2000")
                .POST(BodyPublishers.ofString("{\"parts\":" + parts + ",\"expr\":\"" + text + "\"}")).build();
    }

    private static HttpRequest search(int port, String text) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/i/_search?routing=" + text + "&q="
                + text + (text.startsWith("partial") ? "&allow_partial_search_results=true" : ""))).build();
    }

    private static String end(HttpResponse<String> r, boolean search) throws IOException {
        if (r.statusCode() == 200) {
            int values = search ? JSON.readTree(r.body()).at("/hits/hits").size()
                    : JSON.readTree(r.body()).at("/rows").size();
            assertThat(values).isEqualTo(2);
            assertThat(JSON.readTree(r.body()).at(search ? "/_shards/failed" : "/none").asInt()).isZero();
            return "answered";
        }
        return switch (r.statusCode()) {
            case 400 -> "bad";
            case 429, 503 -> "refused";
            default -> "failed";
        };
    }

    // ---- the stand-in readers

    private static void daemon(Runnable run) {
        Thread t = new Thread(run);
        t.setDaemon(true);
        t.start();
    }

    private static void accept(ServerSocket listener, Map<String, Integer> attempts) {
        try {
            while (true) {
                Socket s = listener.accept();
                daemon(() -> serve(s, attempts));
            }
        } catch (IOException e) {
            // the test is over
        }
    }

    private static void serve(Socket socket, Map<String, Integer> attempts) {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
                in.readFully(frame);
                String[] part = new String(frame, 1, frame.length - 1, StandardCharsets.UTF_8).split("[ \n]");
                if (frame[0] != 'D') {
                    continue;
                }
                String text = part[4];
                int attempt = attempts.merge(text + "." + part[1], 1, Integer::sum);
                String todo = part[1].equals("1") || text.startsWith("once") && attempt > 1 ? "ok"
                        : text.replace("once-", "").split("-")[0];
                if (todo.equals("break")) {
                    return;
                }
                if (!todo.equals("silent")) {
                    int end = todo.equals("ok") ? 200 : todo.equals("error") ? 500 : 503;
                    byte[] answer = ("O" + part[0] + " " + end + " 1 -\n" + (end == 200 ? "v" : ""))
                            .getBytes(StandardCharsets.UTF_8);
                    socket.getOutputStream().write(new byte[] {(byte) answer.length, 0, 0, 0});
                    socket.getOutputStream().write(answer);
                }
            }
        } catch (IOException e) {
            // the coordinator has closed the connection
        }
    }
}
