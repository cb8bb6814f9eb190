import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A planned restart while a client sends three requests in one write. Is each that was read answered? */
final class PipelinedEnd {

    private static final int AT_ONCE = 3;
    private static final int CLIENTS = 6;
    private static final long SENDS_MS = 4_500;

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments[0], PipelinedEnd::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        Map<Rig.Reader, Integer> readers = new LinkedHashMap<>();
        for (int cell = 0; cell < 3; cell++) {
            for (int copy = 0; copy < 2; copy++) {
                readers.put(new Rig.Reader(rig, "reader-" + cell + copy, part -> Rig.daemon(() -> {
                    try {
                        Thread.sleep(20);
                    } catch (InterruptedException e) {
                        return;
                    }
                    part.answerWhole();
                })), cell);
            }
        }
        int[] ports = Rig.freePorts(1);
        Rig.Coordinator c = rig.new Coordinator("n0", ports[0],
                rig.exampleConfiguration("\"maxOpen\": 20", "\"maxOpen\": 106"),
                "inventory: " + rig.inventory(readers) + "\n");
        c.start();
        c.awaitHealthy(20);
        Thread.sleep(1500);
        int[] lost = new int[CLIENTS];
        int[] answered = new int[CLIENTS];
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            int n = i;
            clients[i] = Rig.daemon(() -> client(rig, c.port, n, lost, answered));
        }
        Thread.sleep(600);
        if (trouble) {
            c.signal("TERM");
        }
        int allLost = 0;
        int allAnswered = 0;
        for (int i = 0; i < CLIENTS; i++) {
            clients[i].join();
            allLost += lost[i];
            allAnswered += answered[i];
        }
        if (trouble) {
            c.process.waitFor(5, TimeUnit.SECONDS);
            rig.note("n0 " + (c.process.isAlive() ? "still runs" : "has left with status " + c.process.exitValue()));
        }
        rig.note(allAnswered + " requests answered; " + allLost + " read and not answered");
        if (allAnswered < 10 * CLIENTS) {
            throw new Rig.CannotRun("too few requests were answered");
        }
        return allLost == 0;
    }

    /** On one connection, as long as it stays open: three requests in one write, then their answers. */
    private static void client(Rig rig, int port, int n, int[] lost, int[] answered) {
        long until = System.nanoTime() + SENDS_MS * 1_000_000;
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(3000);
            for (int round = 0; System.nanoTime() < until; round++) {
                StringBuilder burst = new StringBuilder();
                String body = "{\"parts\":[{\"id\":0},{\"id\":2}],\"expr\":\"free cars\"}";
                for (int i = 0; i < AT_ONCE; i++) {
                    burst.append("POST /api/7f3a HTTP/1.1\r\nHost: app\r\nReq-Id: c").append(n).append('-')
                            .append(round).append('-').append(i).append("\r\nReq-Kind: car-lookup\r\n")
                            .append("Req-Owner: duna-cab\r\nReq-Deadline-Ms: 2000\r\nContent-Length: ")
                            .append(body.length()).append("\r\n\r\n").append(body);
                }
                OutputStream out = socket.getOutputStream();
                out.write(burst.toString().getBytes(StandardCharsets.US_ASCII));
                out.flush();
                int got = 0;
                try {
                    for (; got < AT_ONCE; got++) {
                        Rig.Http h = Rig.Http.read(socket.getInputStream());
                        answered[n]++;
                        if ("close".equals(h.headers.get("connection"))) {
                            rig.note("c" + n + "-" + round + "-" + got + " answered " + h.status + ", Connection: close");
                        }
                    }
                } catch (IOException e) {
                    // With none of the three answered they may not have been read: the client sends them once more.
                    if (got > 0) {
                        lost[n] += AT_ONCE - got;
                        rig.note("c" + n + "-" + round + ": " + got + " of the three in one write answered, then "
                                + e);
                    }
                    return;
                }
                Thread.sleep(100);
            }
        } catch (IOException e) {
            // closed between requests
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
