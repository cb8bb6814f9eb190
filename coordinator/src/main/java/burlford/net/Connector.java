package burlford.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import java.net.SocketAddress;
import java.util.function.Consumer;

/** Opens outbound connections and reports how that went on the event loop of the bootstrap, whatever fails. */
public final class Connector {

    private Connector() { }

    /**
     * Opens a connection with these handlers. Calls up or failed, once, on the event loop and after this has returned.
     *
     * @return the channel; null where not even a socket could be made, which failed is told
     */
    public static Channel connect(Bootstrap bootstrap, SocketAddress address, Runnable up, Consumer<Throwable> failed,
            ChannelHandler... handlers) {
        ChannelFuture connecting = bootstrap.clone().handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel c) {
                c.pipeline().addLast(handlers);
            }
        }).connect(address);
        if (connecting.isDone() && !connecting.isSuccess()) {
            // Netty would tell this on a thread of its own: the channel never got to the event loop.
            bootstrap.config().group().next().execute(() -> failed.accept(connecting.cause()));
            return null;
        }
        connecting.addListener(f -> {
            if (f.isSuccess()) {
                up.run();
            } else {
                failed.accept(f.cause());
            }
        });
        return connecting.channel();
    }
}
