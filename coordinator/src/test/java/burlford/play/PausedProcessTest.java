package burlford.play;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A real process that stands still for a while, by signals, as one does that gets no processor. */
class PausedProcessTest {

    private static final int CLIENTS = 6;
    private static final int SHORT_DEADLINE_MS = 250;
    private static final int LONG_DEADLINE_MS = 3_000;
    /** Past the short deadline, and by more than the rule's 0.1 s behind the clients' end. */
    private static final int PAUSE_MS = 400;
    private static final int PAUSE_BEHIND_END_MS = 250;
    private static final int LONG_PAUSE_MS = 900;
    /** More than a request may take to come in. */
    private static final int SLOW_REQUEST_MS = 2_500;
    private static final int READ_MS = 100;
    private static final int MUCH_BYTES = 16 << 20;
    /** An event loop reads a connection 16 times in an iteration, 64 KB each time. */
    private static final int MORE_THAN_ONE_ITERATION_READS = 1 << 20;
    private static final int DEADLINE_SLACK_MS = 150;
    /** For the threads of this test. */
    private static final int TOLERANCE_MS = 100;

    private final Audit audit = new Audit(LONG_DEADLINE_MS, LONG_DEADLINE_MS);
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private final List<SoakReader> readers = new ArrayList<>();
    private final List<Socket> clients = new ArrayList<>();
    private CoordinatorProcess program;
    private int port;

    @BeforeEach
    void start() throws Exception {
        for (int i = 0; i < 3; i++) {
            readers.add(SoakReader.faultless("s" + i, timer, audit));
        }
        ObjectNode configuration = FaultSoakTest.configuration(readers, LONG_DEADLINE_MS, false);
        program = CoordinatorProcess.serve(configuration, null);
        port = program.port("platform");
    }

    @AfterEach
    void stop() throws IOException {
        program.close();
        timer.shutdownNow();
        for (SoakReader r : readers) {
            r.close();
        }
        for (Socket s : clients) {
            s.close();
        }
    }

    private void connect() throws IOException {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
        client.setTcpNoDelay(true);
        clients.add(client);
    }

    /** Connections that have had an answer, and a process that has sent to every reader. */
    private void connectAndAsk() throws IOException {
        for (int i = 0; i < CLIENTS; i++) {
            connect();
            SoakClient.write(clients.get(i), "warm-" + i, LONG_DEADLINE_MS, Audit.Effect.RETRYABLE);
            assertThat(SoakClient.read(clients.get(i)).outcome()).isEqualTo(SoakClient.Outcome.ANSWERED);
        }
    }

    private void sendWhilePaused(int deadlineMs, int pauseMs) throws Exception {
        program.signal("STOP");
        while (clients.size() < CLIENTS) {
            connect();
        }
        for (int i = 0; i < CLIENTS; i++) {
            SoakClient.write(clients.get(i), "q" + i, deadlineMs, Audit.Effect.RETRYABLE);
        }
        Thread.sleep(pauseMs);
    }

    private void assertNothingIsSentForClientsThatLeft() throws Exception {
        sendWhilePaused(SHORT_DEADLINE_MS, PAUSE_MS);
        for (Socket s : clients) {
            s.close();
        }
        Thread.sleep(PAUSE_BEHIND_END_MS);
        program.signal("CONT");
        for (int i = 0; i < 2; i++) { // by the second answer all that came before the first has been decided
            Socket after = new Socket(InetAddress.getLoopbackAddress(), port);
            clients.add(after);
            SoakClient.write(after, "after-" + i, LONG_DEADLINE_MS, Audit.Effect.RETRYABLE);
            assertThat(SoakClient.read(after).outcome()).isEqualTo(SoakClient.Outcome.ANSWERED);
        }
        for (int i = 0; i < CLIENTS; i++) {
            assertThat(audit.attemptsOf("q" + i)).as(program.log()).isEmpty();
        }
    }

