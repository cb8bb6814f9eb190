package burlford.clients;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.core.ClientLimits;
import burlford.core.Counters;
import burlford.core.Timers;
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
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** When the end of a client's connection is seen, on a real socket. */
class ClientDisconnectTest {

    private static final byte[] REQUEST = "POST /api/a HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"
            .getBytes(StandardCharsets.US_ASCII);
    private static final long PATIENCE_NS = 20_000_000_000L;
    private static final int READ_MS = 50;
    /** As long as a request may take to come in, and a connection may rest. */
    private static final long SLOW_REQUEST_US = 2_000_000;
    private static final long IDLE_US = 5_000_000;

    private final ManualIoEventLoop loop = new ManualIoEventLoop(Thread.currentThread(), NioIoHandler.newFactory());
    private final Timers deadlines = new Timers();
    private final Connections connections = new Connections(100, ClientLimits.singleLane(1 << 20), new Counters(),
            deadlines, this::now);
    /** Microseconds that the clock is ahead of the system's. */
    private long skew;
    private Exchange taken;
    private HttpResponseStatus rejected;
    private boolean left;

    private final HttpConnection.Front front = new HttpConnection.Front() {
        @Override
        public void serve(Exchange e) {
            taken = e;
            e.onClientDisconnect(() -> left = true);
        }

        @Override
        public void reject(Exchange e, HttpResponseStatus status, String fault) {
            rejected = status;
        }

        @Override
        public void refuseOverloaded(Exchange e, String why) { }
    };

    private Socket connect() throws Exception {
        Channel listener = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(HttpConnection.createHandlers(front, ClientDisconnectTest.this::now,
                                () -> false, connections));
                    }
                }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).channel();
        while (!listener.isActive()) {
            loop.runNow();
        }
        return new Socket(InetAddress.getLoopbackAddress(), ((InetSocketAddress) listener.localAddress()).getPort());
    }

    private long now() {
        return System.nanoTime() / 1000 + skew;
    }

    private void turnUntilTaken() {
        long limit = System.nanoTime() + PATIENCE_NS;
        while (taken == null && System.nanoTime() < limit) {
            loop.run(TimeUnit.MILLISECONDS.toNanos(1));
        }
        assertThat(taken).isNotNull();
    }

    /** Guards against attempts for a client that left in the turn of the event loop that read its request. */
    @Test
    void endIsSeenBeforeTheEventLoopTurnsAgain() throws Exception {
        try (Socket client = connect()) {
            client.getOutputStream().write(REQUEST);
            turnUntilTaken();
            assertThat(taken.isClientConnected()).isTrue();
            client.close();
            long limit = System.nanoTime() + PATIENCE_NS;
            while (taken.isClientConnected() && System.nanoTime() < limit) {
                Thread.sleep(1);
            }
            assertThat(taken.isClientConnected()).isFalse();
        }
    }

    /** Guards against attempts for a client whose end lay in the socket right behind its request. */
    @Test
    void endBehindARequestIsReadWithIt() throws Exception {
        try (Socket client = connect()) {
            client.getOutputStream().write(REQUEST);
            client.close();
            Thread.sleep(20); // both have come
            turnUntilTaken();
            assertThat(left).isTrue();
        }
    }

    /** Guards against a request told that it came too slowly, whose rest had come while the event loop was busy. */
    @Test
    void requestThatHasComeIsReadBeforeItIsTooSlow() throws Exception {
        try (Socket client = connect()) {
            client.getOutputStream().write(REQUEST, 0, REQUEST.length / 2);
            turnFor(READ_MS);
            client.getOutputStream().write(REQUEST, REQUEST.length / 2, REQUEST.length - REQUEST.length / 2);
            Thread.sleep(READ_MS);
            skew += SLOW_REQUEST_US;
            deadlines.runDue(now());
            assertThat(rejected).isNull();
            assertThat(taken).isNotNull();
        }
    }

    /** Guards against a resting connection that is closed over a request that has come. */
    @Test
    void requestThatHasComeIsReadBeforeItsConnectionIsIdle() throws Exception {
        try (Socket client = connect()) {
            client.getOutputStream().write(REQUEST);
            turnUntilTaken();
            taken.reply(HttpResponseStatus.OK, "text/plain", "", java.util.Map.of());
            taken = null;
            client.getOutputStream().write(REQUEST);
            Thread.sleep(READ_MS);
            skew += IDLE_US;
            deadlines.runDue(now());
            assertThat(taken).isNotNull();
            assertThat(taken.isClientConnected()).isTrue();
        }
    }

    /** Guards against a connection that is closed to make room over a request that has come. */
    @Test
    void requestThatHasComeIsReadBeforeItsConnectionMakesRoom() throws Exception {
        try (Socket client = connect()) {
            turnFor(READ_MS);
            client.getOutputStream().write(REQUEST);
            Thread.sleep(READ_MS);
            connections.evictIdleConnection();
            assertThat(taken).isNotNull();
            assertThat(taken.isClientConnected()).isTrue();
        }
    }

    private void turnFor(long millis) {
        for (long end = System.nanoTime() + millis * 1_000_000; System.nanoTime() < end;) {
            loop.run(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }
}
