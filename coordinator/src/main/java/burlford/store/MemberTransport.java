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
 * Carries Raft messages between the members as length-prefixed JSON, over one connection in each direction.
 * Messages that cannot be delivered are dropped, which Raft tolerates; the next message reopens the connection.
 */
final class MemberTransport implements Transport {

    // Name kept for existing logging configurations.
    private static final Logger LOG = Logger.getLogger("burlford.store.Peers");
    private static final int MAX_MESSAGE_BYTES = 1 << 26;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Map<String, InetSocketAddress> addresses;
    private final Map<String, Channel> channels = new HashMap<>();
    private final Set<String> reachable = ConcurrentHashMap.newKeySet();
    /** Accepted connections, closed by {@code close}: else a stopped member would receive and discard messages. */
    private final ChannelGroup acceptedChannels;
    private Channel listener;
    private boolean closed;

    MemberTransport(EventLoop loop, Bootstrap bootstrap, Map<String, InetSocketAddress> addresses) {
        this.loop = loop;
        this.bootstrap = bootstrap;
        this.addresses = addresses;
        acceptedChannels = new DefaultChannelGroup(loop);
    }

    ChannelFuture listen(ServerBootstrap server, InetSocketAddress address, Consumer<RaftMessage> receiver) {
        ChannelFuture bound = server.childHandler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel c) {
                acceptedChannels.add(c);
                c.pipeline().addLast(new LengthFieldBasedFrameDecoder(MAX_MESSAGE_BYTES, 0, 4, 0, 4),
                        inboundHandler(receiver));
            }
        }).bind(address);
        listener = bound.channel();
        return bound;
    }

    private ChannelHandler inboundHandler(Consumer<RaftMessage> receiver) {
        return new SimpleChannelInboundHandler<ByteBuf>() {
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) throws IOException {
                byte[] bytes = new byte[in.readableBytes()];
                in.readBytes(bytes);
                if (RaftCodec.decode(bytes) instanceof RaftMessage m && addresses.containsKey(m.getSender().getId())) {
                    receiver.accept(m);
                } else {
                    throw new IOException("not a message of a known member");
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                LOG.log(Level.FINE, "store: connection to a member ended", cause);
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
        Channel channel = channels.get(to);
        if (channel == null || !channel.isOpen()) {
            channel = connect(to);
        }
        // Messages are dropped while the connection is being opened: Raft repeats them.
        if (channel != null && channel.isActive()) {
            try {
                channel.writeAndFlush(Unpooled.wrappedBuffer(RaftCodec.encode(message)));
            } catch (IOException e) {
                LOG.log(Level.SEVERE, "store: cannot encode " + message, e);
            }
        }
    }

    private Channel connect(String to) {
        Channel channel = Connector.connect(bootstrap, addresses.get(to), () -> reachable.add(to),
                cause -> LOG.log(Level.FINE, "store: no connection to " + to, cause), new LengthFieldPrepender(4),
                inboundHandler(m -> { }));
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
        acceptedChannels.close();
        if (listener != null) {
            listener.close();
        }
    }
}
