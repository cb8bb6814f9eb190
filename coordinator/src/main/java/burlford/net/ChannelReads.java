package burlford.net;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;

/** How sockets are read where it matters that the end of a connection is seen as soon as it can be. */
public final class ChannelReads {

    /** Of one channel before others of the event loop have their turn; netty's default. */
    private static final int MOST_READS = 16;

    /**
     * An allocator whose reads go on until nothing is left. Netty's own takes a read that did not fill its buffer for
     * the last one, and an end that lies behind those bytes waits for the next turn of the event loop.
     */
    public static final RecvByteBufAllocator READ_UNTIL_EMPTY_ALLOCATOR = new AdaptiveRecvByteBufAllocator()
            .respectMaybeMoreData(false).maxMessagesPerRead(MOST_READS);

    private ChannelReads() { }

    /** Reads what has come on a channel, as its event loop would in its next turn. To be called on that loop. */
    public static void readNow(Channel channel) {
        if (channel.isActive() && channel.config().isAutoRead()
                && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe nio) {
            nio.read();
        }
    }
}
