package burlford.daemon;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in reader that answers a part at once, unless its query's text says "hold": then once released, though the
 * part may have been cancelled. Its values name the part and the text. Counts parts that have two attempts out here or
 * at another of the same audit.
 */
final class FakeReader implements AutoCloseable {

    /** Shared by readers: parts out, and copies seen. */
    static final class Audit {
        final Map<String, Integer> out = new ConcurrentHashMap<>();
        final Map<String, Integer> attempts = new ConcurrentHashMap<>();
        final AtomicInteger duplicateAttempts = new AtomicInteger();
    }

    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final Audit audit;
    private final List<Runnable> held = new ArrayList<>();

    FakeReader(Audit audit) throws IOException {
        this.audit = audit;
        daemon(() -> {
            while (true) {
                Socket s = listener.accept();
                daemon(() -> serve(s));
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    synchronized int heldCount() {
        return held.size();
    }

    void releaseHeld() {
        List<Runnable> all;
        synchronized (this) {
            all = List.copyOf(held);
            held.clear();
        }
        all.forEach(Runnable::run);
    }

    static String value(String part, String text) {
        return "value of " + part + " for " + text;
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void daemon(IoTask body) {
        Thread t = new Thread(() -> {
            try {
                body.run();
            } catch (IOException e) {
                // the test is over, or the coordinator has closed the connection
            }
        });
        t.setDaemon(true);
        t.start();
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
                in.readFully(frame);
                String rest = new String(frame, 1, frame.length - 1, StandardCharsets.UTF_8);
                if (frame[0] == 'U' || frame[0] == 'I') {
                    write(socket, (char) frame[0] + (frame[0] == 'I' ? "200" : "-"));
                } else if (frame[0] == 'K') {
                    audit.out.merge(rest, -1, Integer::sum);
                } else if (frame[0] == 'D') {
                    String part = rest.split(" ")[0];
                    String text = rest.substring(rest.indexOf('\n') + 1);
                    audit.attempts.merge(part, 1, Integer::sum);
                    if (audit.out.merge(part, 1, Integer::sum) > 1) {
                        audit.duplicateAttempts.incrementAndGet();
                    }
                    Runnable answer = () -> {
                        audit.out.merge(part, -1, Integer::sum);
                        write(socket, "O" + part + " 200 1 -\n" + value(part, text));
                    };
                    if (text.contains("hold")) {
                        synchronized (this) {
                            held.add(answer);
                        }
                    } else {
                        answer.run();
                    }
                }
            }
        }
    }

    private static void write(Socket socket, String text) {
        byte[] rest = text.getBytes(StandardCharsets.UTF_8);
        byte[] frame = new byte[4 + rest.length];
        frame[0] = (byte) rest.length;
        frame[1] = (byte) (rest.length >> 8);
        System.arraycopy(rest, 0, frame, 4, rest.length);
        try {
            synchronized (socket) {
                socket.getOutputStream().write(frame);
            }
        } catch (IOException e) {
            // the coordinator has closed the connection
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
