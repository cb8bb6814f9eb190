package burlford.daemon;

import burlford.clients.Connections;
import burlford.clients.HttpConnection;
import burlford.clients.PlatformFront;
import burlford.core.ClientLimits;
import burlford.core.Coordinator;
import burlford.core.ReaderConnectionLimits;
import burlford.core.SharedState;
import burlford.lanes.LaneSettings;
import burlford.policy.Dispatcher;
import burlford.search.SearchFront;
import burlford.servers.ReaderPool;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.function.Supplier;

/** One event loop that serves: its clients' and readers' connections, its open queries, its decision module. */
final class Lane {

    private static final long LONGEST_WRITE = 2_000_000;
    /** An eighth of the heap is for requests that come in or wait their turn. */
    private static final int HELD_SHARE = 8;
    /** Of all descriptors a sixth may go to readers before calls share connections. */
    private static final int READERS_SHARE = 6;
    /** Modules of one process draw from seeds so far apart. */
    private static final long SEED_STEP = 0x9E3779B97F4A7C15L;

    final int number;
    final EventLoopDriver loopDriver;
    final Coordinator coordinator;
    final Connections connections;
    /** For connections to others, on this loop. */
    final Bootstrap outboundBootstrap;
    private final DaemonContext shared;
    private final ReaderPool readers;
    private final HttpConnection.Front platform;
    /** null: there is no search front. */
    private final SearchFront search;
    private volatile boolean leaving;
    private long writtenBy;

    /** counters: those of the process, a line each. */
    Lane(int number, EventLoopDriver turns, DaemonContext shared, Dispatcher dispatcher, SharedState commons,
            ReaderConnectionLimits census, ClientLimits crowd, Supplier<String> counters) {
        this.number = number;
        this.loopDriver = turns;
        this.shared = shared;
        DaemonContext.ParsedConfiguration setup = shared.parsedConfiguration();
        connections = new Connections(setup.configuration().maxSockets(), crowd, turns.counters, turns.timers,
                turns.clock);
        turns.onMemoryShortage(connections::giveUpAllMemory);
        coordinator = new Coordinator(setup.site(), dispatcher, commons, turns.timers, turns.counters, turns.clock);
        outboundBootstrap = new Bootstrap().group(turns.loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0);
        readers = new ReaderPool(outboundBootstrap, coordinator, turns.timers, census,
                () -> shared.configuration().maxSockets() / READERS_SHARE);
        coordinator.setReaderTransport(readers);
        platform = new PlatformFront(coordinator, shared::isDraining, counters);
        OperatorFile.SearchFrontSettings s = setup.operatorFile().search();
        search = s == null ? null : new SearchFront(coordinator, s.cluster(), setup.configuration().name(), s.indices(),
                setup.configuration().seed() ^ turns.now() ^ Long.rotateRight(number, 8), shared::isDraining);
    }

    /** The decision module of one of so many lanes. */
    static Dispatcher createDispatcher(DaemonContext.ParsedConfiguration setup, int lane, int lanes) {
        long seed = setup.configuration().seed();
        return lanes == 1 ? new Dispatcher(setup.moduleSettings(), seed)
                : new Dispatcher(LaneSettings.of(setup.moduleSettings(), lane, lanes), seed + lane * SEED_STEP);
    }

    /** Bytes of requests that the process may hold. */
    static long maxRequestBytes() {
        return Runtime.getRuntime().maxMemory() / HELD_SHARE;
    }

    /** New settings: for queries to come; those open end under the ones they began with. */
    void reconfigure(DaemonContext.ParsedConfiguration setup, Dispatcher dispatcher) {
        coordinator.reconfigure(setup.site(), dispatcher);
        if (search != null) {
            search.reconfigure(setup.operatorFile().search().indices());
        }
    }

    void drain() {
        coordinator.answerAllBy(shared.answerAllBy());
        loopDriver.timers.schedule(shared.exitDespiteClientsAt(), () -> { });
        loopDriver.timers.schedule(shared.earliestExitAt(), () -> { }); // ends the turn that waits for the network then
    }

    /** Told to stop, all answered, and the answers written; a client that does not read its own is not waited for. */
    boolean isDrained() {
        long now = loopDriver.now();
        boolean nobody = now >= shared.earliestExitAt() && !connections.hasOpenConnections();
        if (!coordinator.isIdle() || now < shared.exitDespiteClientsAt() && !nobody) {
            writtenBy = now + LONGEST_WRITE;
            return false;
        }
        return connections.allRepliesWritten() || now >= writtenBy;
    }

    /** From now on connections end behind their answers. */
    void closeAfterReply() {
        leaving = true;
    }

    void closeReaderConnections() {
        readers.close();
    }

    /** Takes a client's connection; on this lane's loop. */
    void serveAccepted(Channel client, FrontType door) {
        loopDriver.counters.add("clients.connections");
        serve(client, door == FrontType.SEARCH ? search : platform);
    }

    /** Takes one that another lane has served so far. */
    void serveMoved(Channel client, FrontType door) {
        loopDriver.counters.add("clients.connections.moved");
        serve(client, door == FrontType.SEARCH ? search : platform);
    }

    void serve(Channel client, HttpConnection.Front front) {
        client.pipeline().addLast(HttpConnection.createHandlers(front, loopDriver::earliestArrivalAt,
                () -> leaving || shared.isClosingAfterReply(), connections));
    }
}
