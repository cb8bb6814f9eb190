package burlford.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** A loop that was busy for long reads what has lain unread: its clients' time ran meanwhile. */
class EventLoopDriverTest {

    private static final long BUSY = 600_000;
    private long now = 5_000_000;

    @Test
    void requestsReadBehindALongTurnCountFromWhenThatTurnLooked() throws Exception {
        EventLoopDriver turns = new EventLoopDriver(Thread.currentThread(), () -> now);
        turns.loop.execute(() -> {
            assertThat(turns.earliestArrivalAt()).isEqualTo(now);
            now += BUSY;
        });
        turns.runIteration();
        long[] since = new long[2];
        turns.loop.execute(() -> {
            since[0] = turns.earliestArrivalAt();
            now += 1_000;
            since[1] = turns.earliestArrivalAt();
        });
        turns.runIteration();
        assertThat(since).containsExactly(5_000_000, 5_000_000);
        // A turn that was short again.
        turns.loop.execute(() -> since[0] = turns.earliestArrivalAt());
        turns.runIteration();
        assertThat(since[0]).isEqualTo(now - 1_000);
        turns.loop.shutdownGracefully();
    }

    /** Guards against requests taken to be new that had lain unread through a turn that read from no client. */
    @Test
    void requestsReadBehindALongTurnThatReadNoneCountFromThatTurnToo() throws Exception {
        EventLoopDriver turns = new EventLoopDriver(Thread.currentThread(), () -> now);
        turns.loop.execute(() -> now += BUSY);
        turns.runIteration();
        long[] since = new long[1];
        turns.loop.execute(() -> since[0] = turns.earliestArrivalAt());
        turns.runIteration();
        assertThat(since[0]).isEqualTo(5_000_000);
        turns.loop.shutdownGracefully();
    }

    /** Guards against answers that lay unread through a long turn and were taken for slow ones of their readers. */
    @Test
    void whatIsReadBehindALongTurnStoodStillForThatTurn() throws Exception {
        EventLoopDriver turns = new EventLoopDriver(Thread.currentThread(), () -> now);
        long[] stood = new long[3];
        turns.loop.execute(() -> {
            stood[0] = turns.stallUs();
            now += BUSY;
        });
        turns.runIteration();
        turns.loop.execute(() -> stood[1] = turns.stallUs());
        turns.runIteration();
        turns.loop.execute(() -> stood[2] = turns.stallUs());
        turns.runIteration();
        assertThat(stood).containsExactly(0, BUSY, 0);
        turns.loop.shutdownGracefully();
    }

    /** Guards against a start that was given up over one socket() that failed for a moment. */
    @Test
    void listenerIsBoundThoughTheFirstSocketsFail() throws Exception {
        EventLoopDriver turns = new EventLoopDriver(Thread.currentThread(), () -> System.nanoTime() / 1000);
        AtomicInteger failures = new AtomicInteger(2);
        ServerBootstrap listener = new ServerBootstrap().group(turns.loop).channelFactory(() -> {
            if (failures.getAndDecrement() > 0) {
                throw new ChannelException(new SocketException("Too many open files"));
            }
            return new NioServerSocketChannel();
        }).childHandler(new ChannelInboundHandlerAdapter());
        ChannelFuture bound = turns.bind(listener, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        assertThat(bound.channel().isActive()).isTrue();
        bound.channel().close();
    }

    /** Guards against a process that ends by itself because one event found no memory. */
    @Test
    void eventThatFindsNoMemoryDoesNotEndTheLoop() throws Exception {
        EventLoopDriver driver = new EventLoopDriver(Thread.currentThread(), () -> now);
        AtomicInteger freed = new AtomicInteger();
        AtomicInteger handled = new AtomicInteger();
        driver.onMemoryShortage(freed::incrementAndGet);
        driver.timers.schedule(now, () -> {
            throw new OutOfMemoryError("made by the test");
        });
        driver.timers.schedule(now, handled::incrementAndGet);
        driver.runIteration();
        driver.runIteration();
        assertThat(freed).hasValue(1);
        assertThat(handled).hasValue(1);
        assertThat(driver.counters.get("faults.memory")).isEqualTo(1);
        driver.loop.shutdownGracefully();
    }
}
