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

/** {@link AcceptErrors} on a listener whose accepts fail, with a clock that only the test advances. */
class AcceptErrorsTest {

    private static final long SECOND_US = 1_000_000;
    private static final long STEP_US = 1_000;
    /** Shortest deadline of a client's request; a failed accept must not use it up. */
    private static final long SHORTEST_DEADLINE_US = 100_000;
    private static final int MAX_ACCEPTS_PER_SECOND = 100;
    private static final long TEST_TIMEOUT_NS = 20_000_000_000L;

    private final ManualIoEventLoop loop = new ManualIoEventLoop(Thread.currentThread(), NioIoHandler.newFactory());
    private final Timers timers = new Timers();
    private long now;
    private int failures;
    private int accepts;
    private int served;
    private int errors;
    private int shortages;
    private ChannelFuture listener;

    /** Fails as often as {@code failures} says, in the way accept4 does without a free descriptor. */
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
    void startListener() {
        ServerBootstrap bootstrap = new ServerBootstrap().group(loop).channelFactory(FailingListener::new)
                .childHandler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void handlerAdded(ChannelHandlerContext ctx) {
                        served++;
                    }
                });
        listener = bootstrap.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        runLoopUntil(listener::isDone);
        AcceptErrors.Scheduler scheduler = (delayUs, action) -> timers.schedule(now + delayUs, action);
        listener.channel().pipeline().addFirst(new AcceptErrors(scheduler, () -> errors++, () -> shortages++));
    }

    @AfterEach
    void stop() {
        listener.channel().close();
        loop.runNow();
    }

    private Socket connectClient() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(),
                ((InetSocketAddress) listener.channel().localAddress()).getPort());
    }

    private void runLoopUntil(BooleanSupplier done) {
        long limit = System.nanoTime() + TEST_TIMEOUT_NS;
        while (!done.getAsBoolean()) {
            assertThat(System.nanoTime()).as("condition not met in time").isLessThan(limit);
            loop.runNow();
            Thread.yield();
        }
    }

    /** Guards against Netty's pause of a second after each failed accept, in which requests passed their deadlines. */
    @Test
    void failedAcceptsDoNotPauseTheListener() throws IOException {
        failures = 5;
        try (Socket client = connectClient()) {
            assertThat(client.isConnected()).isTrue();
            runLoopUntil(() -> accepts > 0);
            for (long end = now + SHORTEST_DEADLINE_US; now < end; now += STEP_US) {
                timers.runDue(now);
                loop.runNow();
            }
            assertThat(served).isEqualTo(1);
        }
        assertThat(errors).isEqualTo(5);
        assertThat(shortages).isPositive();
    }

    /** Guards against an event loop that spins while it cannot accept what is in the backlog. */
    @Test
    void lastingAcceptFailuresDoNotSpinTheEventLoop() throws IOException {
        failures = Integer.MAX_VALUE;
        try (Socket client = connectClient()) {
            assertThat(client.isConnected()).isTrue();
            runLoopUntil(() -> accepts > 0);
            for (long end = now + SECOND_US; now < end; now += STEP_US) {
                timers.runDue(now);
                loop.runNow();
            }
            assertThat(accepts).isLessThan(MAX_ACCEPTS_PER_SECOND);
            failures = 0;
            for (long end = now + SHORTEST_DEADLINE_US; now < end; now += STEP_US) {
                timers.runDue(now);
                loop.runNow();
            }
            assertThat(served).isEqualTo(1);
        }
    }
}
