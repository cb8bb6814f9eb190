package burlford.daemon;

import burlford.core.Counters;
import burlford.core.Timers;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One event loop, turned by hand on one thread: each turn waits for the network no longer than until the next
 * deadline, and sweeps the deadlines after it.
 */
final class EventLoopDriver {

    // Name kept for existing logging configurations.
    private static final Logger LOG = Logger.getLogger("burlford.daemon.Turns");
    /** A longer wait would hide that the process was held up while it waited. */
    private static final long LONGEST_WAIT = 50_000;
    private static final long LONGEST_WAKE_UP = 20_000;
    /** After a longer turn what came meanwhile is read first, apart from what comes later. */
    private static final long SHORT_TURN = 5_000;
    private static final long LONGEST_BIND = 10_000_000;
    private static final long BIND_RETRY = 50_000;
    private static final long NEVER = Long.MIN_VALUE;
    /** A turn that takes longer is logged: what came meanwhile lay unread. */
    private static final long LONG_TURN = 100_000;

    final ManualIoEventLoop loop;
    final Timers timers = new Timers();
    final Counters counters = new Counters();
    final LongSupplier clock;
    private final LongSupplier source;
    private Runnable onMemoryShortage = () -> { };
    /** When this turn asked the network what had come, and how long it was ready to wait for that; 0: it was not. */
    private long polledAt;
    private long pollWait;
    private boolean polling;
    /** When the first of what had come was looked at. */
    private long firstLook = NEVER;
    /** When the turn before was told what had come, and how long it went on from there. */
    private long previousPoll;
    private long spent;

    /** thread: the one that turns it; null: the first that does. clock: microseconds. */
    EventLoopDriver(Thread thread, LongSupplier clock) {
        this.loop = new ManualIoEventLoop(thread, NioIoHandler.newFactory());
        this.source = clock;
        this.clock = this::now;
        this.previousPoll = now();
        counters.add("faults.memory", 0); // so that counting it takes no memory
    }

    long now() {
        long now = source.getAsLong();
        firstLook = polling && firstLook == NEVER ? now : firstLook;
        return now;
    }

    /**
     * Since when what is read now may have lain unread; a request counts from then, or a loop that was held up would
     * give it time that its client has not. Exact to some 50 ms, within what is allowed of a deadline.
     */
    long earliestArrivalAt() {
        now();
        if (pollWait == 0) {
            return previousPoll;
        }
        return wasHeldUp() ? polledAt : firstLook - spent;
    }

    /** While it waited for the network: when that had something, nobody knows. */
    private boolean wasHeldUp() {
        return firstLook - polledAt > pollWait + LONGEST_WAKE_UP;
    }

    /**
     * By how much what is read now may be older than it looks, where the loop was busy or the process held up for long;
     * 0 where it was not. That time is no reader's.
     */
    long stallUs() {
        long age = now() - earliestArrivalAt();
        return age >= LONG_TURN ? age : 0;
    }

    void runIteration() {
        polledAt = now();
        long wait = spent > SHORT_TURN ? 0 : Math.min(timers.nextDueAt() - polledAt, LONGEST_WAIT);
        pollWait = Math.max(0, wait);
        int handled = poll();
        long told = told(handled);
        if (handled == 0 && pollWait > 0 && told == polledAt) {
            // Interrupted, as by a pause of the process: nothing is due before what came meanwhile is read.
            previousPoll = told;
            pollWait = 0;
            poll();
        }
        sweep();
        previousPoll = told;
        spent = now() - told;
        logLong();
    }

    /** Sets the action that frees memory where there is none left. */
    void onMemoryShortage(Runnable action) {
        onMemoryShortage = action;
    }

    private int poll() {
        firstLook = NEVER;
        polling = true;
        try {
            // A wait of nought would be one without end: what is due already must not wait for the network.
            return pollWait > 0 ? loop.run(TimeUnit.MICROSECONDS.toNanos(pollWait)) : loop.runNow();
        } catch (VirtualMachineError e) {
            survive(e);
            return 1;
        } finally {
            polling = false;
        }
    }

    /** One event cannot be handled for want of memory or stack: the process must not end for all the others. */
    private void survive(VirtualMachineError error) {
        counters.add("faults.memory");
        try {
            onMemoryShortage.run();
            LOG.log(Level.SEVERE, "an event could not be handled", error);
        } catch (VirtualMachineError again) {
            counters.add("faults.memory");
        }
    }

    /**
     * When the poll told what had come, at the earliest. One that was interrupted tells nothing, though something came.
     */
    private long told(int handled) {
        if (handled == 0) {
            firstLook = now();
        }
        return pollWait == 0 || firstLook == NEVER || wasHeldUp() ? polledAt : firstLook;
    }

    private void sweep() {
        try {
            timers.runDue(now());
        } catch (VirtualMachineError e) {
            survive(e);
        } catch (RuntimeException e) {
            // Of one query or peer, most likely: the others must not go down with it.
            counters.add("faults");
            LOG.log(Level.SEVERE, "a deadline's action failed", e);
        }
    }

    private void logLong() {
        if (spent >= LONG_TURN) {
            counters.add("turns.long");
            LOG.log(Level.INFO, "a turn of the event loop took {0} ms", spent / 1_000);
        }
    }

    /** Binds a listener; where no socket can be made for a moment, tries again for some seconds. */
    ChannelFuture bind(ServerBootstrap listener, SocketAddress at) throws IOException {
        long until = now() + LONGEST_BIND;
        ChannelFuture binding = listener.bind(at);
        while (isFailedSocket(binding) && now() < until) {
            loop.run(TimeUnit.MICROSECONDS.toNanos(BIND_RETRY));
            binding = listener.bind(at);
        }
        awaitBound(binding, at);
        return binding;
    }

    private static boolean isFailedSocket(ChannelFuture binding) {
        return binding.isDone() && binding.cause() instanceof ChannelException;
    }

    /** Turns until a listener is bound. */
    void awaitBound(ChannelFuture binding, SocketAddress at) throws IOException {
        while (!binding.isDone()) {
            loop.run(TimeUnit.MILLISECONDS.toNanos(10));
        }
        if (!binding.isSuccess()) {
            throw new IOException("cannot listen at " + at + ": " + binding.cause().getMessage());
        }
    }
}
