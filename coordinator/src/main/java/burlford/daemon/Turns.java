package burlford.daemon;

import burlford.core.Counters;
import burlford.core.Deadlines;
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
final class Turns {

    private static final Logger LOG = Logger.getLogger(Turns.class.getName());
    private static final long LONGEST_TURN = 1_000_000;
    private static final long LONGEST_BIND = 10_000_000;
    private static final long BIND_RETRY = 50_000;
    private static final long NEVER = Long.MIN_VALUE;
    /** A turn that takes longer is logged: what came meanwhile lay unread for that long. */
    private static final long LONG_TURN = 100_000;

    final ManualIoEventLoop loop;
    final Deadlines deadlines = new Deadlines();
    final Counters counters = new Counters();
    final LongSupplier clock;
    /** When this turn first read from a client, and how long the one before went on from there. */
    private long woke = NEVER;
    private long spent;

    /** thread: the one that turns it; null: the first that does. clock: microseconds. */
    Turns(Thread thread, LongSupplier clock) {
        this.loop = new ManualIoEventLoop(thread, NioIoHandler.newFactory());
        this.clock = clock;
    }

    long now() {
        return clock.getAsLong();
    }

    /**
     * What is read now may have come when the turn before had just looked: a request counts from then, or a loop that
     * was short of the core would give it time that its client has not. After a wait it is younger, by that turn's
     * length at most.
     */
    long unreadSince() {
        woke = woke == NEVER ? now() : woke;
        return woke - spent;
    }

    void turn() {
        long began = now();
        long next = Math.min(deadlines.next() - began, LONGEST_TURN);
        // A wait of nought would be one without end: what is due already must not wait for the network.
        if (next > 0) {
            loop.run(TimeUnit.MICROSECONDS.toNanos(next));
        } else {
            loop.runNow();
        }
        long read = woke == NEVER ? now() : woke;
        try {
            deadlines.sweep(now());
        } catch (RuntimeException e) {
            // Of one query or peer, most likely: the others must not go down with it.
            counters.add("faults");
            LOG.log(Level.SEVERE, "a deadline's action failed", e);
        }
        spent = now() - read;
        woke = NEVER;
        logLong(Math.max(spent, now() - began - Math.max(0, next)));
    }

    private void logLong(long took) {
        if (took >= LONG_TURN) {
            counters.add("turns.long");
            LOG.log(Level.INFO, "a turn of the event loop took {0} ms besides its wait", took / 1_000);
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
        bound(binding, at);
        return binding;
    }

    private static boolean isFailedSocket(ChannelFuture binding) {
        return binding.isDone() && binding.cause() instanceof ChannelException;
    }

    /** Turns until a listener is bound. */
    void bound(ChannelFuture binding, SocketAddress at) throws IOException {
        while (!binding.isDone()) {
            loop.run(TimeUnit.MILLISECONDS.toNanos(10));
        }
        if (!binding.isSuccess()) {
            throw new IOException("cannot listen at " + at + ": " + binding.cause().getMessage());
        }
    }
}
