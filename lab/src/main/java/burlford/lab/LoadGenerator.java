package burlford.lab;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.CharsetUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;

/**
 * Clients of the platform front. Closed: each connection asks again as soon as it is answered. Open: queries are due
 * at times drawn ahead (a Poisson stream); one that finds no free connection waits for one, and its time runs from
 * when it was due. Bounded in time and count.
 */
final class LoadGenerator {

    private static final int PARTS = 2;
    /** A client that hears nothing for so long beyond its deadline has lost its query. */
    private static final long LOST = 2_000_000_000L;

    /** What begins in the first second tells of connections that are new, and does not count in times and rates. */
    static final double WARM_UP_S = 1;

    /**
     * rate: queries a second, 0: closed. most: queries at most. seconds: those that count. ports: clients go to them in
     * turn.
     */
    record Plan(List<Integer> ports, int connections, double queriesPerSecond, double seconds, long maxQueries,
            int deadlineMs, int shards, int threads, long seed) { }

    /** What came of it: counts, and the times in microseconds of those answered. */
    static final class Result {
        long sent;
        long answered;
        long refused;
        long failed;
        long lost;
        long wrongAnswers;
        long unexpectedStatuses;
        /** Answered within the seconds that count. */
        long counted;
        double seconds;
        final Histogram micros = new Histogram(60_000_000, 3);

        void add(Result r) {
            sent += r.sent;
            answered += r.answered;
            refused += r.refused;
            failed += r.failed;
            lost += r.lost;
            wrongAnswers += r.wrongAnswers;
            unexpectedStatuses += r.unexpectedStatuses;
            counted += r.counted;
            micros.add(r.micros);
        }

        double throughput() {
            return counted / seconds;
        }

        double latencyMs(double percentile) {
            return micros.getValueAtPercentile(percentile) / 1000.0;
        }
    }

    private LoadGenerator() { }

    static Result run(Plan plan) throws InterruptedException {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(plan.threads(), NioIoHandler.newFactory());
        List<Driver> drivers = new ArrayList<>();
        CountDownLatch over = new CountDownLatch(plan.threads());
        AtomicInteger connecting = new AtomicInteger(plan.connections());
        for (int i = 0; i < plan.threads(); i++) {
            Driver d = new Driver(plan, i, over, connecting);
            drivers.add(d);
            d.loop = loops.next();
            d.loop.execute(d::begin);
        }
        over.await();
        Result all = new Result();
        drivers.forEach(d -> all.add(d.result));
        all.seconds = plan.seconds();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        return all;
    }

    /** One event loop's share of the connections and of the stream. */
    private static final class Driver {
        private final Plan plan;
        private final int index;
        private final CountDownLatch over;
        private final AtomicInteger connecting;
        private final Random random;
        private final Result result = new Result();
        private final ArrayDeque<Client> free = new ArrayDeque<>();
        private final ArrayDeque<Long> due = new ArrayDeque<>();
        private final List<Client> clients = new ArrayList<>();
        private io.netty.channel.EventLoop loop;
        /** When the stream began: once all clients of all drivers were connected; 0: not yet. */
        private long start;
        private long nextDue;
        private long number;
        private boolean ended;

        Driver(Plan plan, int index, CountDownLatch over, AtomicInteger connecting) {
            this.plan = plan;
            this.index = index;
            this.over = over;
            this.connecting = connecting;
            this.random = new Random(plan.seed() * 31 + index);
        }

        void begin() {
            int mine = plan.connections() / plan.threads() + (index < plan.connections() % plan.threads() ? 1 : 0);
            for (int i = 0; i < mine; i++) {
                clients.add(new Client(this, plan.ports().get(i % plan.ports().size())));
            }
            clients.forEach(Client::connect);
            tick();
        }

        boolean goesOn() {
            return System.nanoTime() - start < (WARM_UP_S + plan.seconds()) * 1e9
                    && result.sent < plan.maxQueries() / plan.threads();
        }

        /** Every millisecond: what is due now, and whether clients wait in vain. */
        void tick() {
            long now = System.nanoTime();
            if (start == 0) {
                if (connecting.get() > 0) {
                    loop.schedule(this::tick, 1, TimeUnit.MILLISECONDS);
                    return;
                }
                start = now;
                nextDue = now;
                if (plan.queriesPerSecond() == 0) {
                    List<Client> all = List.copyOf(free);
                    free.clear();
                    all.forEach(this::free);
                }
            }
            if (plan.queriesPerSecond() > 0 && goesOn()) {
                double each = 1e9 * plan.threads() / plan.queriesPerSecond();
                while (nextDue <= now) {
                    due.add(nextDue);
                    nextDue += (long) (-Math.log(1 - random.nextDouble()) * each);
                }
            }
            while (!due.isEmpty() && !free.isEmpty()) {
                free.poll().ask(due.poll());
            }
            boolean out = false;
            for (Client c : clients) {
                out |= c.asked && !c.overdue(now);
            }
            if (!goesOn() && !out && due.isEmpty()) {
                ended = true;
                clients.forEach(Client::close);
                over.countDown();
            } else {
                loop.schedule(this::tick, 1, TimeUnit.MILLISECONDS);
            }
        }

