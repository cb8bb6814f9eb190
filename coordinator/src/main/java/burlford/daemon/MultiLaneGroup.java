package burlford.daemon;

import burlford.clients.Connections;
import burlford.clients.HttpConnection;
import burlford.core.Counters;
import burlford.core.ReaderEntry;
import burlford.core.ReaderRegistry;
import burlford.core.Site;
import burlford.lanes.LaneShare;
import burlford.lanes.Placement;
import burlford.lanes.ProcessResources;
import burlford.lanes.Supervision;
import burlford.policy.Aggregator.ListKind;
import burlford.policy.Aggregator.Status;
import burlford.policy.Dispatcher;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Several lanes, seen from the process's first loop: it accepts connections and deals them out, follows the list of
 * readers and the settings and tells all lanes, and starts a lane anew that has failed. It serves no query.
 */
final class MultiLaneGroup implements LaneGroup, ReaderRegistry {

    // Name kept for existing logging configurations.
    private static final Logger LOG = Logger.getLogger("burlford.daemon.Lanes");
    /** How often lanes are asked whether they turn, and looked at for what is to move. */
    private static final long ASK = 50_000;
    private static final long LOOK = 250_000;
    private static final long LONGEST_WRITE = 2_000_000;

    private final EventLoopDriver turns;
    private final DaemonContext shared;
    private final ProcessResources ground;
    private final Placement placement;
    private final Supervision supervision;
    /** Those that serve or did last, by number; the first loop sets them. */
    private final AtomicReferenceArray<LaneThread> lanes;
    /** Of lanes that failed and have not ended: their connections may still be answered. */
    private final List<LaneThread> ending = new ArrayList<>();
    /** Counts of lanes that ended; written on the first loop, read by any thread. */
    private final Counters ended = new Counters();
    private final List<LaneThread> counted = new CopyOnWriteArrayList<>();
    private final Map<String, ReaderEntry> list = new LinkedHashMap<>();
    private final Bootstrap out;
    private final LaneShare ownShare;
    private final Connections ownConnections;
    private Consumer<ListKind> onListed = kind -> { };
    private long generation;
    private long nextLook;
    private long writtenBy;

    MultiLaneGroup(EventLoopDriver turns, DaemonContext shared, int count) {
        this.turns = turns;
        this.shared = shared;
        DaemonContext.ParsedConfiguration setup = shared.parsedConfiguration();
        int sockets = setup.configuration().maxSockets();
        ground = new ProcessResources(count, setup.site().maxOpen(), Lane.maxRequestBytes(), sockets);
        placement = new Placement(count, setup.configuration().seed());
        supervision = new Supervision(count);
        out = new Bootstrap().group(turns.loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0);
        ownShare = new LaneShare(ground, count, turns.loop, shared.clock);
        ownConnections = new Connections(sockets, ownShare.clientLimits(), turns.counters, turns.timers, turns.clock);
        lanes = new AtomicReferenceArray<>(count);
        for (int lane = 0; lane < count; lane++) {
            start(lane);
        }
        tick();
    }

    // ---- lanes

    /** Any thread: the lane of that number, be it alive or not. */
    LaneThread lane(int number) {
        return lanes.get(number);
    }

    private List<LaneThread> all() {
        List<LaneThread> all = new ArrayList<>();
        for (int lane = 0; lane < lanes.length(); lane++) {
            all.add(lane(lane));
        }
        return all;
    }

    /** Lanes that get new connections. */
    long servingLaneCount() {
        return all().stream().filter(l -> supervision.state(l.number) == Supervision.State.SERVING).count();
    }

    /** Of the last thing that all were told. */
    long generation() {
        return generation;
    }

    ProcessResources resources() {
        return ground;
    }

    /** Nothing of it runs any more. */
    boolean hasEnded(LaneThread lane) {
        return !counted.contains(lane);
    }

    private void start(int number) {
        LaneThread lane = new LaneThread(number, lanes.length(), shared, ground, this::countersText, new Owner());
        lanes.set(number, lane);
        counted.add(lane);
        List<ReaderEntry> known = readers();
        if (!known.isEmpty()) {
            lane.share.stageBroadcast(() -> lane.lane.coordinator.updateReaders(ListKind.WHOLE, known));
        }
        if (shared.isDraining()) {
            lane.share.stageBroadcast(lane.lane::drain);
        }
        lane.start();
        lane.share.publishBroadcasts(++generation);
        placement.reset(number);
        supervision.started(number, now());
        ask(lane);
        if (writtenBy != 0) {
            lane.stopWhenIdle(); // the others were told before it was there
        }
    }

