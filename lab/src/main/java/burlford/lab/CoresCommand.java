package burlford.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * One coordinator after the other with so many lanes, each before the same stand-in readers and clients: what it
 * answers at most, how long it takes at a part of that, and whether a rule was broken.
 */
@Command(name = "cores", mixinStandardHelpOptions = true,
        description = "Measures a coordinator on one, two, four cores. Exit status 1: a rule was broken.")
final class CoresCommand implements Callable<Integer> {

    /** Of one lane's saturation, the load at which latency is measured. */
    private static final double LOAD = 0.7;

    @Option(names = "--lanes", split = ",", defaultValue = "1,2,4")
    private List<Integer> lanes;
    @Option(names = "--seconds", defaultValue = "10", description = "of each measurement")
    private double seconds;
    @Option(names = "--json", description = "where the figures go")
    private Path jsonFile;
    @Option(names = "--jar", defaultValue = "coordinator/target/burlford.jar")
    private Path jar;
    @Option(names = "--connections", defaultValue = "48", description = "clients for each lane at saturation")
    private int connections;
    @Option(names = "--rate", description = "one lane's saturation, where it is known; else it is measured")
    private double rate;
    @Option(names = "--faults", description = "readers stand still and die meanwhile")
    private boolean faults;
    @Option(names = "--most", defaultValue = "10000000", description = "queries at most in one measurement")
    private long most;
    @Option(names = "--only", description = "saturation: nothing else is measured")
    private String only;
    @Option(names = "--service-us", defaultValue = "1000", description = "mean time a part takes at a reader")
    private long service;
    @Option(names = "--java-options", split = " ", defaultValue = "-XX:+UseParallelGC -Xms512m -Xmx512m -Xmn320m")
    private List<String> javaOptions;
    @Option(names = "--separate", description = "in place of lanes so many coordinators, which share nothing: what the "
            + "machine gives at most")
    private boolean separate;
    @Option(names = "--seed", defaultValue = "1")
    private long seed;

    private final ObjectMapper json = new ObjectMapper();
    private double oneLane;

    @Override
    public Integer call() throws Exception {
        oneLane = rate;
        ObjectNode file = json.createObjectNode();
        ArrayNode runs = file.putArray("runs");
        System.out.printf("%-6s %10s %8s %8s %8s %8s %8s %7s %9s %9s %7s %7s %6s %6s %6s%n", "lanes", "answered/s",
                "p50 ms", "p99 ms", "p50 xN", "p99 xN", "cores", "others", "refused", "probes/p", "2copies", "over",
                "lost", "wrong", "rss MB");
        boolean broken = false;
        for (int n : lanes) {
            ObjectNode run = run(n);
            runs.add(run);
            System.out.printf(Locale.ROOT,
                    "%-6d %10.0f %8.2f %8.2f %8.2f %8.2f %8.2f %7.2f %9d %9.3f %7d %7d %6d %6d %6.0f%n", n,
                    run.path("throughput").asDouble(), run.path("p50_ms").asDouble(), run.path("p99_ms").asDouble(),
                    run.path("p50_each_ms").asDouble(), run.path("p99_each_ms").asDouble(), run.path("cpu_cores")
                    .asDouble(), run.path("readers_cores").asDouble() + run.path("load_cores").asDouble(),
                    run.path("refused").asLong(), run.path("probes_per_part").asDouble(),
                    run.path("second_copies").asLong(), run.path("over_limit").asLong(), run.path("lost").asLong(),
                    run.path("wrong").asLong(), run.path("rss_mb").asDouble());
            for (String rule : List.of("second_copies", "over_limit", "lost", "wrong", "wrong_shard", "bad")) {
                broken |= run.path(rule).asLong() > 0;
            }
        }
        if (jsonFile != null) {
            Files.writeString(jsonFile, file.toPrettyString() + "\n");
        }
        return broken ? 1 : 0;
    }

    private ObjectNode run(int n) throws Exception {
        Path work = Files.createTempDirectory("burlford-lab");
        try (ChildProcess readers = readers(work)) {
            JsonNode addresses = json.readTree(readers.readLine());
            List<ChildProcess> coordinators = new ArrayList<>();
            try {
                List<Integer> ports = new ArrayList<>();
                for (int i = 0; i < (separate ? n : 1); i++) {
                    Path log = work.resolve("coordinator-" + i + ".log");
                    ChildProcess c = coordinator(work, separate ? 1 : n, addresses, log);
                    coordinators.add(c);
                    ports.add(Integer.parseInt(c.awaitMatch(log, "serves platform at 127\\.0\\.0\\.1:(\\d+)")));
                }
                ObjectNode run = measure(n, ports, readers, coordinators);
                for (ChildProcess c : coordinators) {
                    c.stop();
                }
                return run;
            } finally {
                coordinators.forEach(ChildProcess::close);
            }
        } finally {
            try (var files = Files.list(work)) {
                for (Path f : files.toList()) {
                    Files.delete(f);
                }
            }
            Files.delete(work);
        }
    }

