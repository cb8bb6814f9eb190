package burlford.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.core.ReaderEntry;
import burlford.policy.Aggregator.ListKind;
import burlford.policy.Aggregator.Status;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Several lanes in this process before stand-in readers: ids, lists, settings and failures of a lane. */
class MultiLaneGroupTest {

    private static final long PATIENCE_S = 20;
    private static final int CELLS = 3;

    private final FakeReader.Audit audit = new FakeReader.Audit();
    private final List<FakeReader> readers = new ArrayList<>();
    private final List<Client> clients = new ArrayList<>();
    private DaemonContext shared;
    private EventLoopDriver turns;
    private MultiLaneGroup lanes;
    private Channel listener;
    private Thread control;
    private volatile boolean over;

    @BeforeEach
    void start() throws Exception {
        Configuration configuration = configuration(200);
        Path operator = Files.writeString(Files.createTempFile("operator", ".yaml"), "cores: 2\n");
        operator.toFile().deleteOnExit();
        CompletableFuture<Channel> bound = new CompletableFuture<>();
        shared = new DaemonContext(configuration, operator);
        control = new Thread(() -> {
            turns = new EventLoopDriver(Thread.currentThread(), shared.clock);
            lanes = new MultiLaneGroup(turns, shared, shared.parsedConfiguration().operatorFile().cores());
            ServerBootstrap b = new ServerBootstrap().group(turns.loop).channel(NioServerSocketChannel.class);
            lanes.configureListener(b, FrontType.PLATFORM);
            ChannelFuture f = b.bind(InetAddress.getLoopbackAddress(), 0);
            f.addListener(done -> bound.complete(f.channel()));
            while (!over && !lanes.isDrained()) {
                turns.runIteration();
            }
        });
        control.start();
        listener = bound.get(PATIENCE_S, TimeUnit.SECONDS);
        List<ReaderEntry> entries = new ArrayList<>();
        for (int cell = 0; cell < CELLS; cell++) {
            FakeReader r = new FakeReader(audit);
            readers.add(r);
            entries.add(entry(cell, r.port(), Status.READY));
        }
        onControl(() -> {
            lanes.updateReaders(ListKind.WHOLE, entries);
            return null;
        });
        long told = onControl(() -> lanes.generation());
        await(() -> lanes.lane(0).share.appliedGeneration() == told && lanes.lane(1).share.appliedGeneration() == told);
    }

    private static ReaderEntry entry(int cell, int port, Status status) {
        return new ReaderEntry("s" + cell, "127.0.0.1", port, "angyalfold-room", cell, status, 1, 0);
    }

    static Configuration configuration(int maxOpen) throws Exception {
        ObjectNode root;
        try (InputStream in = MultiLaneGroupTest.class.getResourceAsStream("/configuration.json")) {
            root = (ObjectNode) new ObjectMapper().readTree(in);
        }
        ((ObjectNode) root.at("/settings/allowed")).put("maxOpen", maxOpen);
        Path file = Files.writeString(Files.createTempFile("configuration", ".json"), root.toString());
        file.toFile().deleteOnExit();
        return Configuration.load(Map.of("PROXY_CONFIG", file.toString(), "PROXY_DISCOVERY", "127.0.0.1:1"));
    }

    @AfterEach
    void stop() throws Exception {
        for (Client c : clients) {
            c.socket.close();
        }
        over = true;
        turns.loop.execute(() -> { });
        control.join();
        lanes.lane(0).stopWhenIdle();
        lanes.lane(1).stopWhenIdle();
        listener.close();
        for (FakeReader r : readers) {
            r.close();
        }
    }

