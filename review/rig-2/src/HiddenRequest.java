import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * A client sends a body that is far too long, announced by Expect, and in the body stands another request. Is that one
 * passed on?
 */
final class HiddenRequest {

    private static final int LONG_BODY = 60_000_000;
    private static final int LISTENS_MS = 6_000;

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments[0], HiddenRequest::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        Set<String> sent = Collections.synchronizedSet(new HashSet<>());
        Map<Rig.Reader, Integer> readers = new LinkedHashMap<>();
        for (int cell = 0; cell < 3; cell++) {
            readers.put(new Rig.Reader(rig, "reader-" + cell, part -> {
                rig.note("part " + part.id + " at " + part.reader.name + " with the text " + part.text);
                sent.add(part.text);
                part.answerWhole();
            }), cell);
        }
        int[] ports = Rig.freePorts(2);
        String operator = "inventory: " + rig.inventory(readers) + "\nsearch:\n  listen: 127.0.0.1:" + ports[1]
                + "\n  indices:\n    cars: {class: car-lookup, tenant: duna-cab, shards: [0, 1, 2], deadline_ms: 3000}\n";
        Rig.Coordinator c = rig.new Coordinator("n0", ports[0], rig.exampleConfiguration(), operator);
        c.start();
        c.awaitHealthy(20);
        String body = "{\"parts\":[{\"id\":0},{\"id\":2}],\"expr\":\"free cars\"}";
        if (!trouble) {
            // The same client, with the header and a body that fits.
            String answers = exchange(c.port, head("sound", body.length()) + body, 0);
            rig.note("a request with Expect and a body that fits: " + shown(answers));
            if (!answers.contains("HTTP/1.1 200 OK") || !sent.equals(Set.of("free cars"))) {
                throw new Rig.CannotRun("a sound request was not served");
            }
            return true;
        }
        String inner = body.replace("free cars", "written in a body");
        String hidden = head("hidden", inner.length()).replace("Expect: 100-continue\r\n", "") + inner;
        boolean held = judge(rig, "platform", exchange(c.port, head("outer", LONG_BODY) + hidden,
                LONG_BODY - hidden.length()), sent.contains("written in a body"));
        String search = "GET /cars/_search?q=written+in+a+search HTTP/1.1\r\nHost: s\r\n\r\n";
        held &= judge(rig, "search", exchange(ports[1], "POST /cars/_search HTTP/1.1\r\nHost: s\r\n"
                + "Expect: 100-continue\r\nContent-Type: application/json\r\nContent-Length: " + LONG_BODY + "\r\n\r\n"
                + search, LONG_BODY - search.length()), sent.contains("written in a search"));
        return held;
    }

    private static boolean judge(Rig rig, String front, String answers, boolean ran) {
        rig.note(front + " front, one request with a body of " + LONG_BODY + " bytes, answered with: "
                + shown(answers));
        boolean served = answers.contains("HTTP/1.1 200 OK");
        if (ran) {
            rig.note(front + " front: readers were sent what only stood in the body");
        }
        if (served) {
            rig.note(front + " front: it was answered as a request of its own");
        }
        return !ran && !served;
    }

    private static String head(String id, int length) {
        return "POST /api/7f3a HTTP/1.1\r\nHost: app\r\nReq-Id: " + id + "\r\nReq-Kind: car-lookup\r\n"
                + "Req-Owner: duna-cab\r\nReq-Deadline-Ms: 3000\r\nExpect: 100-continue\r\nContent-Length: " + length
                + "\r\n\r\n";
    }

    /** Sends the text and so many further bytes at full speed; all that comes back until the end or for 6 s. */
    private static String exchange(int port, String text, int further) throws IOException {
        ByteArrayOutputStream answers = new ByteArrayOutputStream();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setSoTimeout(LISTENS_MS);
            Thread listener = Rig.daemon(() -> {
                try {
                    byte[] piece = new byte[4096];
                    long until = System.nanoTime() + LISTENS_MS * 1_000_000L;
                    for (int n = 0; n >= 0 && System.nanoTime() < until; n = socket.getInputStream().read(piece)) {
                        synchronized (answers) {
                            answers.write(piece, 0, n);
                        }
                    }
                } catch (IOException e) {
                    // ended by the coordinator, or time is up
                }
            });
            try {
                socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
                byte[] filler = " ".repeat(64 * 1024).getBytes(StandardCharsets.US_ASCII);
                for (int left = further; left > 0; left -= filler.length) {
                    socket.getOutputStream().write(filler, 0, Math.min(left, filler.length));
                }
            } catch (IOException e) {
                // closed by the coordinator, as it may
            }
            listener.join(further == 0 ? 1500 : LISTENS_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        synchronized (answers) {
            return answers.toString(StandardCharsets.UTF_8);
        }
    }

    private static String shown(String answers) {
        return answers.isEmpty() ? "nothing" : answers.replace("\r\n", "|").replace("\n", " ").trim();
    }
}
