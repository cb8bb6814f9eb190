package burlford.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Keeps a listener going over failed accepts. Netty's own acceptor pauses a listener for a second after one. Here the
 * next accept follows at once, and only where several fail on end, as without free descriptors, after some
 * milliseconds, so that the event loop does not spin.
 */
public final class AcceptErrors extends ChannelInboundHandlerAdapter {

    private static final Logger LOG = Logger.getLogger(AcceptErrors.class.getName());
    /** Failures on end that are answered by an accept at once. */
    private static final int AT_ONCE = 3;
    private static final long FIRST_DELAY_US = 1_000;
    private static final long LONGEST_DELAY_US = 16_000;
    /** Failures on end between two lines in the log. */
    private static final int LOG_EVERY = 100;

    /** Runs something later, on the event loop. */
    public interface Scheduler {
        void after(long micros, Runnable action);
    }

    private final Scheduler scheduler;
    private final Runnable onError;
    private final Runnable onShortage;
    private int failures;
    private long delay = FIRST_DELAY_US;

    /** onError: called at each failure. onShortage: where several fail on end; may free descriptors. */
    public AcceptErrors(Scheduler scheduler, Runnable onError, Runnable onShortage) {
        this.scheduler = scheduler;
        this.onError = onError;
        this.onShortage = onShortage;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object accepted) {
        failures = 0;
        delay = FIRST_DELAY_US;
        ctx.fireChannelRead(accepted);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            ctx.fireExceptionCaught(cause);
            return;
        }
        if (failures % LOG_EVERY == 0) {
            LOG.log(Level.WARNING, "accept failed: {0}", cause.getMessage());
        }
        failures++;
        onError.run();
        if (failures > AT_ONCE) {
            onShortage.run();
            acceptLater(ctx);
        }
    }

    private void acceptLater(ChannelHandlerContext ctx) {
        ctx.channel().config().setAutoRead(false);
        scheduler.after(delay, () -> ctx.channel().config().setAutoRead(true));
        delay = Math.min(LONGEST_DELAY_US, delay * 2);
    }
}
