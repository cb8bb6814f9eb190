package burlford.net;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;

/** Ways of reading channels by which the end of a connection is detected as early as possible. */
public final class ChannelReads {

    /** Reads of one channel before the event loop goes on to the others; Netty's default. */
    public static final int MAX_READS_PER_ITERATION = 16;
    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2048;
    /** Bounds what one read adds to the memory before its connection can be stopped. */
    private static final int MAX_READ_BYTES = 8192;

    /**
     * Receive allocator with which reading goes on until the socket is empty. Netty's default stops after a read that
     * did not fill its buffer, and the connection's end behind those bytes is then seen only in the next iteration.
     */
    public static final RecvByteBufAllocator READ_UNTIL_EMPTY_ALLOCATOR = new AdaptiveRecvByteBufAllocator(
            MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES).respectMaybeMoreData(false)
            .maxMessagesPerRead(MAX_READS_PER_ITERATION);

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
