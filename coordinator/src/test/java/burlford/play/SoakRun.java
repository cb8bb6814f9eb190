package burlford.play;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Plays a plan of faults on a real process, up to its kill at the earliest that the platform may, and lists the rules
 * that were broken.
 *
 * @param clients number of good clients
 * @param misbehaviour of bad clients beside them
 * @param asDeployed whether the process is started as deployed, with the least memory, and has to stay within it
 */
record SoakRun(int clients, Misbehaviour misbehaviour, boolean asDeployed) {

    private static final int IDLE_CLIENTS = 80;
    private static final int KILL_BEHIND_DEADLINE_MS = 700;
    static final int DRAIN_GRACE_MS = 300;
    static final int MOST_EXTRA = 3;
    static final double EXTRA_SHARE = 0.1;
    private static final int LEAST_MEMORY_MB = 96;
    private static final int KB_PER_MB = 1024;

    /** Good clients alone, and a process without a bound on its memory. */
    static SoakRun withGoodClients(int clients) {
        return new SoakRun(clients, Misbehaviour.NONE, false);
    }

    static SoakRun deployed(int clients, Misbehaviour misbehaviour) {
        return new SoakRun(clients, misbehaviour, true);
    }

    /** A line for each broken rule, and whether any request was answered. */
    record Result(List<String> violations, boolean answeredAny) { }

    Result play(FaultPlan plan, SplittableRandom random) throws Exception {
        Audit audit = new Audit(plan.deadlineMs(), DRAIN_GRACE_MS);
        if (plan.limitsFurtherAttempts()) {
            audit.limitFurtherAttempts(MOST_EXTRA, EXTRA_SHARE);
        }
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
        List<SoakReader> readers = new ArrayList<>();
        for (int i = 0; i < FaultSoakTest.READERS; i++) {
            readers.add(new SoakReader("s" + i, random.nextLong(), timer, audit));
        }
        List<Socket> idle = new ArrayList<>();
        List<String> violations = new ArrayList<>();
        SoakDiscovery discovery = new SoakDiscovery(readers, audit);
        try (CoordinatorProcess program = start(FaultSoakTest.configuration(readers, discovery, plan));
                BadClients bad = new BadClients(program.port("platform"))) {
            int port = program.port("platform");
            for (int i = 0; plan.socketsScarce() && i < IDLE_CLIENTS; i++) {
                idle.add(new Socket(InetAddress.getLoopbackAddress(), port));
            }
            List<SoakClient> good = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                SoakClient client = new SoakClient(port, "c" + i, plan.deadlineMs(), random.nextLong(), audit);
                client.leaveAtDeadline(plan.pauseCount() > 0);
                good.add(client);
                threads.add(new Thread(client));
            }
            threads.forEach(Thread::start);
            misbehaviour.play(bad);
            // Behind the pauses every request is owed an answer in time again, through the shutdown.
            plan.injectFaults(program, readers, discovery, audit,
                    () -> good.forEach(client -> client.leaveAtDeadline(false)));
            checkProcess(program, violations);
            signalAndKill(program, plan);
            good.forEach(SoakClient::stop);
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
        violations.addAll(audit.violations());
        return new Result(violations, audit.completedRequests().stream()
                .anyMatch(e -> e.outcome() == SoakClient.Outcome.ANSWERED));
    }

    private CoordinatorProcess start(ObjectNode configuration) throws Exception {
        if (!asDeployed) {
            return CoordinatorProcess.serve(configuration, null);
        }
        ((ObjectNode) configuration.get("limits")).put("memory_mb", LEAST_MEMORY_MB);
        return CoordinatorProcess.serveDeployed(configuration);
    }

    private void checkProcess(CoordinatorProcess program, List<String> violations) throws Exception {
        if (!program.isAlive()) {
            violations.add("the process has ended: " + program.log());
        } else if (asDeployed && program.peakMemoryKb() > LEAST_MEMORY_MB * KB_PER_MB) {
            violations.add("memory: " + program.peakMemoryKb() + " KiB");
        }
    }

    /** What the process itself has found broken. A pause may make an answer late, which is not the process's fault. */
    private static List<String> violationsIn(String log, boolean paused) {
        return log.lines().filter(line -> line.contains("rule violated") || line.contains("OutOfMemoryError"))
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
}
