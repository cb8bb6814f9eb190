package burlford.discovery;

import static burlford.discovery.FakeDiscovery.HEAD;
import static burlford.discovery.FakeDiscovery.chunk;
import static burlford.discovery.FakeDiscovery.list;
import static burlford.discovery.FakeDiscovery.member;
import static org.assertj.core.api.Assertions.assertThat;

import burlford.core.Counters;
import burlford.core.ReaderEntry;
import burlford.core.ReaderRegistry;
import burlford.core.Site;
import burlford.core.Timers;
import burlford.policy.Aggregator.ListKind;
import burlford.policy.Aggregator.Status;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The watch against a stand-in on the loopback, on a clock that only the test moves. */
class WatchTest {

    private static final long SECOND = 1_000_000;
    /** What a watch that fell silent misses counts as notified after this. */
    private static final long NOTIFIED_AFTER_SILENCE = 6 * SECOND;
    /** For the drain's grace and the connection that is still to come up. */
    private static final long STEP = 20_000;
    private static final long REAL_PATIENCE_NS = 20_000_000_000L;

    private final ManualIoEventLoop loop = new ManualIoEventLoop(Thread.currentThread(), NioIoHandler.newFactory());
    private final Timers deadlines = new Timers();
    private final Counters counters = new Counters();
    private final List<String> told = new ArrayList<>();
    private long now = 100 * SECOND;
    /** Sockets that cannot be made before one can. */
    private final AtomicInteger failures = new AtomicInteger();
    private FakeDiscovery discovery;
    private Watch watch;

    private final ReaderRegistry roster = new ReaderRegistry() {
        @Override
        public void updateReaders(ListKind kind, List<ReaderEntry> entries) {
            entries.forEach(e -> told.add(e.id() + " " + e.status()));
        }

        @Override
        public List<ReaderEntry> readers() {
            return List.of();
        }

        @Override
        public void onReadersUpdated(Runnable action) { }

        @Override
        public Site site() {
            return new Site(List.of(), List.of(), List.of(), 1, 1, 1, 1, 1, 1, 1, List.of(), 1, 0);
        }

        @Override
        public Counters counters() {
            return counters;
        }

        @Override
        public long now() {
            return now;
        }
    };

    @BeforeEach
    void start() throws IOException {
        discovery = new FakeDiscovery();
        Bootstrap bootstrap = new Bootstrap().group(loop).channelFactory(() -> {
            if (failures.getAndDecrement() > 0) {
                throw new ChannelException(new SocketException("Too many open files"));
            }
            return new NioSocketChannel();
        });
        watch = new Watch(bootstrap, discovery.address(), roster, deadlines);
        watch.start(new ReaderListParser.ReaderList(41, true, List.of(
                new ReaderEntry("s1", "127.0.0.1", 9, "", 0, Status.READY, 1, 0))));
        until(() -> discovery.connections() == 1);
    }

    @AfterEach
    void stop() throws IOException {
        watch.stop();
        discovery.close();
    }

    /** Turns the loop, the clock standing still, until something has come over the network. */
    private void until(BooleanSupplier done) {
        long limit = System.nanoTime() + REAL_PATIENCE_NS;
        while (!done.getAsBoolean()) {
            assertThat(System.nanoTime()).as("nothing came").isLessThan(limit);
            loop.runNow();
            Thread.yield();
        }
    }

    /** Moves the clock until another call is open, and gives how long that took. */
    private long timeToNextCall() {
        long from = now;
        int before = discovery.connections();
        long asked = counters.get("discovery.connections");
        while (counters.get("discovery.connections") == asked) {
            assertThat(now - from).as("no further call").isLessThan(60 * SECOND);
            now += STEP;
            deadlines.runDue(now);
            loop.runNow();
        }
        until(() -> discovery.connections() > before);
        return now - from;
    }

    /** Guards against a watch that fell silent unnoticed: 7 s passed, and readers that drained meanwhile got parts. */
    @Test
    void silentWatchIsAskedAnewBeforeWhatItMissedCountsAsNotified() throws IOException {
        discovery.send(0, HEAD + chunk("\n"));
        until(watch::isCurrent);
        assertThat(timeToNextCall()).isLessThan(NOTIFIED_AFTER_SILENCE);
        discovery.send(1, HEAD + chunk(list(42, false, member("s1", "Terminating"))));
        until(() -> told.contains("s1 DRAINING"));
    }

    /** Guards against one call that hangs holding up all others: behind a silent watch 14 s passed. */
    @Test
    void callThatHangsIsNotWaitedFor() throws IOException {
        discovery.send(0, HEAD + chunk("\n"));
        until(watch::isCurrent);
        long silent = timeToNextCall();
        long hung = timeToNextCall();
        assertThat(silent + hung).isLessThan(NOTIFIED_AFTER_SILENCE);
        discovery.send(2, HEAD + chunk(list(42, false, member("s1", "Terminating"))));
        until(() -> told.contains("s1 DRAINING"));
    }

    /** Guards against never hearing a discovery that takes seconds to answer: each call was given up for the next. */
    @Test
    void slowAnswerIsTakenThoughOthersWereAsked() throws IOException {
        long waited = 0;
        while (waited < 3 * SECOND) {
            waited += timeToNextCall();
        }
        discovery.send(0, HEAD + chunk(list(42, false, member("s1", "Terminating"))));
        until(() -> told.contains("s1 DRAINING"));
    }

    /** Guards against the watch's end for good where a socket could not be made once. */
    @Test
    void failedSocketIsTriedAgain() throws IOException {
        failures.set(3);
        discovery.send(0, HEAD + chunk("oops"));
        until(() -> counters.get("discovery.lists.bad") == 1);
        for (long end = now + SECOND; now < end; now += STEP) {
            deadlines.runDue(now);
            loop.runNow();
        }
        until(() -> discovery.connections() == 2);
        discovery.send(1, HEAD + chunk(list(42, true, member("s1", "Terminating"))));
        until(() -> told.contains("s1 DRAINING"));
    }

    /** A watch that goes on saying that nothing changed is not opened anew. */
    @Test
    void watchWithHeartbeatsStays() throws IOException {
        discovery.send(0, HEAD);
        until(watch::isCurrent);
        for (int i = 0; i < 10; i++) {
            int heard = told.size();
            discovery.send(0, chunk("\n") + chunk(list(42 + i, false, member("s1", "Ready"))));
            until(() -> told.size() > heard);
            for (long end = now + 2 * SECOND; now < end; now += STEP) {
                deadlines.runDue(now);
            }
        }
        assertThat(counters.get("discovery.connections")).isEqualTo(1);
    }

    /** Guards against drains that lie unread while a turn of the event loop sends parts to their readers. */
    @Test
    void changeIsReadBeforeTheEventLoopTurnsAgain() throws IOException {
        discovery.send(0, HEAD + chunk("\n"));
        until(watch::isCurrent);
        discovery.send(0, chunk(list(42, false, member("s1", "Terminating"))));
        long limit = System.nanoTime() + REAL_PATIENCE_NS;
        while (!told.contains("s1 DRAINING")) {
            assertThat(System.nanoTime()).as("nothing came").isLessThan(limit);
            now += SECOND;
            watch.readNow();
        }
    }
}
