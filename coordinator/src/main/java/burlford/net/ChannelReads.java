package burlford.net;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;

/** Ways of reading channels by which the end of a connection is detected as early as possible. */
public final class ChannelReads {

    /** Reads of one channel before the event loop goes on to the others; Netty's default. */
    private static final int MAX_READS_PER_ITERATION = 16;

    /**
     * Receive allocator with which reading goes on until the socket is empty. Netty's default stops after a read that
     * did not fill its buffer, and the connection's end behind those bytes is then seen only in the next iteration.
     */
    public static final RecvByteBufAllocator READ_UNTIL_EMPTY_ALLOCATOR = new AdaptiveRecvByteBufAllocator()
            .respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_ITERATION);

    private ChannelReads() { }

    /**
     * Reads what has arrived on a channel, as its event loop would in its next iteration. To be called on that loop.
     */
    public static void readNow(Channel channel) {
        if (channel.isActive() && channel.config().isAutoRead()
                && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe nio) {
            nio.read();
        }
    }
}
