package burlford.play;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The program in a process of its own, and what it prints. */
public final class CoordinatorProcess implements AutoCloseable {

    /** Longer than anything takes; only a test that fails waits so long. */
    static final long TIMEOUT_MS = 20_000;

    private final Process process;
    private final StringBuilder err = new StringBuilder();
    private final StringBuilder out = new StringBuilder();
    private final List<Thread> readers = new ArrayList<>();
    private Path file;

    public CoordinatorProcess(Map<String, String> environment, String... args) throws IOException {
        this(0, environment, args);
    }

    /** descriptors: the limit that the system sets the process; 0: none of its own. */
    private CoordinatorProcess(int descriptors, Map<String, String> environment, String... args) throws IOException {
        this(command(descriptors, args), environment, null);
    }

    private CoordinatorProcess(List<String> command, Map<String, String> environment, Path folder)
            throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        builder.directory(folder == null ? null : folder.toFile());
        process = builder.start();
        read(process.getErrorStream(), err);
        read(process.getInputStream(), out);
    }

    private static List<String> command(int descriptors, String... args) {
        List<String> command = new ArrayList<>();
        if (descriptors > 0) {
            command.addAll(List.of("sh", "-c", "ulimit -n " + descriptors + "; exec \"$0\" \"$@\""));
        }
        command.addAll(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"),
                "burlford.Main"));
        command.addAll(List.of(args));
        return command;
    }

    /** Serves with this configuration in a JVM sized for its memory limit, as {@code deploy/serve} starts it. */
    static CoordinatorProcess serveDeployed(ObjectNode configuration) throws IOException {
        Path file = temporaryFile(".json", new ObjectMapper().writeValueAsString(configuration));
        CoordinatorProcess program = new CoordinatorProcess(
                List.of("sh", Path.of("..", "deploy", "serve").toRealPath().toString()),
                Map.of("PROXY_CONFIG", file.toString()), DeployedJar.folder());
        program.file = file;
        return program;
    }

    /** Serves with this configuration, and the operator's file if there is one. */
    public static CoordinatorProcess serve(ObjectNode configuration, String operator) throws IOException {
        return serve(configuration, operator, Map.of());
    }

    /** As the other, with variables of its environment. */
    static CoordinatorProcess serve(ObjectNode configuration, String operator, Map<String, String> environment)
            throws IOException {
        Path file = temporaryFile(".json", new ObjectMapper().writeValueAsString(configuration));
        String[] args = operator == null ? new String[] {"serve"}
                : new String[] {"serve", "--operator", temporaryFile(".yaml", operator).toString()};
        Map<String, String> variables = new HashMap<>(environment);
        variables.put("PROXY_CONFIG", file.toString());
        CoordinatorProcess program = new CoordinatorProcess(variables, args);
        program.file = file;
        return program;
    }

    /** Serves with this configuration under a limit of descriptors. */
    static CoordinatorProcess serveWithDescriptorLimit(int descriptors, ObjectNode configuration) throws IOException {
        Path file = temporaryFile(".json", new ObjectMapper().writeValueAsString(configuration));
        return new CoordinatorProcess(descriptors, Map.of("PROXY_CONFIG", file.toString()), "serve");
    }

    static Path temporaryFile(String ending, String text) throws IOException {
        Path file = Files.createTempFile("burlford", ending);
        file.toFile().deleteOnExit();
        return Files.writeString(file, text);
    }

    private void read(InputStream from, StringBuilder into) {
        Thread t = new Thread(() -> {
            byte[] some = new byte[4096];
            try {
                for (int n = from.read(some); n >= 0; n = from.read(some)) {
                    synchronized (this) {
                        into.append(new String(some, 0, n, StandardCharsets.UTF_8));
                        notifyAll();
                    }
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        t.setDaemon(true);
        t.start();
        readers.add(t);
    }

    /** Waits until the log matches, and gives the first group. */
    public synchronized String awaitLog(String regex) throws InterruptedException {
        long until = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        Pattern pattern = Pattern.compile(regex);
        for (Matcher m = pattern.matcher(err); ; m = pattern.matcher(err)) {
            if (m.find()) {
                return m.groupCount() == 0 ? m.group() : m.group(1);
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0 || !process.isAlive() && readers.stream().noneMatch(Thread::isAlive)) {
                throw new AssertionError("the log has no " + regex + ":\n" + err);
            }
            wait(Math.min(left, 100));
        }
    }

    public int port(String front) throws InterruptedException {
        return Integer.parseInt(awaitLog("serves " + front + " at 127\\.0\\.0\\.1:(\\d+)"));
    }

    /** Writes its configuration file anew. */
    void writeConfiguration(ObjectNode configuration) throws IOException {
        Files.writeString(file, new ObjectMapper().writeValueAsString(configuration));
    }

    /** The most memory that the process has held at once, in KiB. */
    long peakMemoryKb() throws IOException {
        return memoryKb("VmHWM");
    }

    /** The memory that the process holds, in KiB. */
    long memoryKb() throws IOException {
        return memoryKb("VmRSS");
    }

    private long memoryKb(String field) throws IOException {
        Path status = Path.of("/proc", String.valueOf(process.pid()), "status");
        String text = Files.exists(status) ? Files.readString(status) : "";
        Matcher line = Pattern.compile("(?m)^" + field + ":\\s+([0-9]+) kB$").matcher(text);
        if (!line.find()) {
            throw new AssertionError("the process has ended:\n" + log());
        }
        return Long.parseLong(line.group(1));
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    public void terminate() {
        process.toHandle().destroy(); // unlike Process.destroy, leaves its streams open
    }

    public int awaitExit() throws InterruptedException {
        if (!process.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            throw new AssertionError("the program still runs:\n" + err);
        }
        for (Thread t : readers) {
            t.join(TIMEOUT_MS);
        }
        return process.exitValue();
    }

    public synchronized String out() {
        return out.toString();
    }

    public synchronized String log() {
        return err.toString();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
