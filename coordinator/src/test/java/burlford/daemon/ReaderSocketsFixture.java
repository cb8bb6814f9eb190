package burlford.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.core.Client;
import burlford.core.Coordinator;
import burlford.core.Query;
import burlford.core.ReaderConnectionLimits;
import burlford.core.ReaderEntry;
import burlford.core.SharedState;
import burlford.core.SingleLaneState;
import burlford.policy.Aggregator.ListKind;
import burlford.policy.Aggregator.Status;
import burlford.policy.ClientPresence;
import burlford.policy.Dispatcher;
import burlford.servers.ReaderPool;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;

/**
 * A coordinator with stand-in readers on the loopback. The test drives its event loop, and holds the connections to
 * readers back until it releases them.
 */
abstract class ReaderSocketsFixture {

    private static final long REAL_PATIENCE_NS = 20_000_000_000L;
    private static final long DEADLINE_US = 4_000_000;

    final FakeReader.Audit audit = new FakeReader.Audit();
    final List<FakeReader> readers = new ArrayList<>();
    final DelayedResolver held = new DelayedResolver();
    final ReaderConnectionLimits connections = ReaderConnectionLimits.singleLane();
    /** Sockets that cannot be made before one can. */
    final AtomicInteger failures = new AtomicInteger();
    final List<String> ends = new ArrayList<>();
    /** The values of each answer, by shard. */
    final List<Map<Integer, String>> answers = new ArrayList<>();
    final List<Thread> threads = new ArrayList<>();
    String text = "e";
    /** Clients are found to be there when they are looked at. */
    ClientPresence presence = ClientPresence.CONNECTED;
    EventLoopDriver turns;
    Coordinator coordinator;

    @AfterEach
    void stop() throws IOException {
        for (FakeReader r : readers) {
            r.close();
        }
    }

    /** A coordinator with so many readers, each of which holds every shard. */
    void start(int count, Consumer<ObjectNode> settings) throws Exception {
        ObjectNode configuration;
        try (InputStream in = ReaderSocketsFixture.class.getResourceAsStream("/configuration.json")) {
            configuration = (ObjectNode) new ObjectMapper().readTree(in);
        }
        ((ObjectNode) configuration.at("/settings/familyInfo")).put("reach", 3);
        settings.accept((ObjectNode) configuration.get("settings"));
        Path file = Files.createTempFile("burlford", ".json");
        file.toFile().deleteOnExit();
        Files.writeString(file, configuration.toString());
        DaemonContext shared = new DaemonContext(Configuration.load(Map.of("PROXY_CONFIG", file.toString())), null);
        turns = new EventLoopDriver(Thread.currentThread(), shared.clock);
        coordinator = new Coordinator(shared.parsedConfiguration().site(),
                Lane.createDispatcher(shared.parsedConfiguration(), 0, 1), sharedState(),
                turns.timers, turns.counters, turns.clock);
        Bootstrap out = new Bootstrap().group(turns.loop).resolver(held).channelFactory(() -> {
            if (failures.getAndDecrement() > 0) {
                throw new ChannelException(new SocketException("Too many open files"));
            }
            return new NioSocketChannel();
        });
        coordinator.setReaderTransport(new ReaderPool(out, coordinator, turns.timers, connections,
                () -> 100));
        List<ReaderEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            readers.add(new FakeReader(audit));
            entries.add(entry(i, Status.READY));
        }
        coordinator.updateReaders(ListKind.WHOLE, entries);
    }

    SharedState sharedState() {
        return new SingleLaneState(() -> 0);
    }

    ReaderEntry entry(int i, Status status) {
        return new ReaderEntry("s" + i, "127.0.0.1", readers.get(i).port(), "", 0, status, 1, 0);
    }

    long ask(String id) {
        return askFor(id, DEADLINE_US);
    }

    long askFor(String id, long deadline) {
        Query query = new Query(id, 1, 0, 7, false, turns.now() + deadline, text.getBytes(StandardCharsets.UTF_8),
                List.of(new Dispatcher.Part(0, 1, 0, 7)));
        return coordinator.submit(query, new Client() {
            @Override
            public void answered(boolean whole, Map<Integer, String> values) {
                answers.add(Map.copyOf(values));
                end("answered");
            }

            @Override
            public void refused(long retryAfter) {
                end("refused");
            }

            @Override
            public void failed(String why) {
                end("failed");
            }

            @Override
            public ClientPresence presence() {
                return presence;
            }
        });
    }

    private void end(String how) {
        ends.add(how);
        threads.add(Thread.currentThread());
    }

    void until(BooleanSupplier done) {
        long limit = System.nanoTime() + REAL_PATIENCE_NS;
        while (!done.getAsBoolean()) {
            assertThat(System.nanoTime()).as("did not come to pass").isLessThan(limit);
            turn();
        }
    }

    void turn() {
        turns.loop.runNow();
        turns.timers.runDue(turns.now());
        Thread.yield();
    }

    /** Lets a further query through on the same connection: what was to be sent before it has been sent by then. */
    void letAnotherThrough() {
        ask("after");
        until(() -> ends.contains("answered"));
    }

    void awaitTime(long time) throws InterruptedException {
        while (turns.now() < time) {
            Thread.sleep(1);
        }
    }
}