        void free(Client c) {
            if (start == 0) {
                free.add(c);
            } else if (plan.queriesPerSecond() == 0) {
                if (goesOn()) {
                    c.ask(System.nanoTime());
                }
            } else if (due.isEmpty()) {
                free.add(c);
            } else {
                c.ask(due.poll());
            }
        }

        byte[] request(String id) {
            int first = random.nextInt(plan.shards());
            StringBuilder parts = new StringBuilder();
            for (int i = 0; i < PARTS; i++) {
                parts.append(i == 0 ? "" : ",").append("{\"id\":").append((first + i) % plan.shards()).append('}');
            }
            String body = "{\"parts\":[" + parts + "],\"expr\":\"" + id + "\"}";
            return ("POST /api/" + String.format(Locale.ROOT, "%016x", random.nextInt(5000))
                    + " HTTP/1.1\r\nHost: a\r\n" + "Req-Id: " + id
                    + "\r\nReq-Kind: look-up\r\nReq-Owner: tenant\r\nReq-Deadline-Ms: "
                    + plan.deadlineMs() + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                    .getBytes(CharsetUtil.US_ASCII);
        }
    }

    /** One connection of a client: one query at a time. */
    private static final class Client extends ChannelInboundHandlerAdapter {
        private final Driver driver;
        private final int port;
        private final StringBuilder came = new StringBuilder();
        private Channel channel;
        private boolean asked;
        private String id = "";
        private byte[] request;
        private long askedAt;
        private boolean again;
        private boolean connected;

        Client(Driver driver, int port) {
            this.driver = driver;
            this.port = port;
        }

        void connect() {
            if (driver.ended) {
                return;
            }
            new Bootstrap().group(driver.loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel c) {
                            c.pipeline().addLast(Client.this);
                        }
                    }).connect(new InetSocketAddress("127.0.0.1", port));
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            if (!connected) {
                connected = true;
                driver.connecting.decrementAndGet();
            }
            if (asked) {
                write(); // the connection ended over a query that nobody had read
            } else {
                driver.free(this);
            }
        }

        void ask(long dueAt) {
            asked = true;
            again = false;
            askedAt = dueAt;
            id = String.format(Locale.ROOT, "%x-%x-%x", driver.plan.seed(), driver.index, driver.number++);
            request = driver.request(id);
            driver.result.sent++;
            if (channel != null) {
                write();
            }
        }

        private void write() {
            channel.writeAndFlush(Unpooled.wrappedBuffer(request), channel.voidPromise());
        }

        boolean overdue(long now) {
            if (asked && now - askedAt > driver.plan.deadlineMs() * 1_000_000L + LOST) {
                driver.result.lost++;
                asked = false;
                close();
            }
            return !asked;
        }

        void close() {
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf in = (ByteBuf) message;
            came.append(in.toString(CharsetUtil.US_ASCII));
            in.release();
            int head = came.indexOf("\r\n\r\n");
            if (head < 0) {
                return;
            }
            int at = came.indexOf("content-length: ");
            int length = Integer.parseInt(came.substring(at + 16, came.indexOf("\r\n", at)));
            if (came.length() < head + 4 + length) {
                return;
            }
            answered(came.substring(9, 12), came.substring(head + 4, head + 4 + length));
            boolean closes = came.indexOf("connection: close") > 0 && came.indexOf("connection: close") < head;
            came.setLength(0);
            if (!closes) {
                driver.free(this);
            }
        }

        private void answered(String status, String body) {
            if (!asked) {
                driver.result.wrongAnswers++;
                return;
            }
            asked = false;
            Result r = driver.result;
            switch (status) {
                case "200" -> {
                    r.answered++;
                    if (askedAt - driver.start >= WARM_UP_S * 1e9) {
                        r.micros.recordValue(Math.min(60_000_000, (System.nanoTime() - askedAt) / 1000));
                        r.counted++;
                    }
                    // Each value names the part it was made for, and gives back the text it was made from.
                    boolean right = body.startsWith("{\"exact\":true") && count(body, "\"data\":\"" + id + ".") == PARTS
                            && count(body, "/" + id + "\"") == PARTS;
                    r.wrongAnswers += right ? 0 : 1;
                }
                case "429", "503" -> r.refused++;
                case "502", "504" -> r.failed++;
                default -> r.unexpectedStatuses++;
            }
        }

        private static int count(String in, String what) {
            int n = 0;
            for (int at = in.indexOf(what); at >= 0; at = in.indexOf(what, at + 1)) {
                n++;
            }
            return n;
        }

        /** A query that crossed the end of its connection is sent once more, as the platform's clients do. */
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            channel = null;
            came.setLength(0);
            driver.free.remove(this);
            if (asked && again) {
                asked = false;
                driver.result.lost++;
            }
            again = asked;
            driver.loop.schedule(this::connect, asked ? 1 : 10, TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
