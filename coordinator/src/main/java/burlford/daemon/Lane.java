package burlford.daemon;

import burlford.clients.Connections;
import burlford.clients.HttpConnection;
import burlford.clients.PlatformFront;
import burlford.core.Coordinator;
import burlford.policy.Dispatcher;
import burlford.search.SearchFront;
import burlford.servers.ReaderPool;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;

/** One event loop that serves: its clients' and readers' connections, its open queries, its decision module. */
final class Lane {

    private static final long LONGEST_WRITE = 2_000_000;
    /** An eighth of the heap is for requests that come in or wait their turn. */
    private static final int HELD_SHARE = 8;
    /** Of all descriptors a sixth may go to readers before calls share connections. */
    private static final int READERS_SHARE = 6;

    final Turns turns;
    final Coordinator coordinator;
    final Connections connections;
    /** For connections to others, on this loop. */
    final Bootstrap out;
    private final Shared shared;
    private final HttpConnection.Front platform;
    /** null: there is no search front. */
    private final SearchFront search;
    private long writtenBy;

    Lane(Turns turns, Shared shared) {
        this.turns = turns;
        this.shared = shared;
        Shared.Setup setup = shared.setup();
        connections = new Connections(setup.configuration().sockets(), Runtime.getRuntime().maxMemory() / HELD_SHARE,
                turns.deadlines, turns.clock);
        coordinator = new Coordinator(setup.site(), dispatcher(setup), turns.deadlines, turns.counters, turns.clock);
        out = new Bootstrap().group(turns.loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0);
        coordinator.connect(new ReaderPool(out, coordinator, turns.deadlines,
                () -> shared.configuration().sockets() / READERS_SHARE));
        platform = new PlatformFront(coordinator, shared::draining);
        OperatorFile.Search s = setup.operator().search();
        search = s == null ? null : new SearchFront(coordinator, s.cluster(), setup.configuration().name(), s.indices(),
                setup.configuration().seed() ^ turns.now(), shared::draining);
    }

    private static Dispatcher dispatcher(Shared.Setup setup) {
        return new Dispatcher(setup.module(), setup.configuration().seed());
    }

    /** New settings: for queries to come; those open end under the ones they began with. */
    void reconfigure(Shared.Setup setup) {
        coordinator.reconfigure(setup.site(), dispatcher(setup));
        if (search != null) {
            search.reconfigure(setup.operator().search().indices());
        }
    }

    void limit(int descriptors) {
        connections.limit(descriptors);
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

    /** Takes a client's connection to the platform front. */
    void platform(Channel client) {
        serve(client, platform);
    }

    /** Takes a client's connection to the search front. */
    void search(Channel client) {
        serve(client, search);
    }

    void serve(Channel client, HttpConnection.Front front) {
        turns.counters.add("clients.connections");
        client.pipeline().addLast(HttpConnection.handlers(front, turns.clock, shared::handingOver, connections));
    }
}
