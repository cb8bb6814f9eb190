import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/**
 * Discovery's agent, sound: the whole list on GET /v1/servers, and a watch that stays open with an empty line every
 * 2 s. The list never changes.
 */
final class Discovery {

    private static final int REVISION = 41;
    private static final long EMPTY_LINE_EVERY_MS = 2_000;

    private final ServerSocket listener;
    private final String list;

    Discovery(List<Reader> readers) throws IOException {
        StringBuilder members = new StringBuilder();
        for (Reader r : readers) {
            members.append(members.length() == 0 ? "" : ",").append(String.format(Locale.ROOT,
                    "{\"id\":\"%s\",\"host_port\":\"127.0.0.1:%d\",\"locality\":\"angyalfold-room\","
                    + "\"flavor\":\"small-2c\",\"cell\":%d,\"phase\":\"Ready\",\"size\":1.0,\"up_since_ms\":0}",
                    r.id, r.port(), r.cell));
        }
        list = "{\"revision\":" + REVISION + ",\"complete\":true,\"members\":[" + members + "]}\n";
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
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

    /** An action on a thread that does not keep the process; where it fails its connection has ended. */
    interface Action {
        void run() throws IOException;
    }

    static void daemon(Action action) {
        Thread t = new Thread(() -> {
            try {
                action.run();
            } catch (IOException e) {
                // the connection has ended
            }
        });
        t.setDaemon(true);
        t.start();
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
                if (!request.contains("watch=1")) {
                    out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                            .getBytes(StandardCharsets.UTF_8));
                    continue;
                }
                out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                while (true) {
                    Rig.sleep(EMPTY_LINE_EVERY_MS);
                    out.write("1\r\n\n\r\n".getBytes(StandardCharsets.UTF_8));
                }
            }
        }
    }
}
