package burlford.clients;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.core.ClientLimits;
import burlford.core.Counters;
import burlford.core.Timers;
import burlford.policy.ConnectionRules;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Replies that clients do not take, on real sockets. */
class UnreadReplyTest {

    private static final byte[] REQUEST = "GET /a HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    /** More than the system takes of it. */
    private static final int REPLY_BYTES = 16 << 20;
    private static final long PATIENCE_NS = TimeUnit.SECONDS.toNanos(20);
    /** Longer than a client that goes on takes to read a reply. */
    private static final long SLOW_US = 200_000;
    private static final String UNREAD = "clients.connections.closed.unread";

    private final ManualIoEventLoop loop = new ManualIoEventLoop(Thread.currentThread(), NioIoHandler.newFactory());
    private final Timers timers = new Timers();
    private final Counters counters = new Counters();
    private final Connections connections = new Connections(100, ClientLimits.singleLane(REPLY_BYTES + REPLY_BYTES / 2),
            counters, timers, this::now);
    private long skew;
    private int served;
    private InetSocketAddress address;

    private final HttpConnection.Front front = new HttpConnection.Front() {
        @Override
        public void serve(Exchange exchange) {
            served++;
            exchange.reply(HttpResponseStatus.OK, "text/plain", "x".repeat(REPLY_BYTES), Map.of());
        }

        @Override
        public void reject(Exchange exchange, HttpResponseStatus status, String fault) { }

        @Override
        public void refuseOverloaded(Exchange exchange, String reason) { }
    };

    @BeforeEach
    void listen() {
        Channel listener = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(HttpConnection.createHandlers(front, UnreadReplyTest.this::now,
                                () -> false, connections));
                    }
                }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).channel();
        iterateUntil(listener::isActive);
        address = (InetSocketAddress) listener.localAddress();
    }

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        iterateUntil(loop::isTerminated);
    }

    private long now() {
        return System.nanoTime() / 1000 + skew;
    }

    private void iterateUntil(BooleanSupplier condition) {
        long limit = System.nanoTime() + PATIENCE_NS;
        while (!condition.getAsBoolean() && System.nanoTime() < limit) {
            loop.run(TimeUnit.MILLISECONDS.toNanos(1));
            timers.runDue(now());
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }

    private Socket ask(int expectedServed) throws Exception {
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.getOutputStream().write(REQUEST);
        iterateUntil(() -> served == expectedServed);
        return client;
    }

    /** Guards against replies that pile up because their clients do not read them: the oldest makes room. */
    @Test
    void connectionThatHasLeftItsReplyUnreadForLongMakesRoomForAnother() throws Exception {
        try (Socket first = ask(1)) {
            skew += SLOW_US;
            try (Socket second = ask(2)) {
                iterateUntil(() -> counters.get(UNREAD) == 1);
                assertThat(connections.openCount()).isEqualTo(1);
                assertThat(second.getInputStream().read()).isEqualTo('H');
                assertThat(first.isConnected()).isTrue();
            }
        }
    }

    /** Guards against requests that wait for ever behind a reply that their client does not read. */
    @Test
    void requestsBehindAReplyThatIsNeverReadDoNotWaitForEver() throws Exception {
        try (Socket client = ask(1)) {
            client.getOutputStream().write(REQUEST);
            iterateUntil(() -> {
                skew += ConnectionRules.MAX_UNREAD_REPLY_US;
                return counters.get(UNREAD) == 1;
            });
            assertThat(client.isConnected()).isTrue();
            assertThat(served).isEqualTo(1);
        }
    }
}
