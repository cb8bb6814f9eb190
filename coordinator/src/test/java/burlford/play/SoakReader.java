package burlford.play;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A stand-in reader that answers late, fails, hangs or breaks its connection, by its seed. */
final class SoakReader implements AutoCloseable {

    private static final int LONGEST_ANSWER_MS = 60;
    private static final double HANGS = 0.05;
    private static final double FAILS = 0.05;
    private static final double BREAKS = 0.02;

    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final ScheduledExecutorService timer;
    private final Map<String, Long> lastSeen;
    private final SplittableRandom random;
    private volatile boolean hung;

    /** lastSeen: by the query's id, when a part of it last came, by System.nanoTime. */
    SoakReader(long seed, ScheduledExecutorService timer, Map<String, Long> lastSeen) throws IOException {
        this.random = new SplittableRandom(seed);
        this.timer = timer;
        this.lastSeen = lastSeen;
        daemon(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** From now on it answers nothing. */
    void hang() {
        hung = true;
    }

    private static void daemon(Runnable body) {
        Thread t = new Thread(body);
        t.setDaemon(true);
        t.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket s = listener.accept();
                daemon(() -> serve(s));
            }
        } catch (IOException e) {
            // the test is over
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
                in.readFully(frame);
                String rest = new String(frame, 1, frame.length - 1, StandardCharsets.UTF_8);
                if (frame[0] == 'I' && !hung) {
                    write(socket, "I200");
                } else if (frame[0] == 'D' && !part(socket, rest.split(" ")[0])) {
                    return;
                }
            }
        } catch (IOException e) {
            // the coordinator has closed the connection
        }
    }

    /** False: the connection breaks over it. */
    private synchronized boolean part(Socket socket, String part) {
        lastSeen.put(part.substring(0, part.lastIndexOf('.')), System.nanoTime());
        double what = random.nextDouble();
        if (what < BREAKS) {
            return false;
        }
        boolean hangs = what < BREAKS + HANGS;
        boolean fails = !hangs && what < BREAKS + HANGS + FAILS;
        int after = random.nextInt(LONGEST_ANSWER_MS);
        if (!hangs) {
            timer.schedule(() -> write(socket, "O" + part + (fails ? " 500 1 -\n" : " 200 1 -\n" + value(part))), after,
                    TimeUnit.MILLISECONDS);
        }
        return true;
    }

    static String value(String part) {
        return "value of " + part;
    }

    private void write(Socket socket, String text) {
        if (hung) {
            return;
        }
        byte[] rest = text.getBytes(StandardCharsets.UTF_8);
        byte[] frame = new byte[4 + rest.length];
        frame[0] = (byte) rest.length;
        frame[1] = (byte) (rest.length >> 8);
        System.arraycopy(rest, 0, frame, 4, rest.length);
        try {
            OutputStream out = socket.getOutputStream();
            synchronized (socket) {
                out.write(frame);
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
