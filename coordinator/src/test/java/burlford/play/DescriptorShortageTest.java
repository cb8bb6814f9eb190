package burlford.play;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.Test;

/** A real process under a limit of descriptors that its own configuration does not know of: accept and socket fail. */
class DescriptorShortageTest {

    private static final int DESCRIPTORS = 160;
    private static final int IDLE_CLIENTS = 200;
    private static final int DEADLINE_MS = 600;
    private static final int REQUESTS = 20;

    /** Guards against requests that waited behind a listener standing still, or were lost to a failed socket(). */
    @Test
    void requestsGetTheirAnswerWhileNoDescriptorIsLeft() throws Exception {
        Audit audit = new Audit(DEADLINE_MS, DEADLINE_MS);
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
        List<SoakReader> readers = List.of(new SoakReader("s0", 1, timer, audit),
                new SoakReader("s1", 2, timer, audit), new SoakReader("s2", 3, timer, audit));
        List<Socket> idle = new ArrayList<>();
        try (CoordinatorProcess program = CoordinatorProcess.serveWithDescriptorLimit(DESCRIPTORS,
                FaultSoakTest.configuration(readers, DEADLINE_MS, false))) {
            int port = program.port("platform");
            loadClasses(port);
            for (int i = 0; i < IDLE_CLIENTS; i++) {
                idle.add(new Socket(InetAddress.getLoopbackAddress(), port));
            }
            SoakClient client = new SoakClient(port, "c", DEADLINE_MS, 1, audit);
            Thread thread = new Thread(client);
            thread.start();
            long limit = System.nanoTime() + CoordinatorProcess.TIMEOUT_MS * 1_000_000;
            while (audit.completedRequests().size() < REQUESTS && System.nanoTime() < limit) {
                Thread.sleep(1);
            }
            client.stop();
            thread.join();
            assertThat(audit.completedRequests()).as(program.log()).hasSizeGreaterThanOrEqualTo(REQUESTS);
            assertThat(program.log()).contains("Too many open files");
        } finally {
            timer.shutdownNow();
            close(readers, idle);
        }
        assertThat(audit.violations()).isEmpty();
        assertThat(audit.completedRequests().get(0).outcome()).isNotEqualTo(SoakClient.Outcome.TIMED_OUT);
    }

    /**
     * Here each class is a file of its own, which could not be opened later; in the jar all are open from the start.
     */
    private static void loadClasses(int port) throws IOException {
        String body = "{\"parts\":[{\"id\":0}],\"expr\":\"e\"}";
        try (ScriptedEndpoint closing = new ScriptedEndpoint(port)) {
            closing.send("POST /api/a HTTP/1.1\r\nReq-Id: warm\r\nReq-Kind: car-lookup\r\nReq-Owner: duna-cab\r\n"
                    + "Req-Deadline-Ms: " + DEADLINE_MS + "\r\nConnection: close\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body);
            closing.expect("HTTP/1.1 [0-9]{3} .*connection: close");
        }
    }

    private static void close(List<SoakReader> readers, List<Socket> idle) throws IOException {
        for (SoakReader r : readers) {
            r.close();
        }
        for (Socket s : idle) {
            s.close();
        }
    }
}
