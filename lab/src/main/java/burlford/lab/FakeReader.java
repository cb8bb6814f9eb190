package burlford.lab;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.net.InetSocketAddress;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in reader of the platform's protocol (PROTOCOL-burlford.md, 'Coordinators to readers'): so many slots with
 * exponential service times, a waiting room, load reports; it can stand still and die. All of it runs on one event
 * loop.
 */
final class FakeReader {

    /** serviceMicros: the mean; 0: answers at once. */
    record ServiceModel(int slots, int maxQueued, long meanServiceUs) { }

    private static final class PartTask {
        final String part;
        final Channel on;
        final byte[] text;
        boolean over;

        PartTask(String part, Channel on, byte[] text) {
            this.part = part;
            this.on = on;
            this.text = text;
        }
    }

    private final EventLoop loop;
    private final Audit audit;
    private final ServiceModel model;
    private final int cell;
    private final int cells;
    private final int reach;
    private final Random random;
    private final Set<Channel> connections = new HashSet<>();
    private final Map<Channel, Map<String, PartTask>> byConnection = new HashMap<>();
    private final ArrayDeque<PartTask> waiting = new ArrayDeque<>();
    /** What came while it stands still. */
    private final ArrayDeque<Runnable> late = new ArrayDeque<>();
    private Channel listener;
    private int port;
    private int busy;
    private int probesOut;
    private boolean still;

    FakeReader(EventLoop loop, Audit audit, ServiceModel model, int cell, int cells, int reach, long seed) {
        this.loop = loop;
        this.audit = audit;
        this.model = model;
        this.cell = cell;
        this.cells = cells;
        this.reach = reach;
        this.random = new Random(seed);
    }

    int port() {
        return port;
    }

    int cell() {
        return cell;
    }

    void listen() throws InterruptedException {
        listener = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, 512)
                .childOption(ChannelOption.TCP_NODELAY, true).childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new LengthFieldBasedFrameDecoder(ByteOrder.LITTLE_ENDIAN, 1 << 20, 0, 4,
                                0, 4, true), new FrameHandler());
                    }
                }).bind(new InetSocketAddress("127.0.0.1", port)).sync().channel();
        port = ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Stands still for so long; what comes meanwhile is read late. */
    void stall(long micros) {
        loop.execute(() -> {
            still = true;
            loop.schedule(() -> {
                still = false;
                for (Runnable next = late.poll(); next != null; next = late.poll()) {
                    next.run();
                }
            }, micros, TimeUnit.MICROSECONDS);
        });
    }

    /** Its process dies: connections end, new ones are refused, until it is back at the same address. */
    void crash(long micros) {
        loop.execute(() -> {
            listener.close();
            Set.copyOf(connections).forEach(Channel::close);
            waiting.clear();
            loop.schedule(() -> {
                new Thread(() -> {
                    try {
                        listen();
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                }).start();
            }, micros, TimeUnit.MICROSECONDS);
        });
    }

    private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(ctx.channel());
            byConnection.put(ctx.channel(), new HashMap<>());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(ctx.channel());
            byConnection.remove(ctx.channel()).values().forEach(w -> {
                w.over = true;
                audit.recordEnd(w.part);
            });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            char letter = (char) frame.readUnsignedByte();
            byte[] rest = ByteBufUtil.getBytes(frame);
            Channel on = ctx.channel();
            if (letter == 'D') {
                // It has come, whether the reader stands still or not.
                parts(on, rest);
            } else if (letter == 'K') {
                giveUp(on, new String(rest, StandardCharsets.UTF_8));
            } else if (letter == 'I') {
                inTurn(() -> write(on, 'I', "200".getBytes(StandardCharsets.UTF_8)));
            } else if (letter == 'U') {
                audit.probes.incrementAndGet();
                if (++probesOut > 1) {
                    audit.doubleProbes.incrementAndGet();
                }
                inTurn(() -> {
                    probesOut--;
                    write(on, 'U', report().getBytes(StandardCharsets.UTF_8));
                });
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            ctx.flush();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private void inTurn(Runnable action) {
        if (still) {
            late.add(action);
        } else {
            action.run();
        }
    }

    private void parts(Channel on, byte[] rest) {
        int at = 0;
        while (at < rest.length) {
            int end = at;
            while (rest[end] != '\n') {
                end++;
            }
            String[] words = new String(rest, at, end - at, StandardCharsets.UTF_8).split(" ");
            int length = Integer.parseInt(words[3]);
            byte[] text = java.util.Arrays.copyOfRange(rest, end + 1, end + 1 + length);
            at = end + 1 + length;
            PartTask w = new PartTask(words[0], on, text);
            audit.recordArrival(w.part, Math.floorMod(cell - Integer.parseInt(words[1]), cells) < reach);
            byConnection.get(on).put(w.part, w);
            inTurn(() -> take(w));
        }
    }

    private void giveUp(Channel on, String part) {
        PartTask w = byConnection.get(on).remove(part);
        if (w != null) {
            w.over = true;
            audit.recordEnd(part);
        }
    }

    private void take(PartTask w) {
        if (w.over) {
            return;
        }
        if (busy < model.slots()) {
            start(w);
        } else if (waiting.size() < model.maxQueued()) {
            waiting.add(w);
        } else {
            answer(w, "503", new byte[0]);
        }
    }

    private void start(PartTask w) {
        busy++;
        if (model.meanServiceUs() == 0) {
            done(w);
            return;
        }
        long takes = (long) (-Math.log(1 - random.nextDouble()) * model.meanServiceUs());
        loop.schedule(() -> inTurn(() -> done(w)), takes, TimeUnit.MICROSECONDS);
    }

    private void done(PartTask w) {
        busy--;
        if (!w.over) {
            answer(w, "200", w.text);
        }
        for (PartTask next = waiting.poll(); next != null && busy < model.slots(); next = waiting.poll()) {
            if (!next.over) {
                start(next);
                break;
            }
        }
    }

    /** The value is the part's id and the text that came: whoever gets it can tell whether it is theirs. */
    private void answer(PartTask w, String end, byte[] text) {
        w.over = true;
        byConnection.get(w.on).remove(w.part);
        audit.recordEnd(w.part);
        byte[] line = (w.part + " " + end + " 1 -\n" + (end.equals("200") ? w.part + "/" : ""))
                .getBytes(StandardCharsets.UTF_8);
        byte[] rest = java.util.Arrays.copyOf(line, line.length + text.length);
        System.arraycopy(text, 0, rest, line.length, text.length);
        write(w.on, 'O', rest);
    }

    private String report() {
        return "inflight=" + (busy + waiting.size()) + ",qps=0";
    }

    private static void write(Channel on, char letter, byte[] rest) {
        ByteBuf frame = on.alloc().buffer(5 + rest.length);
        on.writeAndFlush(frame.writeIntLE(1 + rest.length).writeByte(letter).writeBytes(rest), on.voidPromise());
    }
}
