import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What all cases need: the coordinators as processes of their own, started with the run line of deploy/balancer.toml,
 * a temporary folder, free ports, the record, and an end that leaves no process behind.
 */
final class Rig implements AutoCloseable {

    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int CANNOT_RUN = 2;

    /** The longest that a case may take, in milliseconds; the rules of the review allow 120 s. */
    private static final long LONGEST_RUN_MS = 112_000;

    /** A case: says whether the rule held. */
    interface Case {
        boolean holds(Rig rig) throws Exception;
    }

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root;
    final Path folder;
    private final long start = System.nanoTime();
    private final PrintWriter record;
    private final List<Process> processes = new ArrayList<>();
    private final String runLine;

    /** caseFolder: where record.txt goes; it lies in review/, which lies in the repository. */
    private Rig(Path caseFolder) throws IOException {
        root = caseFolder.toAbsolutePath().normalize().getParent().getParent();
        record = new PrintWriter(new BufferedWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt"))), false);
        folder = Files.createTempDirectory("burlford-review");
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find() || !Files.exists(root.resolve("coordinator/target/burlford.jar"))) {
            throw new IOException("the build of deploy/balancer.toml has not been run");
        }
        runLine = run.group(1);
    }

    /** Runs a case and ends this process with the exit status that the review asks for. */
    static void main(String[] args, Case what) {
        int status = CANNOT_RUN;
        try (Rig rig = new Rig(Path.of(args[0]))) {
            Thread watchdog = new Thread(() -> {
                try {
                    Thread.sleep(LONGEST_RUN_MS);
                } catch (InterruptedException e) {
                    return;
                }
                rig.note("the case took too long");
                rig.close();
                Runtime.getRuntime().halt(CANNOT_RUN);
            });
            watchdog.setDaemon(true);
            watchdog.start();
            Runtime.getRuntime().addShutdownHook(new Thread(rig::endProcesses));
            rig.note("trouble: " + rig.trouble);
            boolean holds = what.holds(rig);
            status = holds ? HELD : BROKEN;
            rig.note(holds ? "RESULT: the rule held" : "RESULT: the rule was broken");
            System.out.println(holds ? "the rule held" : "the rule was broken");
        } catch (Exception | AssertionError e) {
            System.out.println("the case could not run: " + e);
            e.printStackTrace();
        }
        System.exit(status);
    }

    /** Milliseconds since the case began. */
    double now() {
        return (System.nanoTime() - start) / 1e6;
    }

    /** Writes a line to record.txt. */
    void note(String line) {
        synchronized (record) {
            record.printf(Locale.ROOT, "%10.1f %s%n", now(), line);
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Loopback ports that were free a moment ago. */
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

    /** A coordinator as a process of its own. */
    final class Node {
        final String name;
        final int port;
        private final Path configuration;
        private final Path operator;
        Process process;

        /** discovery: its port, or 0 where the operator's file names the readers; operator: its text, or null. */
        Node(String name, int port, int discovery, int position, int memoryMb, String operatorText) throws IOException {
            this(name, port, Settings.configuration(name, port, discovery, position, memoryMb), operatorText);
        }

        Node(String name, int port, String configurationText, String operatorText) throws IOException {
            this.name = name;
            this.port = port;
            configuration = folder.resolve(name + ".json");
            Files.writeString(configuration, configurationText);
            operator = operatorText == null ? null : folder.resolve(name + ".yaml");
            if (operator != null) {
                Files.writeString(operator, operatorText);
            }
        }

        void start() throws IOException {
            Path tmp = Files.createTempDirectory(folder, "tmp-" + name);
            ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c",
                    operator == null ? runLine : runLine + " --operator '" + operator + "'");
            b.directory(root.toFile());
            b.environment().put("PROXY_CONFIG", configuration.toString());
            b.environment().put("PROXY_NAME", name);
            b.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
            b.environment().put("TMPDIR", tmp.toString());
            File log = folder.resolve(name + ".log").toFile();
            b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            process = b.start();
            synchronized (processes) {
                processes.add(process);
            }
            note("started coordinator " + name + ", process " + process.pid());
        }

        /** Whether GET /healthz answers 200 within the time. */
        boolean awaitReady(long ms) {
            long until = System.nanoTime() + ms * 1_000_000;
            while (System.nanoTime() < until && process.isAlive()) {
                try {
                    if (Http.get(port, "/healthz", 1_000).status == 200) {
                        return true;
                    }
                } catch (IOException e) {
                    // not yet
                }
                sleep(50);
            }
            return false;
        }

        /** Sends a signal to the process that the run line started. */
        void signal(String signal) throws IOException, InterruptedException {
            note("signal " + signal + " to coordinator " + name);
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
        }

        /** Ends it at once, as a kill outright does. */
        void kill() throws InterruptedException {
            note("signal KILL to coordinator " + name);
            process.destroyForcibly().waitFor();
        }

        /** The last lines of its log that say why something failed. */
        List<String> complaints() throws IOException {
            try (Stream<String> lines = Files.lines(folder.resolve(name + ".log"))) {
                return lines.filter(l -> l.contains("SEVERE") || l.contains("Error") || l.contains("burlford: "))
                        .limit(5).toList();
            }
        }
    }

    private void endProcesses() {
        synchronized (processes) {
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
            processes.clear();
        }
    }

    @Override
    public void close() {
        endProcesses();
        synchronized (record) {
            record.close();
        }
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        } catch (IOException | UncheckedIOException e) {
            System.out.println("the temporary folder stays: " + e);
        }
    }

    /** A few calls of HTTP/1.1 over a plain socket. */
    static final class Http {

        /** An answer as it came. */
        static final class Answer {
            final int status;
            final Map<String, String> headers;
            final String body;

            Answer(int status, Map<String, String> headers, String body) {
                this.status = status;
                this.headers = headers;
                this.body = body;
            }

            boolean announcesClose() {
                return "close".equalsIgnoreCase(headers.get("connection"));
            }
        }

        private Http() { }

        static Answer get(int port, String path, int timeoutMs) throws IOException {
            return call(port, "GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n", "",
                    timeoutMs);
        }

        static Answer put(int port, String path, String body, int timeoutMs) throws IOException {
            return call(port, "PUT " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\nContent-Length: "
                    + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n", body, timeoutMs);
        }

        private static Answer call(int port, String head, String body, int timeoutMs) throws IOException {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress("127.0.0.1", port), timeoutMs);
                s.setSoTimeout(timeoutMs);
                s.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
                return read(s.getInputStream());
            }
        }

        /** Reads one answer that has a length; throws where the connection ends before it is whole. */
        static Answer read(InputStream in) throws IOException {
            String[] start = line(in).split(" ");
            Map<String, String> headers = new HashMap<>();
            for (String h = line(in); !h.isEmpty(); h = line(in)) {
                int colon = h.indexOf(':');
                headers.put(h.substring(0, colon).toLowerCase(Locale.ROOT), h.substring(colon + 1).trim());
            }
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new IOException("the connection ended within an answer");
            }
            return new Answer(Integer.parseInt(start[1]), headers, new String(body, StandardCharsets.UTF_8));
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    throw new IOException("the connection ended");
                }
                if (c != '\r') {
                    line.append((char) c);
                }
            }
            return line.toString();
        }
    }
}