    /** The counts of all lanes and of this loop together, then each lane's own. */
    @Override
    public String countersText() {
        Map<String, Long> sums = new TreeMap<>();
        turns.counters.forEach((name, count) -> sums.merge(name, count, Long::sum));
        ended.forEach((name, count) -> sums.merge(name, count, Long::sum));
        Map<String, Long> own = new TreeMap<>();
        for (LaneThread lane : counted) {
            lane.loopDriver.counters.forEach((name, count) -> {
                sums.merge(name, count, Long::sum);
                own.merge("lane." + lane.number + "." + name, count, Long::sum);
            });
            sums.merge("lanes.words.dropped", lane.share.droppedBatches(), Long::sum);
        }
        return Counters.text(sums) + Counters.text(own);
    }

    private void ask(LaneThread lane) {
        lane.share.sendHeartbeat(now(), lane.lane.coordinator::refresh);
    }

    /** What lanes call, on their own threads. */
    private final class Owner implements LaneThread.Owner {
        @Override
        public void onFailed(LaneThread lane, Throwable why) {
            turns.loop.execute(() -> replace(lane));
        }

        @Override
        public void onConnectionReleased(Channel client, int to) {
            turns.loop.execute(() -> place(client, to));
        }

        @Override
        public void onEnded(LaneThread lane) {
            turns.loop.execute(() -> {
                ending.remove(lane);
                counted.remove(lane);
                lane.loopDriver.counters.forEach(ended::add);
            });
        }
    }

    /** It may decide and send nothing more, should it wake; another takes its place. */
    void fence(LaneThread lane) {
        LOG.log(Level.SEVERE, "lane {0} is given up: it has stood still for too long", lane.number);
        replace(lane);
        lane.interrupt();
    }

    private void replace(LaneThread lane) {
        if (lane(lane.number) != lane || ending.contains(lane)) {
            return; // it was given up before it failed
        }
        turns.counters.add("lanes.failed");
        ending.add(lane);
        lane.share.fence();
        supervision.died(lane.number, now());
        turns.timers.schedule(supervision.restartAt(lane.number), () -> start(lane.number));
    }

    /** Asks the lanes whether they turn, and does what follows from what is seen of them. */
    private void tick() {
        long now = now();
        for (LaneThread lane : all()) {
            if (lane.share.heartbeatAnsweredAt() != 0) {
                supervision.heartbeatAnswered(lane.number, lane.share.heartbeatAnsweredAt());
            }
            Supervision.State was = supervision.state(lane.number);
            Supervision.State is = supervision.check(lane.number, now);
            if (is != was && is == Supervision.State.STALLED) {
                turns.counters.add("lanes.stood_still");
                LOG.log(Level.WARNING, "lane {0} stands still", lane.number);
            } else if (was == Supervision.State.DEAD) {
                continue;
            } else if (is == Supervision.State.DEAD) {
                fence(lane);
                continue;
            }
            if (supervision.startHeartbeat(lane.number, now)) {
                ask(lane);
            }
        }
        if (now >= nextLook) {
            nextLook = now + LOOK;
            for (Placement.Move m : placement.rebalance(now, views(false))) {
                turns.counters.add("lanes.moves");
                lane(m.from()).requestMove(m.to(), m.connections());
            }
        }
        turns.timers.schedule(now + ASK, this::tick);
    }

    /** anyAlive: also those that stand still or have not turned yet. */
    private List<Placement.LaneLoad> views(boolean anyAlive) {
        long now = now();
        List<Placement.LaneLoad> views = new ArrayList<>();
        for (LaneThread lane : all()) {
            Supervision.State state = supervision.state(lane.number);
            boolean serves = anyAlive ? state != Supervision.State.DEAD : state == Supervision.State.SERVING;
            views.add(new Placement.LaneLoad(lane.number, serves, lane.share.openUnits(), lane.share.connections(),
                    supervision.lag(lane.number, now)));
        }
        return views;
    }

    // ---- connections

    @Override
    public void configureListener(ServerBootstrap listener, FrontType door) {
        listener.handler(new Acceptor(door)).childHandler(new ChannelInboundHandlerAdapter() {
            @Override
            public boolean isSharable() {
                return true;
            }
        });
    }

    /** Takes each connection before the listener would register it with the first loop. */
    private final class Acceptor extends ChannelInboundHandlerAdapter {
        private final FrontType door;

        Acceptor(FrontType door) {
            this.door = door;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object accepted) {
            Channel client = (Channel) accepted;
            ((SocketChannelConfig) client.config()).setTcpNoDelay(true);
            client.attr(FrontType.ATTRIBUTE_KEY).set(door);
            place(client, -1);
        }
    }

