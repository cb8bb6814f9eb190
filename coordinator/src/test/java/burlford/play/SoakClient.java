package burlford.play;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;

/** A client that sends one request after the other, on one connection for as long as that stays open. */
final class SoakClient implements Runnable {

    /** How a request ended, as its client saw it. */
    enum End { ANSWERED, REFUSED, FAILED, CLOSED, TIMED_OUT, LEFT }

    /** sentAt, endedAt: System.nanoTime. */
    record Outcome(String id, End end, long sentAt, long endedAt, String body) { }

    private static final int GRACE_MS = 500;
    private static final double LEAVES = 0.05;
    private static final int RETRY_MS = 5;

    private final int port;
    private final String name;
    private final int deadlineMs;
    private final SplittableRandom random;
    private final List<Outcome> outcomes;
    private volatile boolean over;

    /** outcomes: of all clients, safe for threads. */
    SoakClient(int port, String name, int deadlineMs, long seed, List<Outcome> outcomes) {
        this.port = port;
        this.name = name;
        this.deadlineMs = deadlineMs;
        this.random = new SplittableRandom(seed);
        this.outcomes = outcomes;
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
        String body = "{\"parts\":[{\"id\":0},{\"id\":1}],\"expr\":\"e\"}";
        long sentAt = System.nanoTime();
        boolean leaves = random.nextDouble() < LEAVES;
        socket.setSoTimeout(leaves ? 1 + random.nextInt(deadlineMs) : deadlineMs + GRACE_MS);
        StringBuilder reply = new StringBuilder();
        End end;
        try {
            socket.getOutputStream().write(("POST /api/" + id + " HTTP/1.1\r\nReq-Id: " + id
                    + "\r\nReq-Kind: car-lookup\r\nReq-Owner: duna-cab\r\nReq-Deadline-Ms: " + deadlineMs
                    + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
            end = read(socket.getInputStream(), reply);
        } catch (SocketTimeoutException e) {
            end = leaves ? End.LEFT : End.TIMED_OUT;
        } catch (IOException e) {
            end = End.CLOSED;
        }
        outcomes.add(new Outcome(id, end, sentAt, System.nanoTime(), reply.toString()));
        return (end == End.ANSWERED || end == End.REFUSED || end == End.FAILED)
                && !reply.toString().contains("connection: close");
    }

    private static End read(InputStream in, StringBuilder reply) throws IOException {
        byte[] some = new byte[4096];
        while (!isWhole(reply)) {
            int n = in.read(some);
            if (n < 0) {
                return End.CLOSED;
            }
            reply.append(new String(some, 0, n, StandardCharsets.US_ASCII));
        }
        return switch (reply.substring(9, 12)) {
            case "200" -> End.ANSWERED;
            case "429", "503" -> End.REFUSED;
            default -> End.FAILED;
        };
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
