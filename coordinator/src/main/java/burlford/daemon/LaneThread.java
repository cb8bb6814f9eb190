package burlford.daemon;

import burlford.clients.HttpConnection;
import burlford.lanes.LaneShare;
import burlford.lanes.ProcessResources;
import burlford.policy.Dispatcher;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One lane of several, on a thread of its own: its turns, what it publishes after each, and how it ends, in order or
 * by an error that escapes a turn.
 */
final class LaneThread {

    private static final Logger LOG = Logger.getLogger(LaneThread.class.getName());
    /** So long a lane that came to grief waits for its last replies to be written and its last requests to end. */
    private static final long LAST_WORDS = 2_500_000;
    private static final long LAST_TURN = 10_000;
    private static final int MOST_ERRORS = 10;

    /** Who started the lane; called on the lane's thread. */
    interface Owner {

        /** The lane takes nothing more, by that error or, where it is null, because it was given up. */
        void onFailed(LaneThread lane, Throwable why);

        /** A client's connection leaves the lane for the lane of that number, or any other. */
        void onConnectionReleased(Channel client, int to);

        /** It has ended: nothing of it runs any more. */
        void onEnded(LaneThread lane);
    }

    /** Connections that are to go to another lane. */
    private record MoveRequest(int to, int connections) { }

    final int number;
    final LaneShare share;
    final Lane lane;
    final EventLoopDriver loopDriver;
    private final Thread thread;
    private final Owner owner;
    private volatile boolean mayEnd;
    private volatile boolean settled;
    private volatile MoveRequest toMove;

    LaneThread(int number, int lanes, DaemonContext shared, ProcessResources ground, Supplier<String> counters,
            Owner owner) {
        this.number = number;
        this.owner = owner;
        thread = new Thread(this::run, "lane-" + number);
        thread.setDaemon(true); // one that hangs must not keep the process
        loopDriver = new EventLoopDriver(thread, shared.clock);
        share = new LaneShare(ground, number, loopDriver.loop, shared.clock);
        Dispatcher dispatcher = Lane.createDispatcher(shared.parsedConfiguration(), number, lanes);
        lane = new Lane(number, loopDriver, shared, dispatcher, share, share.readerConnectionLimits(),
                share.clientLimits(), counters);
    }

    void start() {
        share.join(() -> lane.coordinator.failAll("the lane stood still for too long"),
                lane.connections::evictIdleConnection, lane.coordinator::refresh);
        thread.start();
    }

    /** Any thread: wakes one that sleeps or waits, in the hope that it comes back. */
    void interrupt() {
        thread.interrupt();
    }

    /** Any thread: it ends once all is answered. */
    void stopWhenIdle() {
        mayEnd = true;
        loopDriver.loop.execute(() -> { });
    }

    /** Any thread: as of its last turn, all is answered and written. */
    boolean isSettled() {
        return settled;
    }

    /** Any thread: so many connections are to go to another lane as soon as they are between requests. */
    void requestMove(int to, int connections) {
        toMove = new MoveRequest(to, connections);
        loopDriver.loop.execute(() -> { });
    }

    private void run() {
        Throwable why = null;
        try {
            while (!(mayEnd && settled) && !share.isFenced()) {
                loopDriver.runIteration();
                share.flushPeerUpdates();
                share.longestIdleSince(lane.connections.longestIdleSince());
                settled = lane.coordinator.isIdle() && lane.connections.allRepliesWritten();
                moveSome();
            }
        } catch (Throwable t) { // whatever it is, its clients are to hear of their queries' end
            why = t;
        }
        try {
            if (why != null || share.isFenced()) {
                fail(why);
            }
        } finally {
            close();
            owner.onEnded(this);
        }
    }

    private void moveSome() {
        MoveRequest l = toMove;
        if (l == null) {
            return;
        }
        int moved = 0;
        for (HttpConnection c : lane.connections.movableConnections(l.connections())) {
            moved += c.detach(channel -> owner.onConnectionReleased(channel, l.to())) ? 1 : 0;
        }
        toMove = moved >= l.connections() ? null : new MoveRequest(l.to(), l.connections() - moved);
    }

    /** Each open query ends as failed; connections between requests go elsewhere, others end behind their replies. */
    private void fail(Throwable why) {
        Thread.interrupted(); // set, it would close whatever is read or written
        LOG.log(Level.SEVERE, "lane " + number + " ends", why);
        owner.onFailed(this, why);
        lane.coordinator.failAll("the lane that had the query has failed");
        share.flushPeerUpdates();
        long until = loopDriver.now() + LAST_WORDS;
        Consumer<Channel> elsewhere = channel -> owner.onConnectionReleased(channel, -1);
        lane.closeAfterReply();
        int errors = 0;
        while (loopDriver.now() < until && errors < MOST_ERRORS && (lane.connections.openCount() > 0
                || !lane.connections.allRepliesWritten())) {
            try {
                loopDriver.timers.schedule(loopDriver.now() + LAST_TURN, () -> { });
                loopDriver.runIteration();
                lane.connections.movableConnections(Integer.MAX_VALUE).forEach(c -> c.detach(elsewhere));
            } catch (RuntimeException | Error e) {
                errors++;
                LOG.log(Level.SEVERE, "lane " + number + " in ending", e);
            }
        }
        lane.closeReaderConnections();
    }

    /** Closes what is open on the loop; what is handed to it from now on is rejected. */
    private void close() {
        share.close();
        loopDriver.loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        while (!loopDriver.loop.isTerminated()) {
            loopDriver.loop.run(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }
}
