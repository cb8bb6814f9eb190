package burlford.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import java.net.SocketAddress;
import java.util.function.Consumer;

/** Opens outbound connections and reports success or any kind of failure on the bootstrap's event loop. */
public final class Connector {

    private Connector() { }

    /**
     * Opens a connection with the given handlers. Either onConnected or onFailed runs once, on the event loop and
     * after this method has returned.
     *
     * @return the channel; null where no socket could be created, which is reported to onFailed
     */
    public static Channel connect(Bootstrap bootstrap, SocketAddress address, Runnable onConnected,
            Consumer<Throwable> onFailed, ChannelHandler... handlers) {
        ChannelFuture connecting = bootstrap.clone().handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel c) {
                c.pipeline().addLast(handlers);
            }
        }).connect(address);
        if (connecting.isDone() && !connecting.isSuccess()) {
            // Netty would report this on a thread of its own, since the channel was not registered with an event loop.
            bootstrap.config().group().next().execute(() -> onFailed.accept(connecting.cause()));
            return null;
        }
        connecting.addListener(f -> {
            if (f.isSuccess()) {
                onConnected.run();
            } else {
                onFailed.accept(f.cause());
            }
        });
        return connecting.channel();
    }
}
