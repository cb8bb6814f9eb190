package burlford.net;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.core.Timers;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A listener whose accepts fail, on a clock that only the test moves. */
class AcceptErrorsTest {

    private static final long SECOND = 1_000_000;
    private static final long STEP = 1_000;
    /** The least time between a client's request and its deadline that a failed accept must not use up. */
    private static final long NO_PAUSE = 100_000;
    private static final int MOST_ACCEPTS_A_SECOND = 100;
    private static final long REAL_PATIENCE_NS = 20_000_000_000L;

    private final ManualIoEventLoop loop = new ManualIoEventLoop(Thread.currentThread(), NioIoHandler.newFactory());
    private final Timers deadlines = new Timers();
    private long now;
    private int failures;
    private int accepts;
    private int served;
    private int errors;
    private int shortages;
    private ChannelFuture listener;

    /** Fails as accept4 does without a free descriptor, so many times. */
    private final class FailingListener extends NioServerSocketChannel {
        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            accepts++;
            if (failures > 0) {
                failures--;
                throw new IOException("Too many open files");
            }
            return super.doReadMessages(accepted);
        }
    }

    @BeforeEach
    void listen() {
        ServerBootstrap bootstrap = new ServerBootstrap().group(loop).channelFactory(FailingListener::new)
                .childHandler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void handlerAdded(ChannelHandlerContext ctx) {
                        served++;
                    }
                });
        listener = bootstrap.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        until(listener::isDone);
        AcceptErrors.Scheduler scheduler = (wait, action) -> deadlines.schedule(now + wait, action);
        listener.channel().pipeline().addFirst(new AcceptErrors(scheduler, () -> errors++, () -> shortages++));
    }

    @AfterEach
    void stop() {
        listener.channel().close();
        loop.runNow();
    }

    private Socket client() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(),
                ((InetSocketAddress) listener.channel().localAddress()).getPort());
    }

    private void until(BooleanSupplier done) {
        long limit = System.nanoTime() + REAL_PATIENCE_NS;
        while (!done.getAsBoolean()) {
            assertThat(System.nanoTime()).as("did not come to pass").isLessThan(limit);
            loop.runNow();
            Thread.yield();
        }
    }

    /** Guards against a listener that stood still for a second after each failed accept: requests ran out of time. */
    @Test
    void failedAcceptDoesNotPauseTheListener() throws IOException {
        failures = 5;
        try (Socket client = client()) {
            assertThat(client.isConnected()).isTrue();
            until(() -> accepts > 0);
            for (long end = now + NO_PAUSE; now < end; now += STEP) {
                deadlines.runDue(now);
                loop.runNow();
            }
            assertThat(served).isEqualTo(1);
        }
        assertThat(errors).isEqualTo(5);
        assertThat(shortages).isPositive();
    }

    /** Guards against an event loop that spins over a backlog it cannot accept. */
    @Test
    void acceptsThatFailForLongDoNotSpin() throws IOException {
        failures = Integer.MAX_VALUE;
        try (Socket client = client()) {
            assertThat(client.isConnected()).isTrue();
            until(() -> accepts > 0);
            for (long end = now + SECOND; now < end; now += STEP) {
                deadlines.runDue(now);
                loop.runNow();
            }
            assertThat(accepts).isLessThan(MOST_ACCEPTS_A_SECOND);
            failures = 0;
            for (long end = now + NO_PAUSE; now < end; now += STEP) {
                deadlines.runDue(now);
                loop.runNow();
            }
            assertThat(served).isEqualTo(1);
        }
    }
}
