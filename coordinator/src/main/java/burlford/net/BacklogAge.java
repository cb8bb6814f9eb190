package burlford.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.AttributeKey;
import java.util.function.LongSupplier;

/**
 * Records on each accepted connection since when it, with a request on it, may have waited in the listener's backlog.
 * For one that was left there, because the number of accepts per event-loop iteration is limited or an accept failed,
 * that is the first iteration that could have accepted it. Times are those of the given clock.
 */
public final class BacklogAge extends ChannelInboundHandlerAdapter {

    /** Attribute of an accepted channel: since when it may have waited. */
    public static final AttributeKey<Long> WAITING_SINCE = AttributeKey.valueOf(BacklogAge.class, "waitingSince");
    /** Netty accepts no more than this in one read. */
    private static final int MAX_ACCEPTS_PER_READ = 16;
    private static final long EMPTY = Long.MAX_VALUE;

    private final LongSupplier earliestArrivalAt;
    private int accepted;
    /** Since when the backlog may not have been empty; EMPTY: the last read emptied it. */
    private long nonEmptySince = EMPTY;
    /** The same before the last read, since Netty reports a failed accept only after the end of its read. */
    private long previousNonEmptySince = EMPTY;

    /** earliestArrivalAt: the earliest time at which what is read now may have arrived. */
    public BacklogAge(LongSupplier earliestArrivalAt) {
        this.earliestArrivalAt = earliestArrivalAt;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        accepted++;
        ((Channel) message).attr(WAITING_SINCE).set(waitingSince());
        ctx.fireChannelRead(message);
    }

    private long waitingSince() {
        return Math.min(nonEmptySince, earliestArrivalAt.getAsLong());
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        previousNonEmptySince = nonEmptySince;
        nonEmptySince = accepted < MAX_ACCEPTS_PER_READ ? EMPTY : waitingSince();
        accepted = 0;
        ctx.fireChannelReadComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        nonEmptySince = Math.min(previousNonEmptySince, waitingSince());
        ctx.fireExceptionCaught(cause);
    }
}
