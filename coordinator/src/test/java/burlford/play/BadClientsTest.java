package burlford.play;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;

/**
 * A real process with the least memory that the pages name, in the JVM that {@code deploy/serve} sizes for it, beside
 * bad clients. It has to live within its memory, and the good clients get their final answers in time.
 */
class BadClientsTest {

    private static final int MEMORY_MB = 96;
    private static final int KB_PER_MB = 1024;
    private static final int DESCRIPTORS = 1024;
    /** More than clients may hold of so many descriptors. */
    private static final int CROWD = 600;
    private static final int FEW = 50;
    private static final int GOOD_CLIENTS = 4;
    private static final int DEADLINE_MS = 1_500;
    private static final int DURATION_MS = 4_000;
    private static final int LARGE_BODY_BYTES = 65_000;
    private static final int SHORT_FIELDS = 1_900;
    private static final int PIPELINED = 60;

    private final Audit audit = new Audit(DEADLINE_MS, DEADLINE_MS);
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    private final List<SoakReader> readers = new ArrayList<>();
    private CoordinatorProcess program;
    private int port;
    private TestInfo test;

    @BeforeEach
    void start(TestInfo info) throws Exception {
        test = info;
        for (int i = 0; i < FaultSoakTest.READERS; i++) {
            readers.add(SoakReader.faultless("s" + i, timer, audit));
        }
        ObjectNode configuration = FaultSoakTest.configuration(readers, DEADLINE_MS, false);
        ((ObjectNode) configuration.get("limits")).put("memory_mb", MEMORY_MB).put("sockets", DESCRIPTORS);
        program = CoordinatorProcess.serveDeployed(configuration);
        port = program.port("platform");
    }

    @AfterEach
    void stop() throws IOException {
        program.close();
        timer.shutdownNow();
        for (SoakReader reader : readers) {
            reader.close();
        }
    }

    /** Plays bad clients beside good ones, and checks the process and what the good ones were given. */
    private void assertServes(Consumer<BadClients> misbehaviour) throws Exception {
        List<SoakClient> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < GOOD_CLIENTS; i++) {
            SoakClient client = new SoakClient(port, "good" + i, DEADLINE_MS, i, audit);
            clients.add(client);
            threads.add(new Thread(client));
        }
        threads.forEach(Thread::start);
        try (BadClients bad = new BadClients(port)) {
            misbehaviour.accept(bad);
            Thread.sleep(DURATION_MS);
        }
        clients.forEach(SoakClient::stop);
        for (Thread thread : threads) {
            thread.join();
        }
        System.out.printf("%s: peak %d KiB, now %d KiB, good requests %d%n", test.getDisplayName(),
                program.peakMemoryKb(), program.memoryKb(), audit.completedRequests().size());
        assertThat(program.isAlive()).as(program.log()).isTrue();
        assertThat(program.peakMemoryKb()).isLessThanOrEqualTo(MEMORY_MB * KB_PER_MB);
        assertThat(program.log()).doesNotContain("OutOfMemory", "OutOfDirectMemory", "SEVERE", "FAULT");
        assertThat(audit.violations()).isEmpty();
        assertThat(audit.completedRequests()).anyMatch(r -> r.outcome() == SoakClient.Outcome.ANSWERED);
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static String largeRequest() {
        return "POST /none HTTP/1.1\r\nContent-Length: " + LARGE_BODY_BYTES + "\r\n\r\n" + "x".repeat(LARGE_BODY_BYTES);
    }

    /** Guards against a process over its memory limit without any bad client. */
    @Test
    void memoryIsWithinTheLimitWithoutBadClients() throws Exception {
        assertServes(bad -> { });
    }

    /** Guards against heads of very many short fields, none of them complete, that use up the memory. */
    @Test
    void headsOfManyShortFieldsAreBounded() throws Exception {
        assertServes(bad -> bad.send(CROWD, ascii("POST /api/a HTTP/1.1\r\n" + "a:\r\n".repeat(SHORT_FIELDS))));
    }

    /** Guards against large requests that stop half way and use up the memory. */
    @Test
    void largeRequestsThatStopHalfWayAreBounded() throws Exception {
        assertServes(bad -> bad.send(CROWD, ascii(largeRequest().substring(0, LARGE_BODY_BYTES))));
    }

    /** Guards against receive buffers that are kept for the few bytes of a request that has begun in them. */
    @Test
    void requestsThatBeginBehindLargeOnesAreBounded() throws Exception {
        assertServes(bad -> bad.send(CROWD, ascii(largeRequest() + "POST /api")));
    }

    /** Guards against answers that nobody reads and that use up the memory. */
    @Test
    void unreadAnswersAreBounded() throws Exception {
        assertServes(bad -> bad.sendWithoutReading(CROWD, ascii("GET /counters HTTP/1.1\r\n\r\n".repeat(PIPELINED))));
    }

    /** Guards against the same by fewer clients, each of which leaves more unread than the system holds for it. */
    @Test
    void unreadAnswersOfFewAreBounded() throws Exception {
        assertServes(bad -> bad.sendWithoutReading(2 * FEW, ascii("GET /counters HTTP/1.1\r\n\r\n".repeat(PIPELINED))));
    }

    /** Guards against requests that wait on few connections and whose heads use up the memory. */
    @Test
    void largeHeadsThatWaitOnFewConnectionsAreBounded() throws Exception {
        String waiting = "GET /none HTTP/1.1\r\n" + "a:\r\n".repeat(SHORT_FIELDS) + "\r\n";
        String first = new String(SoakClient.request("hangs", DEADLINE_MS, Audit.Effect.RETRYABLE),
                StandardCharsets.US_ASCII);
        assertServes(bad -> {
            readers.forEach(SoakReader::hang);
            bad.send(FEW, ascii(first + waiting.repeat(PIPELINED)));
            timer.schedule(() -> readers.forEach(SoakReader::resume), DEADLINE_MS, TimeUnit.MILLISECONDS);
        });
    }

    /** Guards against one client whose small requests on one connection hold up all others. */
    @Test
    void smallRequestsAtFullSpeedDoNotHoldUpOthers() throws Exception {
        assertServes(bad -> bad.flood(i -> "GET /none HTTP/1.1\r\n\r\n"));
    }

    /** Guards against the same with requests that are no HTTP. */
    @Test
    void unsoundRequestsAtFullSpeedDoNotHoldUpOthers() throws Exception {
        assertServes(bad -> bad.flood(i -> i % PIPELINED == 0 ? "\0\r\n\r\n" : "\r\n\r\n"));
    }

    /** Guards against memory that grows by each name that a client makes up. */
    @Test
    void everNewNamesDoNotUseUpTheMemory() throws Exception {
        assertServes(bad -> bad.flood(i -> {
            String body = "{\"name" + i + "\":1}";
            return "POST /api/key" + i + " HTTP/1.1\r\nReq-Id: id" + i + "\r\nReq-Kind: car-lookup\r\nReq-Owner: "
                    + (i % 2 == 0 ? "duna-cab" : "owner" + i) + "\r\nField" + i + ": x\r\nReq-Deadline-Ms: 900\r\n"
                    + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }));
    }
}
