package burlford.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.AttributeKey;
import java.util.function.LongSupplier;

/**
 * Notes on each accepted connection since when it, and a request on it, may have waited in the listener's backlog. One
 * that was left there, because an event loop accepts only so many in a turn or an accept failed, counts from the first
 * turn that could have taken it.
 */
public final class BacklogAge extends ChannelInboundHandlerAdapter {

    /** Of an accepted channel: since when it may have waited, on the clock that was given. */
    public static final AttributeKey<Long> WAITING_SINCE = AttributeKey.valueOf(BacklogAge.class, "waitingSince");
    /** Netty accepts no more in a turn. */
    private static final int MOST_ACCEPTED = 16;
    private static final long NONE = Long.MAX_VALUE;

    private final LongSupplier earliestArrivalAt;
    private int accepted;
    /** Since when the backlog may not have been empty; NONE: the last accepts emptied it. */
    private long filledSince = NONE;
    /** The same as of the read before; a failed accept is told only behind the end of its read. */
    private long filledBefore = NONE;

    /** unreadSince: since when what is read now may have waited. */
    public BacklogAge(LongSupplier unreadSince) {
        this.earliestArrivalAt = unreadSince;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        accepted++;
        ((Channel) message).attr(WAITING_SINCE).set(waitingSince());
        ctx.fireChannelRead(message);
    }

    private long waitingSince() {
        return Math.min(filledSince, earliestArrivalAt.getAsLong());
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        filledBefore = filledSince;
        filledSince = accepted < MOST_ACCEPTED ? NONE : waitingSince();
        accepted = 0;
        ctx.fireChannelReadComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        filledSince = Math.min(filledBefore, waitingSince());
        ctx.fireExceptionCaught(cause);
    }
}
