import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * A reader. It works on each part for 140 to 190 ms, as the brief says of car-lookup, and gives a value of 16 hex digits
 * that follows from the part's id and text. It answers probes at once, and what is given up it does not answer, unless
 * its work goes on.
 */
final class Reader {

    /** How an answer is written. */
    interface Writer {
        /**
         * Returns the bytes of the answer to a part that has been worked on; null: no answer is given.
         *
         * @param list the LIST of its line, as d=240
         * @param othersWait other parts are out on the connection
         */
        byte[] bytes(Reader reader, String part, String list, String value, boolean othersWait);
    }

    final String id;
    final int cell;
    private final Rig rig;
    private final Writer writer;
    private final ServerSocket listener;
    private final ScheduledExecutorService work;
    /** Work that runs goes on when its part is given up, and ends in an answer as ever. */
    volatile boolean worksOn;

    Reader(Rig rig, String id, int cell, ScheduledExecutorService work, Writer writer) throws IOException {
        this.rig = rig;
        this.id = id;
        this.cell = cell;
        this.work = work;
        this.writer = writer;
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Discovery.daemon(() -> {
            while (true) {
                Socket s = listener.accept();
                Discovery.daemon(() -> serve(s));
            }
        });
    }

    static ScheduledExecutorService workers() {
        return Executors.newScheduledThreadPool(4, r -> {
            Thread t = new Thread(r, "work");
            t.setDaemon(true);
            return t;
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    /** The value that a sound reader makes for a part. */
    static String value(String part, String text) {
        long hash = 0xcbf29ce484222325L;
        for (char c : (part + "/" + text).toCharArray()) {
            hash = (hash ^ c) * 0x100000001b3L;
        }
        return String.format("%016x", hash);
    }

    static byte[] frame(char letter, String rest) {
        byte[] bytes = (letter + rest).getBytes(StandardCharsets.UTF_8);
        byte[] frame = new byte[4 + bytes.length];
        setLength(frame, bytes.length);
        System.arraycopy(bytes, 0, frame, 4, bytes.length);
        return frame;
    }

    static void setLength(byte[] frame, int length) {
        for (int i = 0; i < 4; i++) {
            frame[i] = (byte) (length >> 8 * i);
        }
    }

    private void serve(Socket socket) throws IOException {
        Map<String, ScheduledFuture<?>> out = new ConcurrentHashMap<>();
        try (socket) {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream to = socket.getOutputStream();
            while (true) {
                byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
                in.readFully(frame);
                String rest = new String(frame, 1, frame.length - 1, StandardCharsets.UTF_8);
                switch (frame[0]) {
                    case 'D' -> {
                        int lineEnd = rest.indexOf('\n');
                        String[] line = rest.substring(0, lineEnd).split(" ");
                        String part = line[0];
                        rig.note("reader " + id + " got " + rest.substring(0, lineEnd));
                        String value = value(part, rest.substring(lineEnd + 1));
                        out.put(part, work.schedule(() -> answer(to, out, part, line[2], value),
                                ThreadLocalRandom.current().nextInt(140, 190), TimeUnit.MILLISECONDS));
                    }
                    case 'K' -> {
                        ScheduledFuture<?> given = worksOn ? null : out.remove(rest);
                        if (given != null) {
                            given.cancel(false);
                        }
                        rig.note("reader " + id + " is told to give up " + rest);
                    }
                    case 'U' -> send(to, frame('U', "inflight=" + out.size() + ",qps=8"));
                    case 'I' -> send(to, frame('I', "200"));
                    default -> throw new IOException("a frame that no coordinator sends: " + (char) frame[0]);
                }
            }
        } finally {
            out.values().forEach(f -> f.cancel(false));
        }
    }

    private void answer(OutputStream to, Map<String, ScheduledFuture<?>> out, String part, String list, String value) {
        if (out.remove(part) == null) {
            return;
        }
        rig.note("reader " + id + " has worked on " + part + ": " + value);
        try {
            byte[] bytes = writer.bytes(this, part, list, value, !out.isEmpty());
            if (bytes != null) {
                send(to, bytes);
            }
        } catch (IOException e) {
            rig.note("reader " + id + " could not answer " + part + ": " + e.getMessage());
        }
    }

    private static void send(OutputStream to, byte[] bytes) throws IOException {
        synchronized (to) {
            to.write(bytes);
            to.flush();
        }
    }

    /** A good answer. */
    static byte[] good(String part, String value) {
        return frame('O', part + " 200 1840277719 inflight=1,qps=8\n" + value);
    }
}