    /** Guards against parts sent for a client whose end lay in its socket behind the request. */
    @Test
    void nothingIsSentForClientsThatLeftWhileTheProcessStoodStill() throws Exception {
        connectAndAsk();
        assertNothingIsSentForClientsThatLeft();
    }

    /** Guards against the same on connections that lay in the listener's queue, before any connection to a reader. */
    @Test
    void nothingIsSentForClientsThatCameAndLeftWhileTheProcessStoodStill() throws Exception {
        assertNothingIsSentForClientsThatLeft();
    }

    private void assertReadersAreToldNoMoreTimeThanIsLeft() throws Exception {
        sendWhilePaused(LONG_DEADLINE_MS, LONG_PAUSE_MS);
        program.signal("CONT");
        for (int i = 0; i < CLIENTS; i++) {
            SoakClient.read(clients.get(i));
            assertThat(audit.attemptsOf("q" + i)).allSatisfy(a -> assertThat(a.timeLeftMs)
                    .isLessThanOrEqualTo(LONG_DEADLINE_MS - LONG_PAUSE_MS + DEADLINE_SLACK_MS + TOLERANCE_MS));
        }
    }

    /** Guards against requests taken to be new that had lain unread while the process stood still. */
    @Test
    void readersAreToldNoMoreTimeThanIsLeftOfRequestsThatLayUnread() throws Exception {
        connectAndAsk();
        assertReadersAreToldNoMoreTimeThanIsLeft();
    }

    /** Guards against the same on connections that lay in the listener's queue. */
    @Test
    void readersAreToldNoMoreTimeThanIsLeftOfRequestsOnNewConnections() throws Exception {
        assertReadersAreToldNoMoreTimeThanIsLeft();
    }

    /** Guards against requests told that they came too slowly, whose rest had come while the process stood still. */
    @Test
    void requestWhoseRestCameWhileTheProcessStoodStillIsAnswered() throws Exception {
        connectAndAsk();
        byte[] request = SoakClient.request("q", LONG_DEADLINE_MS, Audit.Effect.RETRYABLE);
        Socket client = clients.get(0);
        client.getOutputStream().write(request, 0, request.length / 2);
        Thread.sleep(READ_MS);
        program.signal("STOP");
        client.getOutputStream().write(request, request.length / 2, request.length - request.length / 2);
        Thread.sleep(SLOW_REQUEST_MS);
        program.signal("CONT");
        assertThat(SoakClient.read(client).text()).doesNotContain("408");
    }

    /** Guards against parts sent for a client that left with so much unread that its end was not reached. */
    @Test
    void nothingIsSentForAClientThatLeftWithMuchUnread() throws Exception {
        connectAndAsk();
        program.signal("STOP");
        try (SocketChannel client = SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))) {
            client.configureBlocking(false);
            client.write(ByteBuffer.wrap(SoakClient.request("q", LONG_DEADLINE_MS, Audit.Effect.RETRYABLE)));
            client.write(ByteBuffer.wrap(("POST /none HTTP/1.1\r\nContent-Length: " + MUCH_BYTES + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII)));
            int unread = 0;
            for (int n = 1; n > 0; unread += n) {
                n = client.write(ByteBuffer.allocate(MUCH_BYTES));
            }
            assertThat(unread).isGreaterThan(MORE_THAN_ONE_ITERATION_READS);
        }
        Thread.sleep(PAUSE_BEHIND_END_MS);
        program.signal("CONT");
        Socket after = new Socket(InetAddress.getLoopbackAddress(), port);
        clients.add(after);
        SoakClient.write(after, "after", LONG_DEADLINE_MS, Audit.Effect.RETRYABLE);
        assertThat(SoakClient.read(after).outcome()).isEqualTo(SoakClient.Outcome.ANSWERED);
        assertThat(audit.attemptsOf("q")).as(program.log()).isEmpty();
    }
}