    private <T> T onControl(Callable<T> action) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        turns.loop.execute(() -> {
            try {
                done.complete(action.call());
            } catch (Throwable e) {
                done.completeExceptionally(e);
            }
        });
        return done.get(PATIENCE_S, TimeUnit.SECONDS);
    }

    private void await(BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as(() -> "in time; " + (lanes == null ? "" : lanes.countersText()))
                    .isLessThan(until);
            Thread.sleep(2);
        }
    }

    /** A client's connection, which asks and hears by itself. */
    private final class Client {
        final Socket socket = new Socket();

        Client() throws IOException {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(),
                    ((InetSocketAddress) listener.localAddress()).getPort()));
            socket.setSoTimeout((int) PATIENCE_S * 1000);
            socket.setTcpNoDelay(true);
            clients.add(this);
        }

        Client ask(String id, String text) throws IOException {
            return ask(id, text, 9000);
        }

        Client ask(String id, String text, int deadline) throws IOException {
            String body = "{\"parts\":[{\"id\":0},{\"id\":1}],\"expr\":\"" + text + "\"}";
            socket.getOutputStream().write(("POST /api/ HTTP/1.1\r\nReq-Id: " + id
                    + "\r\nReq-Kind: car-lookup\r\nReq-Owner: duna-cab\r\nReq-Deadline-Ms: " + deadline
                    + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
            return this;
        }

        /** The status and the body; "" where the connection ended. */
        String answer() throws IOException {
            StringBuilder came = new StringBuilder();
            while (true) {
                int head = came.indexOf("\r\n\r\n");
                int at = came.indexOf("content-length: ");
                if (head > 0 && came.length() == head + 4
                        + Integer.parseInt(came.substring(at + 16, came.indexOf("\r\n", at)))) {
                    return came.substring(9, 12) + " " + came.substring(head + 4).trim();
                }
                int b = socket.getInputStream().read();
                if (b < 0) {
                    return came.toString();
                }
                came.append((char) b);
            }
        }
    }

    /** Two connections, the first on lane 0 and the second on lane 1; no query may be open. */
    private Client[] both() throws Exception {
        await(() -> serving() == 2);
        Client[] both = new Client[2];
        while (both[0] == null || both[1] == null) {
            int[] before = {lanes.lane(0).share.connections(), lanes.lane(1).share.connections()};
            Client c = new Client();
            await(() -> lanes.lane(0).share.connections() + lanes.lane(1).share.connections() > before[0] + before[1]);
            both[lanes.lane(0).share.connections() > before[0] ? 0 : 1] = c;
        }
        return both;
    }

    private long serving() {
        try {
            return onControl(() -> lanes.servingLaneCount());
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private void held(int count) throws InterruptedException {
        await(() -> readers.stream().mapToInt(FakeReader::heldCount).sum() == count);
    }

    // ---- ids

    @Test
    void theSameIdAtTwoLanesAtOnceIsServedOnceAtATime() throws Exception {
        Client[] both = both();
        int tries = 3000;
        CyclicBarrier barrier = new CyclicBarrier(2);
        Map<String, Integer> ends = new ConcurrentHashMap<>();
        List<Thread> threads = new ArrayList<>();
        for (Client c : both) {
            Thread t = new Thread(() -> {
                try {
                    for (int i = 0; i < tries; i++) {
                        barrier.await(PATIENCE_S, TimeUnit.SECONDS);
                        ends.merge(c.ask("id-" + i, "ok").answer().substring(0, 3), 1, Integer::sum);
                    }
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            t.start();
            threads.add(t);
        }
        for (Thread t : threads) {
            t.join();
        }
        assertThat(audit.duplicateAttempts.get()).isZero();
        assertThat(ends.keySet()).isSubsetOf("200", "409");
        assertThat(ends.get("200") + ends.getOrDefault("409", 0)).isEqualTo(2 * tries);
        assertThat(ends.get("200")).isGreaterThanOrEqualTo(tries);
        assertThat(ends.getOrDefault("409", 0)).as("some met").isPositive();
    }

    @Test
    void anIdOpenOnOneLaneIsOpenOnTheOtherAndFreeOnceAnswered() throws Exception {
        Client[] both = both();
        both[0].ask("same", "hold");
        held(2);
        assertThat(both[1].ask("same", "ok").answer()).startsWith("409").contains("still open");
        readers.forEach(FakeReader::releaseHeld);
        assertThat(both[0].answer()).startsWith("200");
        assertThat(both[1].ask("same", "ok").answer()).startsWith("200");
    }

    @Test
    void theRoomForOpenQueriesIsTheProcesss() throws Exception {
        onControl(() -> {
            DaemonContext.ParsedConfiguration setup = shared.parse(configuration(9)); // three queries of two parts
            shared.apply(setup);
            lanes.reconfigure(setup);
            return null;
        });
        Client[] more = both();
        List<Client> open = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            open.add(new Client().ask("q" + i, "hold"));
        }
        held(6);
        assertThat(more[0].ask("m0", "ok").answer()).startsWith("503");
        assertThat(more[1].ask("m1", "ok").answer()).startsWith("503");
        readers.forEach(FakeReader::releaseHeld);
        for (Client c : open) {
            assertThat(c.answer()).startsWith("200");
        }
        // Whichever lane's they were, either may use them all.
        assertThat(more[0].ask("m2", "ok").answer()).startsWith("200");
        assertThat(more[1].ask("m3", "ok").answer()).startsWith("200");
    }

    // ---- a lane that stands still or fails

    private CountDownLatch pause(int lane) {
        CountDownLatch end = new CountDownLatch(1);
        lanes.lane(lane).loopDriver.loop.execute(() -> {
            while (end.getCount() > 0) {
                try {
                    end.await();
                } catch (InterruptedException e) {
                    // one that hangs does not listen
                }
            }
        });
        return end;
    }

    @Test
    void listsAndSettingsReachTheOthersWhileOneStandsStillAndItTakesThemFirstWhenItWakes() throws Exception {
        Client[] both = both();
        CountDownLatch wake = pause(0);
        await(() -> serving() == 1);
        // The reader of shard 1 drains: no lane may send to it from when it is told.
        long told = onControl(() -> {
            lanes.updateReaders(ListKind.CHANGES, List.of(entry(1, readers.get(1).port(), Status.DRAINING)));
            return lanes.generation();
        });
        await(() -> lanes.lane(1).share.appliedGeneration() == told);
        assertThat(lanes.lane(0).share.appliedGeneration()).isLessThan(told);
        // Both connections ask: one of them lies unread at the lane that stands still.
        both[0].ask("a", "first", 500);
        both[1].ask("b", "first", 500);
        // New connections go to the lane that turns.
        Client fresh = new Client();
        await(() -> lanes.lane(1).share.connections() >= 2);
        wake.countDown();
        // What the sleeper read it decides by the new list: shard 1 has no reader, nothing was ever sent for it.
        for (Client c : both) {
            assertThat(c.answer()).doesNotStartWith("200");
        }
        assertThat(fresh.ask("c", "x", 500).answer()).doesNotStartWith("200");
        assertThat(audit.attempts.keySet()).contains("c.0").noneMatch(part -> part.endsWith(".1"));
        await(() -> serving() == 2);
    }

    @Test
    void settingsAreInForceOnAllLanesOnceOneHasTakenAQueryUnderThem() throws Exception {
        Client[] both = both();
        Configuration tight = configuration(2); // no query has room
        CountDownLatch wake = pause(0);
        onControl(() -> {
            DaemonContext.ParsedConfiguration setup = shared.parse(tight);
            shared.apply(setup);
            lanes.reconfigure(setup);
            return null;
        });
        both[0].ask("a", "x");
        both[1].ask("b", "x");
        await(() -> lanes.lane(1).loopDriver.counters.get("queries.refused.max_open") == 1);
        wake.countDown();
        for (Client c : both) {
            assertThat(c.answer()).startsWith("503");
        }
        assertThat(audit.attempts).isEmpty();
    }

    @Test
    void aLaneKilledByAnErrorFailsItsQueriesOnceAndIsStartedAnew() throws Exception {
        Client[] both = both();
        Client[] more = both();
        both[0].ask("q0", "hold");
        both[1].ask("q1", "hold");
        held(4);
        LaneThread dies = lanes.lane(0);
        dies.loopDriver.loop.execute(() -> dies.loopDriver.timers.schedule(0, () -> {
            throw new AssertionError("injected");
        }));
        await(() -> lanes.lane(0) != dies);
        await(() -> serving() == 2);
        // Its query was given up and failed; the other lane's goes on.
        held(4);
        readers.forEach(FakeReader::releaseHeld);
        List<String> answers = new ArrayList<>(List.of(both[0].answer(), both[1].answer()));
        answers.sort(null);
        assertThat(answers.get(0)).startsWith("200");
        assertThat(answers.get(1)).startsWith("502").contains("lane");
        // Connections between requests were handed on, and are served.
        assertThat(more[0].ask("r0", "ok").answer()).startsWith("200");
        assertThat(more[1].ask("r1", "ok").answer()).startsWith("200");
        await(() -> onEnded(dies));
        assertThat(onControl(() -> lanes.resources().openIds())).isZero();
        assertThat(onControl(() -> lanes.resources().freeQueryCapacity())).isEqualTo(200);
        assertThat(lanes.countersText()).contains("lanes.failed 1\n", "queries.abandoned 1\n");
        // The lane that took its place serves.
        Client[] again = both();
        assertThat(again[0].ask("s0", "ok").answer()).startsWith("200");
        assertThat(again[1].ask("s1", "ok").answer()).startsWith("200");
        assertThat(audit.duplicateAttempts.get()).isZero();
    }

    private boolean onEnded(LaneThread lane) {
        try {
            return onControl(() -> lanes.hasEnded(lane));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void aLaneGivenUpThatWakesSendsNothingMoreAndFailsWhatItHas() throws Exception {
        Client[] both = both();
        both[0].ask("q0", "hold");
        both[1].ask("q1", "hold");
        held(4);
        LaneThread sleeper = lanes.lane(0);
        CountDownLatch wake = pause(0);
        onControl(() -> {
            lanes.fence(sleeper);
            return null;
        });
        await(() -> lanes.lane(0) != sleeper && serving() == 2);
        // While it sleeps its id stays open, wherever it is asked: its attempts are out.
        Client fresh = new Client();
        List<String> met = new ArrayList<>();
        for (String id : List.of("q0", "q1")) {
            met.add(fresh.ask(id, "ok").answer().substring(0, 3));
        }
        assertThat(met).containsOnly("409");
        wake.countDown();
        await(() -> onEnded(sleeper));
        readers.forEach(FakeReader::releaseHeld);
        Map<String, Integer> ends = new HashMap<>();
        for (Client c : both) {
            ends.merge(c.answer().substring(0, 3), 1, Integer::sum);
        }
        assertThat(ends).isEqualTo(Map.of("200", 1, "502", 1));
        assertThat(audit.duplicateAttempts.get()).isZero();
        assertThat(onControl(() -> lanes.resources().freeQueryCapacity())).isEqualTo(200);
    }

    @Test
    void toldToStopWhileOneStandsStillItEndsOnlyOnceThatOneHasAnswered() throws Exception {
        Client[] both = both();
        CountDownLatch wake = pause(0);
        both[0].ask("asleep", "ok");
        onControl(() -> {
            shared.scheduleShutdown(shared.now());
            lanes.drain();
            return null;
        });
        assertThat(both[1].ask("awake", "ok").answer()).startsWith("200");
        await(() -> shared.now() > shared.earliestExitAt());
        assertThat(control.isAlive()).isTrue();
        wake.countDown();
        assertThat(both[0].answer()).startsWith("200");
        both[0].socket.close();
        both[1].socket.close();
        control.join(TimeUnit.SECONDS.toMillis(PATIENCE_S));
        assertThat(control.isAlive()).isFalse();
    }

    // ---- moving, and the end

    @Test
    void connectionsMoveBetweenRequestsAndLoseNothing() throws Exception {
        Client[] both = both();
        for (int i = 0; i < 300; i++) {
            int to = i % 2;
            lanes.lane(1 - to).requestMove(to, 2);
            for (int c = 0; c < 2; c++) {
                both[c].ask("m" + i + "-" + c, "ok");
            }
            for (int c = 0; c < 2; c++) {
                assertThat(both[c].answer()).startsWith("200").contains("value of m" + i + "-" + c + ".0");
            }
        }
        assertThat(lanes.lane(0).loopDriver.counters.get("clients.connections.moved")
                + lanes.lane(1).loopDriver.counters.get("clients.connections.moved")).isPositive();
        assertThat(lanes.lane(0).share.connections() + lanes.lane(1).share.connections()).isEqualTo(2);
    }

    @Test
    void stopsOnlyWhenTheLastLaneIsIdle() throws Exception {
        Client[] both = both();
        both[0].ask("q0", "hold");
        both[1].ask("q1", "hold");
        held(4);
        onControl(() -> {
            shared.scheduleShutdown(shared.now());
            lanes.drain();
            return null;
        });
        await(() -> shared.now() > shared.earliestExitAt());
        assertThat(control.isAlive()).isTrue();
        readers.forEach(FakeReader::releaseHeld);
        assertThat(both[0].answer()).startsWith("200");
        assertThat(both[1].answer()).startsWith("200");
        both[0].socket.close();
        both[1].socket.close();
        control.join(TimeUnit.SECONDS.toMillis(PATIENCE_S));
        assertThat(control.isAlive()).isFalse();
    }
}
