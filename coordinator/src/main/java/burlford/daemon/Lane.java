package burlford.daemon;

import burlford.clients.Connections;
import burlford.clients.HttpConnection;
import burlford.clients.PlatformFront;
import burlford.core.Census;
import burlford.core.Commons;
import burlford.core.Coordinator;
import burlford.core.Crowd;
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
    final Turns turns;
    final Coordinator coordinator;
    final Connections connections;
    /** For connections to others, on this loop. */
    final Bootstrap out;
    private final Shared shared;
    private final ReaderPool readers;
    private final HttpConnection.Front platform;
    /** null: there is no search front. */
    private final SearchFront search;
    private volatile boolean leaving;
    private long writtenBy;

    /** counters: those of the process, a line each. */
    Lane(int number, Turns turns, Shared shared, Dispatcher dispatcher, Commons commons, Census census, Crowd crowd,
            Supplier<String> counters) {
        this.number = number;
        this.turns = turns;
        this.shared = shared;
        Shared.Setup setup = shared.setup();
        connections = new Connections(setup.configuration().sockets(), crowd, turns.counters, turns.deadlines,
                turns.clock);
        coordinator = new Coordinator(setup.site(), dispatcher, commons, turns.deadlines, turns.counters, turns.clock);
        out = new Bootstrap().group(turns.loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0);
        readers = new ReaderPool(out, coordinator, turns.deadlines, census,
                () -> shared.configuration().sockets() / READERS_SHARE);
        coordinator.connect(readers);
        platform = new PlatformFront(coordinator, shared::draining, counters);
        OperatorFile.Search s = setup.operator().search();
        search = s == null ? null : new SearchFront(coordinator, s.cluster(), setup.configuration().name(), s.indices(),
                setup.configuration().seed() ^ turns.now() ^ Long.rotateRight(number, 8), shared::draining);
    }

    /** The decision module of one of so many lanes. */
    static Dispatcher dispatcher(Shared.Setup setup, int lane, int lanes) {
        long seed = setup.configuration().seed();
        return lanes == 1 ? new Dispatcher(setup.module(), seed)
                : new Dispatcher(LaneSettings.of(setup.module(), lane, lanes), seed + lane * SEED_STEP);
    }

    /** Bytes of requests that the process may hold. */
    static long mostHeld() {
        return Runtime.getRuntime().maxMemory() / HELD_SHARE;
    }

    /** New settings: for queries to come; those open end under the ones they began with. */
    void reconfigure(Shared.Setup setup, Dispatcher dispatcher) {
        coordinator.reconfigure(setup.site(), dispatcher);
        if (search != null) {
            search.reconfigure(setup.operator().search().indices());
        }
    }

    void drain() {
        coordinator.endBy(shared.endBy());
        turns.deadlines.at(shared.stopAt(), () -> { });
        turns.deadlines.at(shared.leaveAt(), () -> { }); // ends the turn that waits for the network then
    }

    /** Told to stop, all answered, and the answers written; a client that does not read its own is not waited for. */
    boolean over() {
        long now = turns.now();
        boolean nobody = now >= shared.leaveAt() && !connections.anyOpen();
        if (!coordinator.idle() || now < shared.stopAt() && !nobody) {
            writtenBy = now + LONGEST_WRITE;
            return false;
        }
        return connections.allWritten() || now >= writtenBy;
    }

    /** From now on connections end behind their answers. */
    void leave() {
        leaving = true;
    }

    void closeReaders() {
        readers.close();
    }

    /** Takes a client's connection; on this lane's loop. */
    void take(Channel client, Door door) {
        turns.counters.add("clients.connections");
        serve(client, door == Door.SEARCH ? search : platform);
    }

    /** Takes one that another lane has served so far. */
    void takeOver(Channel client, Door door) {
        turns.counters.add("clients.connections.moved");
        serve(client, door == Door.SEARCH ? search : platform);
    }

    void serve(Channel client, HttpConnection.Front front) {
        client.pipeline().addLast(HttpConnection.handlers(front, turns::unreadSince,
                () -> leaving || shared.handingOver(), connections));
    }
}
