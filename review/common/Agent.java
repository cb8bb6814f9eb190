import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Discovery's agent on a coordinator's machine, with a list that changes. It answers at once with what it has been
 * sent; while discovery is down it accepts connections and says nothing on any of them.
 */
final class Agent {

    private static final long EMPTY_LINE_EVERY_MS = 2_000;

    private final Rig rig;
    private final ServerSocket listener;
    private final Map<String, String> members = new LinkedHashMap<>();
    /** Each change as a JSON line, by the revision that it makes. */
    private final Map<Integer, String> changes = new LinkedHashMap<>();
    private int revision = 41;
    private boolean down;

    Agent(Rig rig, List<Reader> readers) throws IOException {
        this.rig = rig;
        readers.forEach(r -> members.put(r.id, member(r, "Ready", 0)));
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Discovery.daemon(() -> {
            while (true) {
                Socket s = listener.accept();
                Discovery.daemon(() -> serve(s));
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    private static String member(Reader r, String phase, long startedMs) {
        return String.format(Locale.ROOT,
                "{\"id\":\"%s\",\"host_port\":\"127.0.0.1:%d\",\"locality\":\"angyalfold-room\","
                + "\"flavor\":\"small-2c\",\"cell\":%d,\"phase\":\"%s\",\"size\":1.0,\"up_since_ms\":%d}",
                r.id, r.port(), r.cell, phase, startedMs);
    }

    /** Tells a change of one reader on all open watches. */
    synchronized void tell(Reader reader, String phase) {
        if (phase.equals("Gone")) {
            members.remove(reader.id);
        } else {
            members.put(reader.id, member(reader, phase, 0));
        }
        revision++;
        changes.put(revision, "{\"revision\":" + revision + ",\"complete\":false,\"members\":["
                + member(reader, phase, 0) + "]}\n");
        rig.note("discovery tells that " + reader.id + " is " + phase + ", revision " + revision);
        notifyAll();
    }

    /** Discovery goes down, or comes back; what is said of it meanwhile is nothing. */
    synchronized void down(boolean now) {
        down = now;
        rig.note(now ? "discovery is down: its agents are silent" : "discovery is back");
        notifyAll();
    }

    private synchronized void awaitUp() throws IOException {
        try {
            while (down) {
                wait();
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                    StandardCharsets.UTF_8));
            OutputStream out = socket.getOutputStream();
            for (String request = in.readLine(); request != null; request = in.readLine()) {
                while (!in.readLine().isEmpty()) {
                    continue;
                }
                awaitUp();
                if (!request.contains("watch=1")) {
                    String list;
                    synchronized (this) {
                        list = "{\"revision\":" + revision + ",\"complete\":true,\"members\":["
                                + String.join(",", members.values()) + "]}\n";
                    }
                    out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                            .getBytes(StandardCharsets.UTF_8));
                    continue;
                }
                int from = Integer.parseInt(request.replaceFirst(".*from=([0-9]+).*", "$1"));
                out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                watch(out, from);
            }
        }
    }

    private void watch(OutputStream out, int from) throws IOException {
        int told = from;
        while (true) {
            List<String> lines = new ArrayList<>();
            synchronized (this) {
                if (told >= revision && !down) {
                    try {
                        wait(EMPTY_LINE_EVERY_MS);
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                }
                if (!down) {
                    for (Map.Entry<Integer, String> c : changes.entrySet()) {
                        if (c.getKey() > told) {
                            lines.add(c.getValue());
                        }
                    }
                    told = revision;
                }
            }
            awaitUp();
            for (String line : lines.isEmpty() ? List.of("\n") : lines) {
                out.write((Integer.toHexString(line.length()) + "\r\n" + line + "\r\n")
                        .getBytes(StandardCharsets.UTF_8));
            }
        }
    }
}
