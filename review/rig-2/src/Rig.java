import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What the cases of the second review share: it starts coordinators with the deploy file's command, plays readers and
 * clients on loopback addresses, keeps the record, and ends every process that it started.
 */
final class Rig implements Closeable {

    /** The case could not run: exit status 2. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CannotRun(String why) {
            super(why);
        }
    }

    /** The body of a case; returns whether the rule held. */
    interface Case {
        boolean run(Rig rig, boolean trouble) throws Exception;
    }

    static final long LONGEST_S = 115;
    final Path root;
    final Path temporary;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private final List<Closeable> toClose = new ArrayList<>();

    private Rig(Path folder) throws IOException {
        root = folder.toAbsolutePath().normalize().getParent().getParent();
        temporary = Files.createTempDirectory("review-");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    }

    /** Runs a case and ends the JVM: 0 the rule held, 1 it was broken, 2 the case could not run. */
    static void main(String folder, Case body) throws IOException {
        Rig rig = new Rig(Path.of(folder));
        Runtime.getRuntime().addShutdownHook(new Thread(rig::endAll));
        Thread watchdog = new Thread(() -> {
            try {
                TimeUnit.SECONDS.sleep(LONGEST_S);
                rig.note("CANNOT RUN: not done within " + LONGEST_S + " s");
                rig.endAll();
                Runtime.getRuntime().halt(2);
            } catch (InterruptedException e) {
                // the case is over
            }
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int status;
        try {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            rig.note("trouble: " + (trouble ? "yes" : "no"));
            boolean held = body.run(rig, trouble);
            rig.note(held ? "HELD" : "BROKEN");
            status = held ? 0 : 1;
        } catch (Exception e) {
            rig.note("CANNOT RUN: " + e);
            e.printStackTrace();
            status = 2;
        }
        rig.close();
        Runtime.getRuntime().halt(status);
    }

    void note(String line) {
        synchronized (record) {
            record.printf("%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, line);
            record.flush();
        }
        System.out.println(line);
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    private synchronized void endAll() {
        for (Process p : processes) {
            p.destroyForcibly();
        }
        for (Process p : processes) {
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() {
        endAll();
        for (Closeable c : toClose) {
            try {
                c.close();
            } catch (IOException e) {
                // it is over
            }
        }
        try (Stream<Path> all = Files.walk(temporary)) {
            all.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            // the temporary folder stays
        }
    }

    // ---- ports and files

    static int[] freePorts(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            held.add(s);
            ports[i] = s.getLocalPort();
        }
        for (ServerSocket s : held) {
            s.close();
        }
        return ports;
    }

    /** The repository's example configuration, with replacements (each must be found). */
    String exampleConfiguration(String... fromTo) throws IOException {
        return replaced(Files.readString(root.resolve("examples/configuration.json")), fromTo);
    }

    static String replaced(String text, String... fromTo) {
        String result = text;
        for (int i = 0; i < fromTo.length; i += 2) {
            if (!result.contains(fromTo[i])) {
                throw new CannotRun("the example configuration has no " + fromTo[i]);
            }
            result = result.replace(fromTo[i], fromTo[i + 1]);
        }
        return result;
    }

    /** The object under "settings" of a configuration. */
    static String settingsOf(String configuration) {
        int from = configuration.indexOf('{', configuration.indexOf("\"settings\""));
        int depth = 0;
        for (int i = from; i < configuration.length(); i++) {
            depth += configuration.charAt(i) == '{' ? 1 : configuration.charAt(i) == '}' ? -1 : 0;
            if (depth == 0) {
                return configuration.substring(from, i + 1);
            }
        }
        throw new CannotRun("the configuration has no settings");
    }

    // ---- coordinators

    /** A coordinator that was started with the deploy file's command. */
    final class Coordinator {
        final String name;
        final int port;
        final Path log;
        private final Path configuration;
        private final Path operator;
        Process process;

        Coordinator(String name, int port, String configurationText, String operatorText) throws IOException {
            this.name = name;
            this.port = port;
            log = temporary.resolve(name + ".out");
            configuration = temporary.resolve(name + ".json");
            Files.writeString(configuration, configurationText);
            operator = operatorText == null ? null : temporary.resolve(name + ".yaml");
            if (operator != null) {
                Files.writeString(operator, operatorText);
            }
        }

        void configure(String text) throws IOException {
            Path next = temporary.resolve(name + ".json.next");
            Files.writeString(next, text);
            Files.move(next, configuration, java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        void start() throws IOException {
            String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                    .filter(l -> l.startsWith("run = \"")).findFirst().orElseThrow();
            run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
            ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c",
                    run + (operator == null ? "" : " --operator " + operator)).directory(root.toFile())
                    .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            Path scratch = Files.createDirectories(temporary.resolve("tmp-" + name));
            b.environment().put("TMPDIR", scratch.toString());
            b.environment().put("PROXY_CONFIG", configuration.toString());
            b.environment().put("PROXY_NAME", name);
            b.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
            process = b.start();
            synchronized (Rig.this) {
                processes.add(process);
            }
            note("start " + name + " (process " + process.pid() + ")");
        }

        boolean isHealthy() {
            try {
                return Http.call(port, "GET /healthz HTTP/1.1", "", 1000).status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitHealthy(int seconds) throws InterruptedException {
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            while (!isHealthy()) {
                if (System.nanoTime() > until || !process.isAlive()) {
                    throw new CannotRun(name + " is not ready:\n" + tail());
                }
                Thread.sleep(10);
            }
            note(name + " answers /healthz with 200");
        }

        String tail() {
            try {
                List<String> lines = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
                return String.join("\n", lines.subList(Math.max(0, lines.size() - 30), lines.size()));
            } catch (IOException e) {
                return e.toString();
            }
        }

        String logText() throws IOException {
            return Files.exists(log) ? Files.readString(log, StandardCharsets.ISO_8859_1) : "";
        }

        /** TERM, KILL, STOP, CONT or HUP. */
        void signal(String signal) throws IOException, InterruptedException {
            note("SIG" + signal + " to " + name + " (process " + process.pid() + ")");
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        void kill() throws IOException, InterruptedException {
            signal("KILL");
            process.waitFor(10, TimeUnit.SECONDS);
        }
    }

    // ---- readers

    /** What a reader was sent, and how it answers. */
    static final class Part {
        final Reader reader;
        final String id;
        final int shard;
        final String list;
        final String text;
        final double at;
        private final Socket socket;

        Part(Reader reader, String id, int shard, String list, String text, double at, Socket socket) {
            this.reader = reader;
            this.id = id;
            this.shard = shard;
            this.list = list;
            this.text = text;
            this.at = at;
            this.socket = socket;
        }

        void answer(int end, String value) {
            try {
                Reader.send(socket, 'O', id + " " + end + " 0 -\n" + value);
            } catch (IOException e) {
                // the coordinator has gone
            }
        }

        void answerWhole() {
            answer(200, "shard " + shard + " of " + text);
        }
    }

    interface OnPart {
        void sent(Part part) throws Exception;
    }

    /** A reader by the platform's frames; a part is given to onPart on a thread of its connection. */
    static final class Reader implements Closeable {
        final String name;
        final ServerSocket listener;
        private final Rig rig;
        private final OnPart onPart;

        Reader(Rig rig, String name, OnPart onPart) throws IOException {
            this.rig = rig;
            this.name = name;
            this.onPart = onPart;
            listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            daemon(this::accept);
            rig.toClose.add(this);
        }

        int port() {
            return listener.getLocalPort();
        }

        private void accept() {
            while (true) {
                try {
                    Socket s = listener.accept();
                    s.setTcpNoDelay(true);
                    daemon(() -> serve(s));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                DataInputStream in = new DataInputStream(socket.getInputStream());
                while (true) {
                    byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
                    in.readFully(frame);
                    String text = new String(frame, 1, frame.length - 1, StandardCharsets.UTF_8);
                    switch (frame[0]) {
                        case 'D' -> {
                            String[] line = text.substring(0, text.indexOf('\n')).split(" ");
                            onPart.sent(new Part(this, line[0], Integer.parseInt(line[1]), line[2],
                                    text.substring(text.indexOf('\n') + 1), rig.seconds(), socket));
                        }
                        case 'U' -> send(socket, 'U', "inflight=1,qps=1");
                        case 'I' -> send(socket, 'I', "200");
                        default -> { }
                    }
                }
            } catch (EOFException e) {
                // the coordinator has closed the connection
            } catch (Exception e) {
                // reset by the coordinator, or closed at the end
            }
        }

        static void send(Socket socket, char letter, String rest) throws IOException {
            byte[] bytes = (letter + rest).getBytes(StandardCharsets.UTF_8);
            byte[] frame = new byte[4 + bytes.length];
            for (int i = 0; i < 4; i++) {
                frame[i] = (byte) (bytes.length >> 8 * i);
            }
            System.arraycopy(bytes, 0, frame, 4, bytes.length);
            synchronized (socket) {
                OutputStream out = socket.getOutputStream();
                out.write(frame);
                out.flush();
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** An inventory as configuration tools keep it: readers by their cell. */
    Path inventory(Map<Reader, Integer> cells) throws IOException {
        StringBuilder csv = new StringBuilder("id,group,ansible_host,ansible_port,cell\n");
        cells.forEach((r, cell) -> csv.append(r.name).append(",district-").append(cell).append(",127.0.0.1,")
                .append(r.port()).append(',').append(cell).append('\n'));
        Path file = temporary.resolve("readers.csv");
        Files.writeString(file, csv.toString());
        return file;
    }

    // ---- clients

    /** One HTTP call on a connection of its own. */
    static final class Http {
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        String body = "";

        static Http call(int port, String line, String body, int timeoutMs) throws IOException {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress("127.0.0.1", port), timeoutMs);
                s.setSoTimeout(timeoutMs);
                s.setTcpNoDelay(true);
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                String head = line + "\r\nHost: app\r\nConnection: close\r\nContent-Length: " + bytes.length
                        + "\r\n\r\n";
                OutputStream out = s.getOutputStream();
                out.write(head.getBytes(StandardCharsets.UTF_8));
                out.write(bytes);
                out.flush();
                return read(s.getInputStream());
            }
        }

        static Http read(InputStream in) throws IOException {
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                int b = in.read();
                if (b < 0) {
                    throw new EOFException("the connection ended without an answer");
                }
                head.write(b);
            }
            Http h = new Http();
            String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
            h.status = Integer.parseInt(lines[0].split(" ")[1]);
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                h.headers.put(lines[i].substring(0, colon).toLowerCase(), lines[i].substring(colon + 1).trim());
            }
            int length = Integer.parseInt(h.headers.getOrDefault("content-length", "0"));
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("the answer was cut short");
            }
            h.body = new String(body, StandardCharsets.UTF_8);
            return h;
        }
    }

    /** A query of the platform's protocol over these shards; the answer, or the failure as text with status 0. */
    static Http query(int port, String id, String kind, int deadlineMs, String text, int... shards) {
        StringBuilder parts = new StringBuilder();
        for (int s : shards) {
            parts.append(parts.length() == 0 ? "" : ",").append("{\"id\":").append(s).append('}');
        }
        try {
            return Http.call(port, "POST /api/7f3a HTTP/1.1\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind
                    + "\r\nReq-Owner: duna-cab\r\nReq-Deadline-Ms: " + deadlineMs,
                    "{\"parts\":[" + parts + "],\"expr\":\"" + text + "\"}", deadlineMs + 200);
        } catch (SocketTimeoutException e) {
            Http none = new Http();
            none.body = "no answer within " + (deadlineMs + 200) + " ms";
            return none;
        } catch (IOException e) {
            Http none = new Http();
            none.body = e.toString();
            return none;
        }
    }

    /** A write to the store at this operators' port; follows one redirect as the store command does. */
    static Http put(int port, String key, long from, String value, int timeoutMs) throws IOException {
        Http h = Http.call(port, "PUT /store/" + key + "?from=" + from + " HTTP/1.1", value, timeoutMs);
        if (h.status == 307) {
            String to = h.headers.get("location");
            int leader = Integer.parseInt(to.replaceFirst("^http://127\\.0\\.0\\.1:(\\d+)/.*$", "$1"));
            h = Http.call(leader, "PUT /store/" + key + "?from=" + from + " HTTP/1.1", value, timeoutMs);
        }
        return h;
    }

    static Thread daemon(Runnable action) {
        Thread t = new Thread(action);
        t.setDaemon(true);
        t.start();
        return t;
    }
}