    /** to: the lane it is for, where that serves; -1: any. */
    private void place(Channel client, int to) {
        boolean fit = to >= 0 && supervision.state(to) == Supervision.State.SERVING;
        int number = fit ? to : placement.place(views(false));
        if (number < 0) {
            // None serves just now: at the start of all, or while all stand still.
            number = placement.place(views(true));
        }
        if (number < 0) {
            client.unsafe().closeForcibly(); // all have failed and none has been started anew yet
            return;
        }
        LaneThread lane = lane(number);
        FrontType door = client.attr(FrontType.ATTRIBUTE_KEY).get();
        boolean moved = !client.config().isAutoRead();
        lane.share.connectionPlaced();
        if (!moved) {
            client.pipeline().addLast(new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel c) {
                    lane.lane.serveAccepted(c, door);
                }
            });
        }
        lane.loopDriver.loop.register(client).addListener(f -> {
            if (!f.isSuccess()) {
                lane.share.connectionClosed();
                client.unsafe().closeForcibly();
            } else if (moved) {
                // Not before: handlers added earlier would still be the old loop's.
                lane.lane.serveMoved(client, door);
                client.config().setAutoRead(true);
            }
        });
    }

    @Override
    public void serve(Channel client, HttpConnection.Front front) {
        ownShare.connectionPlaced();
        client.pipeline().addLast(HttpConnection.createHandlers(front, turns.clock, shared::isClosingAfterReply,
                ownConnections));
    }

    /** The first loop serves no query, and reads the list while a lane's turn takes long. */
    @Override
    public void onBeforeSend(Runnable action) { }

    @Override
    public Bootstrap outboundBootstrap() {
        return out;
    }

    // ---- what all lanes are told

    /** Each lane takes it before its next decision; none decides otherwise once another has taken it. */
    private void tell(Consumer<LaneThread> order) {
        for (LaneThread lane : all()) {
            lane.share.stageBroadcast(() -> order.accept(lane));
        }
        generation++;
        for (LaneThread lane : all()) {
            lane.share.publishBroadcasts(generation);
        }
    }

    @Override
    public void reconfigure(DaemonContext.ParsedConfiguration setup) {
        ground.resize(setup.site().maxOpen(), setup.configuration().maxSockets());
        tell(lane -> {
            Dispatcher dispatcher = Lane.createDispatcher(setup, lane.number, lanes.length());
            lane.lane.reconfigure(setup, dispatcher);
        });
    }

    @Override
    public void updateLimits(Configuration configuration) {
        ground.resize(site().maxOpen(), configuration.maxSockets());
        ownConnections.setDescriptorLimit(configuration.maxSockets());
        tell(lane -> lane.lane.connections.setDescriptorLimit(configuration.maxSockets()));
    }

    @Override
    public ReaderRegistry readerRegistry() {
        return this;
    }

    @Override
    public void updateReaders(ListKind kind, List<ReaderEntry> entries) {
        turns.counters.add("lists.told");
        if (kind != ListKind.CHANGES) {
            list.clear();
        }
        for (ReaderEntry e : entries) {
            if (e.status() == Status.GONE) {
                list.remove(e.id());
            } else {
                list.put(e.id(), e);
            }
        }
        ground.setReaderCount(list.size());
        tell(lane -> lane.lane.coordinator.updateReaders(kind, entries));
        onListed.accept(kind);
    }

    @Override
    public List<ReaderEntry> readers() {
        return List.copyOf(list.values());
    }

    @Override
    public void onReadersUpdated(Consumer<ListKind> action) {
        onListed = action;
    }

    @Override
    public Site site() {
        return shared.parsedConfiguration().site();
    }

    @Override
    public Counters counters() {
        return turns.counters;
    }

    @Override
    public long now() {
        return turns.now();
    }

    @Override
    public void evictIdleConnection() {
        tell(lane -> lane.lane.connections.evictIdleConnection());
    }

    // ---- the end

    @Override
    public void drain() {
        tell(lane -> lane.lane.drain());
        turns.timers.schedule(shared.exitDespiteClientsAt(), () -> { });
        turns.timers.schedule(shared.earliestExitAt(), () -> { });
    }

    /** The lanes end once each has settled; one that stands still is not waited for past the time to answer by. */
    @Override
    public boolean isDrained() {
        long now = now();
        if (now < shared.earliestExitAt() || now < shared.exitDespiteClientsAt() && ground.clientConnections() > 0) {
            return false;
        }
        boolean allEnded = ending.isEmpty() && counted.isEmpty();
        if (writtenBy == 0) {
            writtenBy = now + LONGEST_WRITE;
            for (LaneThread lane : all()) {
                lane.stopWhenIdle();
            }
        }
        return allEnded || now >= Math.max(writtenBy, shared.answerAllBy() + LONGEST_WRITE);
    }
}
