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
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A stand-in reader that answers late, fails, hangs or breaks its connection, by its seed. */
final class SoakReader implements AutoCloseable {

    private static final int LONGEST_ANSWER_MS = 60;
    private static final double HANGS = 0.05;
    private static final double FAILS = 0.05;
    private static final double TURNS_AWAY = 0.03;
    private static final double BREAKS = 0.02;
    private static final double FAULTLESS = 1;

    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final ScheduledExecutorService timer;
    private final String name;
    private final Audit audit;
    private final SplittableRandom random;
    private final double least;
    private volatile boolean hung;

    SoakReader(String name, long seed, ScheduledExecutorService timer, Audit audit) throws IOException {
        this(name, seed, timer, audit, 0);
    }

    private SoakReader(String name, long seed, ScheduledExecutorService timer, Audit audit, double least)
            throws IOException {
        this.name = name;
        this.random = new SplittableRandom(seed);
        this.timer = timer;
        this.audit = audit;
        this.least = least;
        daemon(this::accept);
    }

    /** One that answers everything. */
    static SoakReader faultless(String name, ScheduledExecutorService timer, Audit audit) throws IOException {
        return new SoakReader(name, 0, timer, audit, FAULTLESS);
    }

    String name() {
        return name;
    }

    int port() {
        return listener.getLocalPort();
    }

    /** From now on it answers nothing. */
    void hang() {
        hung = true;
    }

    /** It answers what comes from now on. */
    void resume() {
        hung = false;
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
        Map<String, Audit.Attempt> out = new ConcurrentHashMap<>();
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
                in.readFully(frame);
                String rest = new String(frame, 1, frame.length - 1, StandardCharsets.UTF_8);
                if (frame[0] == 'I' && !hung) {
                    write(socket, "I200");
                } else if (frame[0] == 'U' && !hung) {
                    write(socket, "U-");
                } else if (frame[0] == 'K' && out.containsKey(rest)) {
                    end(out.remove(rest));
                } else if (frame[0] == 'D' && !part(socket, rest.substring(0, rest.indexOf('\n')).split(" "), out)) {
                    return;
                }
            }
        } catch (IOException e) {
            // the coordinator has closed the connection
        } finally {
            out.values().forEach(SoakReader::end);
        }
    }

    private static void end(Audit.Attempt attempt) {
        attempt.endedAt = Math.min(attempt.endedAt, System.nanoTime());
    }

    /** words: of the frame's first line. False: the connection breaks over it. */
    private synchronized boolean part(Socket socket, String[] words, Map<String, Audit.Attempt> out) {
        String part = words[0];
        Audit.Attempt attempt = audit.recordArrival(part, name, Long.parseLong(words[2].substring("d=".length())));
        out.put(part, attempt);
        double drawn = Math.max(least, random.nextDouble());
        double hangs = BREAKS + HANGS;
        double fails = hangs + FAILS;
        double turnsAway = fails + TURNS_AWAY;
        int after = random.nextInt(LONGEST_ANSWER_MS);
        if (drawn < BREAKS) {
            return false;
        } else if (drawn >= hangs) {
            String answer = drawn < fails ? " 500 1 -\n" : drawn < turnsAway ? " 503 1 -\n" : " 200 1 -\n"
                    + value(part);
            attempt.neverRan = answer.startsWith(" 503");
            timer.schedule(() -> answer(socket, out, part, answer), after, TimeUnit.MILLISECONDS);
        }
        return true;
    }

    private void answer(Socket socket, Map<String, Audit.Attempt> out, String part, String answer) {
        Audit.Attempt attempt = hung ? null : out.remove(part);
        if (attempt != null) {
            end(attempt);
            write(socket, "O" + part + answer);
        }
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
