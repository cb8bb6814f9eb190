package burlford.play;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.SplittableRandom;

/** A client that sends one request after the other, on one connection for as long as that stays open. */
final class SoakClient implements Runnable {

    /** How a request ended, as its client saw it. */
    enum Outcome { ANSWERED, REFUSED, FAILED, CLOSED, TIMED_OUT, LEFT }

    /** How a request ended and what its connection gave. */
    record Reply(Outcome outcome, String text) { }

    /** Classes of the configuration by the effect that a second attempt has. */
    static final Map<Audit.Effect, String> CLASSES = Map.of(Audit.Effect.RETRYABLE, "car-lookup", Audit.Effect.DEDUP,
            "shift-report", Audit.Effect.FRAGILE, "billing");
    private static final int GRACE_MS = 500;
    private static final double LEAVES = 0.05;
    private static final int RETRY_MS = 5;

    private final int port;
    private final String name;
    private final int deadlineMs;
    private final SplittableRandom random;
    private final Audit audit;
    private volatile boolean over;
    private volatile boolean leavesAtDeadline;

    SoakClient(int port, String name, int deadlineMs, long seed, Audit audit) {
        this.port = port;
        this.name = name;
        this.deadlineMs = deadlineMs;
        this.random = new SplittableRandom(seed);
        this.audit = audit;
    }

    /** Whether it closes its connection when its time is up, as clients of the platform do. */
    void leaveAtDeadline(boolean leaves) {
        leavesAtDeadline = leaves;
    }

    void stop() {
        over = true;
    }

    @Override
    public void run() {
        int number = 0;
        while (!over) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setTcpNoDelay(true);
                while (!over && ask(socket, name + "-" + number++)) {
                    Thread.sleep(random.nextInt(RETRY_MS));
                }
            } catch (IOException e) {
                pause();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(RETRY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whether the connection can be used again. */
    private boolean ask(Socket socket, String id) throws IOException {
        Audit.Effect effect = Audit.Effect.values()[random.nextInt(Audit.Effect.values().length)];
        Audit.Request request = new Audit.Request(id, effect, System.nanoTime(), deadlineMs);
        audit.recordRequest(request);
        boolean leavesEarly = random.nextDouble() < LEAVES;
        boolean leaves = leavesEarly || leavesAtDeadline;
        socket.setSoTimeout(leavesEarly ? 1 + random.nextInt(deadlineMs) : deadlineMs + (leaves ? 0 : GRACE_MS));
        Reply reply;
        try {
            write(socket, id, deadlineMs, effect);
            reply = read(socket);
        } catch (SocketTimeoutException e) {
            reply = new Reply(leaves ? Outcome.LEFT : Outcome.TIMED_OUT, "");
        } catch (IOException e) {
            reply = new Reply(Outcome.CLOSED, "");
        }
        audit.recordCompletion(new Audit.CompletedRequest(request, reply.outcome(), System.nanoTime(), reply.text()));
        return (reply.outcome() == Outcome.ANSWERED || reply.outcome() == Outcome.REFUSED
                || reply.outcome() == Outcome.FAILED) && !reply.text().contains("connection: close");
    }

    /** Sends a request for two parts. */
    static void write(Socket socket, String id, int deadlineMs, Audit.Effect effect) throws IOException {
        socket.getOutputStream().write(request(id, deadlineMs, effect));
    }

    /** A request for two parts. */
    static byte[] request(String id, int deadlineMs, Audit.Effect effect) {
        String body = "{\"parts\":[{\"id\":0},{\"id\":1}],\"expr\":\"e\"}";
        return ("POST /api/" + id + " HTTP/1.1\r\nReq-Id: " + id + "\r\nReq-Kind: "
                + CLASSES.get(effect) + "\r\nReq-Owner: duna-cab\r\nReq-Deadline-Ms: " + deadlineMs
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII);
    }

    /** Reads one reply, within the socket's time-out. */
    static Reply read(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder reply = new StringBuilder();
        byte[] some = new byte[4096];
        while (!isWhole(reply)) {
            int n = in.read(some);
            if (n < 0) {
                return new Reply(Outcome.CLOSED, reply.toString());
            }
            reply.append(new String(some, 0, n, StandardCharsets.US_ASCII));
        }
        return new Reply(switch (reply.substring(9, 12)) {
            case "200" -> Outcome.ANSWERED;
            case "429", "503" -> Outcome.REFUSED;
            default -> Outcome.FAILED;
        }, reply.toString());
    }

    private static boolean isWhole(StringBuilder reply) {
        int head = reply.indexOf("\r\n\r\n");
        if (head < 0) {
            return false;
        }
        String length = "content-length: ";
        int at = reply.indexOf(length) + length.length();
        return reply.length() >= head + 4 + Integer.parseInt(reply.substring(at, reply.indexOf("\r\n", at)));
    }
}
