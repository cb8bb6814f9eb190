package burlford.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A program that the laboratory started: its input, its output line by line, its memory, its end. */
final class ChildProcess implements AutoCloseable {

    private static final long PATIENCE_S = 20;

    private final Process process;
    private final BufferedReader out;

    ChildProcess(List<String> command, Map<String, String> environment, Path errors) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).redirectError(errors.toFile());
        builder.environment().putAll(environment);
        process = builder.start();
        out = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    static String javaExecutable() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    String readLine() throws IOException {
        String line = out.readLine();
        if (line == null) {
            throw new IOException("the program has ended");
        }
        return line;
    }

    String sendAndReadLine(String line) throws IOException {
        process.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        process.getOutputStream().flush();
        return readLine();
    }

    /** Waits until a file has a match, and gives its first group. */
    String awaitMatch(Path file, String regex) throws IOException, InterruptedException {
        Pattern pattern = Pattern.compile(regex);
        for (long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S); System.nanoTime() < until;) {
            Matcher m = pattern.matcher(Files.readString(file));
            if (m.find()) {
                return m.group(1);
            }
            if (!process.isAlive()) {
                break;
            }
            Thread.sleep(20);
        }
        throw new IOException("no " + regex + " in:\n" + Files.readString(file));
    }

    long pid() {
        return process.pid();
    }

    double rssMb() throws IOException {
        return kilobytes("VmRSS") / 1024.0;
    }

    private long kilobytes(String key) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith(key + ":")) {
                return Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        return 0;
    }

    /** Seconds of CPU time so far, as clock ticks of a hundredth. */
    double cpuSeconds() throws IOException {
        return cpuSeconds(String.valueOf(process.pid()));
    }

    static double ownCpuSeconds() throws IOException {
        return cpuSeconds("self");
    }

    private static double cpuSeconds(String pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] words = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(words[11]) + Long.parseLong(words[12])) / 100.0;
    }

    /** Tells it to stop and gives what it printed. */
    String stop() throws IOException, InterruptedException {
        process.toHandle().destroy();
        StringBuilder rest = new StringBuilder();
        for (String line = out.readLine(); line != null; line = out.readLine()) {
            rest.append(line).append('\n');
        }
        if (!process.waitFor(PATIENCE_S, TimeUnit.SECONDS)) {
            throw new IOException("it does not end");
        }
        return rest.toString();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