    private ObjectNode measure(int n, List<Integer> port, ChildProcess readers, List<ChildProcess> coordinators)
            throws Exception {
        LoadGenerator.Result all = new LoadGenerator.Result();
        all.add(LoadGenerator.run(plan(port, connections * n, 0, seconds / 2, seed * 100 + 1))); // warms both
        ObjectNode run = json.createObjectNode().put("lanes", n);
        JsonNode before = json.readTree(readers.sendAndReadLine("audit"));
        double cpu = cpu(coordinators);
        double readersCpu = readers.cpuSeconds();
        double loadCpu = ChildProcess.ownCpuSeconds();
        LoadGenerator.Result full = LoadGenerator.run(plan(port, connections * n, 0, seconds, seed * 100 + 2));
        JsonNode after = json.readTree(readers.sendAndReadLine("audit"));
        all.add(full);
        run.put("throughput", full.throughput()).put("saturated_p50_ms", full.latencyMs(50)).put("saturated_p99_ms",
                full.latencyMs(99));
        // Of what was measured and of what measures: where the sum nears the machine's cores, that is the bound.
        double took = seconds + LoadGenerator.WARM_UP_S;
        run.put("cpu_cores", (cpu(coordinators) - cpu) / took)
                .put("readers_cores", (readers.cpuSeconds() - readersCpu) / took)
                .put("load_cores", (ChildProcess.ownCpuSeconds() - loadCpu) / took);
        run.put("probes_per_part", (after.path("probes").asDouble() - before.path("probes").asDouble())
                / Math.max(1, after.path("parts").asDouble() - before.path("parts").asDouble()));
        oneLane = oneLane == 0 ? full.throughput() / n : oneLane;
        if (!"saturation".equals(only)) {
            LoadGenerator.Result same = LoadGenerator.run(plan(port, connections * n * 2, LOAD * oneLane, seconds,
                    seed * 100 + 3));
            JsonNode same2 = json.readTree(readers.sendAndReadLine("audit"));
            all.add(same);
            run.put("rate", LOAD * oneLane).put("p50_ms", same.latencyMs(50)).put("p99_ms", same.latencyMs(99));
            run.put("probes_per_part_at_rate", (same2.path("probes").asDouble() - after.path("probes").asDouble())
                    / Math.max(1, same2.path("parts").asDouble() - after.path("parts").asDouble()));
            LoadGenerator.Result each = n == 1 ? same
                    : LoadGenerator.run(plan(port, connections * n * 2, LOAD * oneLane * n, seconds, seed * 100 + 4));
            if (n > 1) {
                all.add(each);
            }
            run.put("p50_each_ms", each.latencyMs(50)).put("p99_each_ms", each.latencyMs(99));
        }
        JsonNode audit = json.readTree(readers.sendAndReadLine("audit"));
        run.put("sent", all.sent).put("answered", all.answered).put("refused", all.refused).put("failed", all.failed)
                .put("lost", all.lost).put("wrong", all.wrongAnswers).put("bad", all.unexpectedStatuses);
        run.put("parts", audit.path("parts").asLong()).put("further", audit.path("further").asLong());
        run.put("second_copies", audit.path("second_copies").asLong()).put("over_limit", audit.path("over_limit")
                .asLong()).put("wrong_shard", audit.path("wrong_shard").asLong()).put("double_probes",
                audit.path("double_probes").asLong());
        double rss = 0;
        for (ChildProcess c : coordinators) {
            rss += c.rssMb();
        }
        return run.put("rss_mb", rss);
    }

    private static double cpu(List<ChildProcess> coordinators) throws IOException {
        double sum = 0;
        for (ChildProcess c : coordinators) {
            sum += c.cpuSeconds();
        }
        return sum;
    }

    private LoadGenerator.Plan plan(List<Integer> port, int clients, double perSecond, double time, long withSeed) {
        return new LoadGenerator.Plan(port, clients, perSecond, time, most, 4000, 4, 2, withSeed);
    }

    private ChildProcess readers(Path work) throws IOException {
        List<String> command = new ArrayList<>(List.of(ChildProcess.javaExecutable(), "-XX:+UseSerialGC", "-Xmx512m",
                "-cp", System.getProperty("java.class.path"), "burlford.lab.Lab", "readers", "--service-us",
                "" + service, "--seed", "" + seed));
        if (faults) {
            command.add("--faults");
        }
        return new ChildProcess(command, Map.of(), work.resolve("readers.log"));
    }

    private ChildProcess coordinator(Path work, int n, JsonNode addresses, Path log) throws IOException {
        StringBuilder inventory = new StringBuilder("id,ansible_host,ansible_port,cell\n");
        for (int i = 0; i < addresses.size(); i++) {
            inventory.append("r").append(i).append(",127.0.0.1,").append(addresses.get(i).path("port").asInt())
                    .append(',').append(addresses.get(i).path("cell").asInt()).append('\n');
        }
        Files.writeString(work.resolve("readers.csv"), inventory);
        // A jar from before lanes knows no such key, and one lane needs none.
        Files.writeString(work.resolve("operator.yaml"), "inventory: readers.csv\n" + (n == 1 ? "" : "cores: " + n
                + "\n"));
        try (InputStream in = CoresCommand.class.getResourceAsStream("configuration.json")) {
            Files.write(work.resolve("configuration.json"), in.readAllBytes());
        }
        List<String> command = new ArrayList<>(List.of(ChildProcess.javaExecutable()));
        command.addAll(javaOptions);
        command.addAll(List.of("-jar", jar.toString(), "serve", "--operator", work.resolve("operator.yaml")
                .toString()));
        return new ChildProcess(command, Map.of("PROXY_CONFIG", work.resolve("configuration.json").toString()),
                log);
    }
}
