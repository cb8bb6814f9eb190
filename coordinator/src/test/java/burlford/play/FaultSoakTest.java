package burlford.play;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * A real process under faults that are drawn together by a seed, audited for all rules: it stands still for a while,
 * readers fail, break, hang, drain and start anew, clients leave, it is told to reload and to stop by signals in series
 * while clients go on sending, and killed at the earliest that the platform may. {@code -Dsoak.seeds=50 -Dsoak.first=1}
 * for more.
 */
class FaultSoakTest {

    private static final int SEEDS = Integer.getInteger("soak.seeds", 12);
    private static final int FIRST = Integer.getInteger("soak.first", 1);
    private static final int CLIENTS = 12;
    static final int READERS = 3;
    private static final int IDLE_CLIENTS = 80;
    private static final int FEW_DESCRIPTORS = 96;
    private static final int KILL_BEHIND_DEADLINE_MS = 700;
    private static final int DRAIN_GRACE_MS = 300;
    private static final int MOST_EXTRA = 3;
    private static final double EXTRA_SHARE = 0.1;

    /** Guards against rules broken under faults that come together; each line names the rule and the request. */
    @Test
    void noRuleIsBrokenUnderFaults() throws Exception {
        List<String> broken = new ArrayList<>();
        for (int seed = FIRST; seed < FIRST + SEEDS; seed++) {
            FaultPlan plan = FaultPlan.fromSeed(seed);
            run(plan, new SplittableRandom(seed)).forEach(line -> broken.add(plan + ": " + line));
        }
        assertThat(broken).isEmpty();
    }

    private static List<String> run(FaultPlan plan, SplittableRandom random) throws Exception {
        Audit audit = new Audit(plan.deadlineMs(), DRAIN_GRACE_MS);
        if (plan.limitsFurtherAttempts()) {
            audit.limitFurtherAttempts(MOST_EXTRA, EXTRA_SHARE);
        }
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
        List<SoakReader> readers = new ArrayList<>();
        for (int i = 0; i < READERS; i++) {
            readers.add(new SoakReader("s" + i, random.nextLong(), timer, audit));
        }
        List<Socket> idle = new ArrayList<>();
        List<String> violations = new ArrayList<>();
        SoakDiscovery discovery = new SoakDiscovery(readers, audit);
        try (CoordinatorProcess program = CoordinatorProcess.serve(configuration(readers, discovery, plan), null)) {
            int port = program.port("platform");
            for (int i = 0; plan.socketsScarce() && i < IDLE_CLIENTS; i++) {
                idle.add(new Socket(InetAddress.getLoopbackAddress(), port));
            }
            List<SoakClient> clients = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                SoakClient client = new SoakClient(port, "c" + i, plan.deadlineMs(), random.nextLong(), audit);
                client.leaveAtDeadline(plan.pauseCount() > 0);
                clients.add(client);
                threads.add(new Thread(client));
            }
            threads.forEach(Thread::start);
            // Behind the pauses every request is owed an answer in time again, through the shutdown.
            plan.injectFaults(program, readers, discovery, audit,
                    () -> clients.forEach(client -> client.leaveAtDeadline(false)));
            signalAndKill(program, plan);
            clients.forEach(SoakClient::stop);
            for (Thread t : threads) {
                t.join();
            }
            violations.addAll(violationsIn(program.log(), plan.pauseCount() > 0));
        } finally {
            timer.shutdownNow();
            discovery.close();
            for (SoakReader r : readers) {
                r.close();
            }
            for (Socket s : idle) {
                s.close();
            }
        }
        assertThat(audit.completedRequests()).as(plan.toString())
                .anyMatch(e -> e.outcome() == SoakClient.Outcome.ANSWERED);
        violations.addAll(audit.violations());
        return violations;
    }

    /** What the process itself has found broken. A pause may make an answer late, which is not the process's fault. */
    static List<String> violationsIn(String log, boolean paused) {
        return log.lines().filter(line -> line.contains("rule violated"))
                .filter(line -> !paused || !line.contains("ANSWER_LATE")).toList();
    }

    private static void signalAndKill(CoordinatorProcess program, FaultPlan plan) throws Exception {
        long told = 0;
        for (String signal : plan.signals()) {
            program.signal(signal);
            told = told == 0 && signal.equals("TERM") ? System.nanoTime() : told;
        }
        long kill = told + TimeUnit.MILLISECONDS.toNanos(plan.deadlineMs() + KILL_BEHIND_DEADLINE_MS);
        while (program.isAlive() && System.nanoTime() < kill) {
            Thread.sleep(1);
        }
        program.close();
    }

    /** One with these faultless or faulty readers and no discovery. */
    static ObjectNode configuration(List<SoakReader> readers, int deadlineMs, boolean crowd) throws IOException {
        return configuration(readers, null, FaultPlan.withoutInjectedFaults(deadlineMs, crowd));
    }

    private static ObjectNode configuration(List<SoakReader> readers, SoakDiscovery discovery, FaultPlan plan)
            throws IOException {
        ObjectNode configuration;
        try (InputStream in = FaultSoakTest.class.getResourceAsStream("/configuration.json")) {
            configuration = (ObjectNode) new ObjectMapper().readTree(in);
        }
        ArrayNode members = ((ObjectNode) configuration.get("known")).putArray("members");
        for (int i = 0; i < readers.size(); i++) {
            members.addObject().put("id", "s" + i).put("host_port", "127.0.0.1:" + readers.get(i).port())
                    .put("cell", i).put("phase", "Ready").put("up_since_ms", 0);
        }
        // Without discovery nobody is there: the list stays as known.
        configuration.put("discovery", "127.0.0.1:" + (discovery == null ? 9 : discovery.port()));
        ((ObjectNode) configuration.at("/settings/familyInfo")).put("reach", READERS);
        ((ObjectNode) configuration.at("/settings/allowed")).put("connectTimeout", 250_000).put("maxOpen", 400)
                .put("probing", plan.probing());
        configuration.at("/settings/classes").forEach(c -> ((ObjectNode) c).put("deadline", plan.deadlineMs() * 1000)
                .put("target", plan.deadlineMs() * 700));
        ((ObjectNode) configuration.at("/settings/classes/0")).put("effect", "dedup")
                .put("memorySpan", plan.deadlineMs() * 1000);
        ObjectNode rules = (ObjectNode) configuration.at("/settings/rules");
        rules.put("stopSendingWithin", DRAIN_GRACE_MS * 1000);
        if (plan.limitsFurtherAttempts()) {
            rules.put("minExtra", MOST_EXTRA).put("resendRatio", EXTRA_SHARE).put("lookBack",
                    Audit.BUDGET_WINDOW_MS * 1000);
        }
        if (plan.socketsScarce()) {
            ((ObjectNode) configuration.get("limits")).put("sockets", FEW_DESCRIPTORS);
        }
        return configuration;
    }
}
