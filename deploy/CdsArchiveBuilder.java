import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Writes the archive of classes that deploy/serve starts with: plays discovery, one reader and a client to a packaged
 * coordinator on this machine's loopback, and tells it to stop; the JVM writes what it had loaded as it ends. Part of
 * the build, run from the root: {@code java deploy/CdsArchiveBuilder.java}. Exits with 1 where no archive came of it.
 */
public final class CdsArchiveBuilder {

    private static final Path ARCHIVE = Path.of("coordinator/target/burlford.jsa");
    /** Of examples/configuration.json. */
    private static final int CELLS = 3;
    private static final int QUERIES = 200;
    private static final int LONGEST_S = 60;

    private interface ConnectionHandler {
        void serve(Socket s) throws IOException;
    }

    private static ServerSocket listen(ConnectionHandler peer) throws IOException {
        ServerSocket at = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
        Thread accepting = new Thread(() -> {
            while (true) {
                try {
                    Socket s = at.accept();
                    Thread t = new Thread(() -> {
                        try (s) {
                            peer.serve(s);
                        } catch (IOException e) {
                            // the coordinator has left
                        }
                    });
                    t.setDaemon(true);
                    t.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        accepting.setDaemon(true);
        accepting.start();
        return at;
    }

    /** A watch that holds one line and stays open. */
    private static void discovery(Socket s, String list) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
        while (!in.readLine().isEmpty()) { }
        String line = list + "\n";
        s.getOutputStream().write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(line.length()) + "\r\n" + line + "\r\n").getBytes(StandardCharsets.US_ASCII));
        in.readLine();
    }

    private static void reader(Socket s) throws IOException {
        DataInputStream in = new DataInputStream(s.getInputStream());
        while (true) {
            byte[] rest = new byte[Integer.reverseBytes(in.readInt())];
            in.readFully(rest);
            String text = new String(rest, 1, rest.length - 1, StandardCharsets.UTF_8);
            String load = "qps=1.0,inflight=0";
            switch (rest[0]) {
                case 'D' -> frame(s, "O" + text.split(" ")[0] + " 200 1 " + load + "\nvalue");
                case 'U' -> frame(s, "U" + load);
                case 'I' -> frame(s, "I200");
                default -> { }
            }
        }
    }

    private static void frame(Socket s, String text) throws IOException {
        byte[] rest = text.getBytes(StandardCharsets.UTF_8);
        s.getOutputStream().write(ByteBuffer.allocate(4 + rest.length).order(ByteOrder.LITTLE_ENDIAN)
                .putInt(rest.length).put(rest).array());
    }

    /** Sends a request and reads its whole answer, which has a length; the first line. */
    private static String ask(Socket s, String head, String body) throws IOException {
        OutputStream out = s.getOutputStream();
        out.write((head + "\r\nHost: rehearsal\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII));
        InputStream in = s.getInputStream();
        StringBuilder read = new StringBuilder();
        while (read.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                throw new IOException("the coordinator closed the connection: " + read);
            }
            read.append((char) c);
        }
        String headers = read.toString().toLowerCase();
        int from = headers.indexOf("content-length:") + "content-length:".length();
        in.readNBytes(Integer.parseInt(headers.substring(from, headers.indexOf('\r', from)).trim()));
        return read.substring(0, read.indexOf("\r\n"));
    }

    public static void main(String[] args) throws Exception {
        Files.deleteIfExists(ARCHIVE);
        ServerSocket reader = listen(CdsArchiveBuilder::reader);
        String members = IntStream.range(0, CELLS).mapToObj(cell -> "{\"id\":\"r" + cell
                + "\",\"host_port\":\"127.0.0.1:" + reader.getLocalPort()
                + "\",\"locality\":\"angyalfold-room\",\"flavor\":\"m\",\"cell\":" + cell
                + ",\"phase\":\"Ready\",\"size\":1.0,\"up_since_ms\":0}")
                .collect(Collectors.joining(",", "{\"revision\":1,\"complete\":true,\"members\":[", "]}"));
        ServerSocket discovery = listen(s -> discovery(s, members));
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        Path configuration = Files.createTempFile("rehearsal", ".json");
        Files.writeString(configuration, Files.readString(Path.of("examples/configuration.json")));
        ProcessBuilder start = new ProcessBuilder("sh", "deploy/serve").redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD);
        start.environment().put("PROXY_CONFIG", configuration.toString());
        start.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
        start.environment().put("PROXY_DISCOVERY", "127.0.0.1:" + discovery.getLocalPort());
        start.environment().put("BURLFORD_JVM", "-XX:ArchiveClassesAtExit=" + ARCHIVE);
        Process coordinator = start.start();
        try {
            rehearse(port);
        } finally {
            coordinator.destroy();
            if (!coordinator.waitFor(LONGEST_S, TimeUnit.SECONDS)) {
                coordinator.destroyForcibly();
            }
            Files.deleteIfExists(configuration);
        }
        if (!Files.exists(ARCHIVE)) {
            System.err.println("the rehearsal left no archive");
            System.exit(1);
        }
    }

    private static void rehearse(int port) throws Exception {
        Socket client = null;
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONGEST_S); client == null;) {
            try {
                client = new Socket("127.0.0.1", port);
            } catch (IOException e) {
                if (System.nanoTime() > end) {
                    throw e;
                }
                Thread.sleep(20);
            }
        }
        try (Socket s = client) {
            while (!ask(s, "GET /healthz HTTP/1.1", "").contains("200")) {
                Thread.sleep(20);
            }
            for (int i = 0; i < QUERIES; i++) {
                List<String> kinds = List.of("car-lookup", "shift-report");
                ask(s, "POST /api/7f3a HTTP/1.1\r\nReq-Id: " + i + "\r\nReq-Kind: " + kinds.get(i % 2)
                        + "\r\nReq-Owner: duna-cab\r\nReq-Deadline-Ms: 2000",
                        "{\"parts\":[{\"id\":0},{\"id\":1},{\"id\":2}],\"expr\":\"cars\"}");
            }
        }
    }
}
