package burlford.store;

import burlford.net.Connector;
import io.microraft.RaftEndpoint;
import io.microraft.model.message.RaftMessage;
import io.microraft.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Messages between the members: a length and JSON, over one connection each way. What cannot be delivered is
 * dropped, as the consensus expects; the next message opens the connection again.
 */
final class MemberTransport implements Transport {

    // Name kept for existing logging configurations.
    private static final Logger LOG = Logger.getLogger("burlford.store.Peers");
    private static final int LONGEST = 1 << 26;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Map<String, InetSocketAddress> addresses;
    private final Map<String, Channel> channels = new HashMap<>();
    private final Set<String> reachable = ConcurrentHashMap.newKeySet();
    /** Closed with the rest: a member that only stopped listening would swallow what others still send. */
    private final ChannelGroup accepted;
    private Channel listener;
    private boolean closed;

    MemberTransport(EventLoop loop, Bootstrap bootstrap, Map<String, InetSocketAddress> addresses) {
        this.loop = loop;
        this.bootstrap = bootstrap;
        this.addresses = addresses;
        accepted = new DefaultChannelGroup(loop);
    }

    ChannelFuture listen(ServerBootstrap server, InetSocketAddress at, Consumer<RaftMessage> receiver) {
        ChannelFuture bound = server.childHandler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel c) {
                accepted.add(c);
                c.pipeline().addLast(new LengthFieldBasedFrameDecoder(LONGEST, 0, 4, 0, 4), receive(receiver));
            }
        }).bind(at);
        listener = bound.channel();
        return bound;
    }

    private ChannelHandler receive(Consumer<RaftMessage> receiver) {
        return new SimpleChannelInboundHandler<ByteBuf>() {
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) throws IOException {
                byte[] bytes = new byte[in.readableBytes()];
                in.readBytes(bytes);
                if (RaftCodec.decode(bytes) instanceof RaftMessage m && addresses.containsKey(m.getSender().getId())) {
                    receiver.accept(m);
                } else {
                    throw new IOException("not from a member");
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                LOG.log(Level.FINE, "store: a peer's connection ended", cause);
                ctx.close();
            }
        };
    }

    @Override
    public void send(RaftEndpoint to, RaftMessage message) {
        loop.execute(() -> deliver((String) to.getId(), message));
    }

    private void deliver(String to, RaftMessage message) {
        if (closed) {
            return;
        }
        Channel c = channels.get(to);
        if (c == null || !c.isOpen()) {
            c = connect(to);
        }
        // What comes while the connection opens is dropped: the sender says it again.
        if (c != null && c.isActive()) {
            try {
                c.writeAndFlush(Unpooled.wrappedBuffer(RaftCodec.encode(message)));
            } catch (IOException e) {
                LOG.log(Level.SEVERE, "store: cannot write " + message, e);
            }
        }
    }

    private Channel connect(String to) {
        Channel channel = Connector.connect(bootstrap, addresses.get(to), () -> reachable.add(to),
                cause -> LOG.log(Level.FINE, "store: no connection to " + to, cause), new LengthFieldPrepender(4),
                receive(m -> { }));
        if (channel == null) {
            channels.remove(to);
            return null;
        }
        channels.put(to, channel);
        channel.closeFuture().addListener(f -> reachable.remove(to));
        return channel;
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
        return reachable.contains((String) endpoint.getId());
    }

    void close() {
        closed = true;
        channels.values().forEach(Channel::close);
        accepted.close();
        if (listener != null) {
            listener.close();
        }
    }
}
