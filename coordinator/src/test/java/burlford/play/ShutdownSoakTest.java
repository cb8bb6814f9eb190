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
 * The program is told to stop, by signals in series, while clients go on sending on their connections and readers fail,
 * break or hang; it is killed at the earliest that the platform may. {@code -Dsoak.seeds=50 -Dsoak.first=1} for more.
 */
class ShutdownSoakTest {

    private static final int SEEDS = Integer.getInteger("soak.seeds", 6);
    private static final int FIRST = Integer.getInteger("soak.first", 1);
    private static final int CLIENTS = 12;
    private static final int READERS = 3;
    private static final int IDLE_CLIENTS = 80;
    private static final int FEW_DESCRIPTORS = 96;
    private static final int[] DEADLINES_MS = {300, 600, 1500};
    private static final List<List<String>> SIGNALS = List.of(List.of("TERM"), List.of("HUP", "TERM"),
            List.of("TERM", "HUP"), List.of("TERM", "TERM"), List.of("HUP", "HUP", "TERM", "HUP"));
    private static final int QUIET_MS = 700;
    private static final int KILL_BEHIND_DEADLINE_MS = 700;

    /** Guards against requests that a stopping process read and never answered, or sent on after their end. */
    @Test
    void everyRequestThatWasForwardedIsAnsweredThroughAShutdown() throws Exception {
        for (int seed = FIRST; seed < FIRST + SEEDS; seed++) {
            List<String> broken = run(seed);
            assertThat(broken).as("seed " + seed).isEmpty();
        }
    }

    private static List<String> run(int seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        int deadlineMs = DEADLINES_MS[seed % DEADLINES_MS.length];
        boolean crowd = seed % 4 == 0;
        Audit audit = new Audit(deadlineMs, deadlineMs);
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
        List<SoakReader> readers = new ArrayList<>();
        for (int i = 0; i < READERS; i++) {
            readers.add(new SoakReader("s" + i, random.nextLong(), timer, audit));
        }
        List<Socket> idle = new ArrayList<>();
        try (Program program = Program.serve(configuration(readers, deadlineMs, crowd), null)) {
            int port = program.port("platform");
            for (int i = 0; crowd && i < IDLE_CLIENTS; i++) {
                idle.add(new Socket(InetAddress.getLoopbackAddress(), port));
            }
            List<SoakClient> clients = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                SoakClient client = new SoakClient(port, "c" + i, deadlineMs, random.nextLong(), audit);
                clients.add(client);
                threads.add(new Thread(client));
            }
            threads.forEach(Thread::start);
            Thread.sleep(QUIET_MS);
            if (random.nextBoolean()) {
                readers.get(0).hang();
            }
            signalAndKill(program, SIGNALS.get(seed % SIGNALS.size()), deadlineMs);
            clients.forEach(SoakClient::stop);
            for (Thread t : threads) {
                t.join();
            }
        } finally {
            timer.shutdownNow();
            for (SoakReader r : readers) {
                r.close();
            }
            for (Socket s : idle) {
                s.close();
            }
        }
        assertThat(audit.endings()).as("seed " + seed).anyMatch(o -> o.end() == SoakClient.End.ANSWERED);
        return audit.violations();
    }

    private static void signalAndKill(Program program, List<String> signals, int deadlineMs) throws Exception {
        long told = 0;
        for (String signal : signals) {
            program.signal(signal);
            told = told == 0 && signal.equals("TERM") ? System.nanoTime() : told;
        }
        long kill = told + TimeUnit.MILLISECONDS.toNanos(deadlineMs + KILL_BEHIND_DEADLINE_MS);
        while (program.isAlive() && System.nanoTime() < kill) {
            Thread.sleep(1);
        }
        program.close();
    }

    static ObjectNode configuration(List<SoakReader> readers, int deadlineMs, boolean crowd)
            throws IOException {
        ObjectNode configuration;
        try (InputStream in = ShutdownSoakTest.class.getResourceAsStream("/configuration.json")) {
            configuration = (ObjectNode) new ObjectMapper().readTree(in);
        }
        ArrayNode members = ((ObjectNode) configuration.get("known")).putArray("members");
        for (int i = 0; i < readers.size(); i++) {
            members.addObject().put("id", "s" + i).put("host_port", "127.0.0.1:" + readers.get(i).port())
                    .put("cell", i).put("phase", "Ready").put("up_since_ms", 0);
        }
        configuration.put("discovery", "127.0.0.1:9"); // nobody is there: the list stays as known
        ((ObjectNode) configuration.at("/settings/familyInfo")).put("reach", READERS);
        ((ObjectNode) configuration.at("/settings/allowed")).put("connectTimeout", 250_000).put("maxOpen", 400);
        configuration.at("/settings/classes").forEach(c -> ((ObjectNode) c).put("deadline", deadlineMs * 1000)
                .put("target", deadlineMs * 700));
        ((ObjectNode) configuration.at("/settings/classes/0")).put("effect", "dedup")
                .put("memorySpan", deadlineMs * 1000);
        if (crowd) {
            ((ObjectNode) configuration.get("limits")).put("sockets", FEW_DESCRIPTORS);
        }
        return configuration;
    }
}
