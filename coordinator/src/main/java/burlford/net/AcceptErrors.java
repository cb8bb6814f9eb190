package burlford.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Keeps a listener accepting after failed accepts. Netty's own acceptor pauses a listener for a second after a
 * failure. Here the next accept follows at once; only after several failures in a row, as without free descriptors, it
 * follows after some milliseconds, so that the event loop does not spin.
 */
public final class AcceptErrors extends ChannelInboundHandlerAdapter {

    private static final Logger LOG = Logger.getLogger(AcceptErrors.class.getName());
    /** Number of failures in a row that are each followed by another accept at once. */
    private static final int IMMEDIATE_RETRIES = 3;
    private static final long MIN_DELAY_US = 1_000;
    private static final long MAX_DELAY_US = 16_000;
    /** Of failures in a row, one in this many is logged. */
    private static final int FAILURES_PER_LOG_LINE = 100;

    /** Runs an action on the event loop after a delay. */
    public interface Scheduler {
        void runAfter(long delayUs, Runnable action);
    }

    private final Scheduler scheduler;
    private final Runnable onError;
    private final Runnable onShortage;
    private int consecutiveFailures;
    private long delayUs = MIN_DELAY_US;

    /** onError: runs at each failure. onShortage: runs after several failures in a row and may free descriptors. */
    public AcceptErrors(Scheduler scheduler, Runnable onError, Runnable onShortage) {
        this.scheduler = scheduler;
        this.onError = onError;
        this.onShortage = onShortage;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object accepted) {
        consecutiveFailures = 0;
        delayUs = MIN_DELAY_US;
        ctx.fireChannelRead(accepted);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            ctx.fireExceptionCaught(cause);
            return;
        }
        if (consecutiveFailures % FAILURES_PER_LOG_LINE == 0) {
            LOG.log(Level.WARNING, "accept failed: {0}", cause.getMessage());
        }
        consecutiveFailures++;
        onError.run();
        if (consecutiveFailures > IMMEDIATE_RETRIES) {
            onShortage.run();
            acceptLater(ctx);
        }
    }

    private void acceptLater(ChannelHandlerContext ctx) {
        ctx.channel().config().setAutoRead(false);
        scheduler.runAfter(delayUs, () -> ctx.channel().config().setAutoRead(true));
        delayUs = Math.min(MAX_DELAY_US, delayUs * 2);
    }
}
