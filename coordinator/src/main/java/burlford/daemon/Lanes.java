package burlford.daemon;

import burlford.clients.Connections;
import burlford.clients.HttpConnection;
import burlford.core.Counters;
import burlford.core.ReaderEntry;
import burlford.core.Roster;
import burlford.core.Site;
import burlford.lanes.Ground;
import burlford.lanes.LaneShare;
import burlford.lanes.Placement;
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
final class Lanes implements Serving, Roster {

    private static final Logger LOG = Logger.getLogger(Lanes.class.getName());
    /** How often lanes are asked whether they turn, and looked at for what is to move. */
    private static final long ASK = 50_000;
    private static final long LOOK = 250_000;
    private static final long LONGEST_WRITE = 2_000_000;

    private final Turns turns;
    private final Shared shared;
    private final Ground ground;
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
    private Runnable onListed = () -> { };
    private long generation;
    private long nextLook;
    private long writtenBy;

    Lanes(Turns turns, Shared shared, int count) {
        this.turns = turns;
        this.shared = shared;
        Shared.Setup setup = shared.setup();
        int sockets = setup.configuration().sockets();
        ground = new Ground(count, setup.site().maxOpen(), Lane.mostHeld(), sockets);
        placement = new Placement(count, setup.configuration().seed());
        supervision = new Supervision(count);
        out = new Bootstrap().group(turns.loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0);
        ownShare = new LaneShare(ground, count, turns.loop, shared.clock);
        ownConnections = new Connections(sockets, ownShare.crowd(), turns.counters, turns.deadlines, turns.clock);
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
    long serving() {
        return all().stream().filter(l -> supervision.state(l.number) == Supervision.State.SERVING).count();
    }

    /** Of the last thing that all were told. */
    long generation() {
        return generation;
    }

    Ground ground() {
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
            lane.share.order(() -> lane.lane.coordinator.listed(ListKind.WHOLE, known));
        }
        if (shared.draining()) {
            lane.share.order(lane.lane::drain);
        }
        lane.start();
        lane.share.tell(++generation);
        placement.reset(number);
        supervision.started(number, now());
        ask(lane);
        if (writtenBy != 0) {
            lane.mayEnd(); // the others were told before it was there
        }
    }

    /** The counts of all lanes and of this loop together, then each lane's own. */
    @Override
    public String countersText() {
        Map<String, Long> sums = new TreeMap<>();
        turns.counters.each((name, count) -> sums.merge(name, count, Long::sum));
        ended.each((name, count) -> sums.merge(name, count, Long::sum));
        Map<String, Long> own = new TreeMap<>();
        for (LaneThread lane : counted) {
            lane.turns.counters.each((name, count) -> {
                sums.merge(name, count, Long::sum);
                own.merge("lane." + lane.number + "." + name, count, Long::sum);
            });
            sums.merge("lanes.words.dropped", lane.share.dropped(), Long::sum);
        }
        return Counters.text(sums) + Counters.text(own);
    }

    private void ask(LaneThread lane) {
        lane.share.ask(now(), lane.lane.coordinator::refresh);
    }

    /** What lanes call, on their own threads. */
    private final class Owner implements LaneThread.Owner {
        @Override
        public void failed(LaneThread lane, Throwable why) {
            turns.loop.execute(() -> replace(lane));
        }

        @Override
        public void moved(Channel client, int to) {
            turns.loop.execute(() -> place(client, to));
        }

        @Override
        public void ended(LaneThread lane) {
            turns.loop.execute(() -> {
                ending.remove(lane);
                counted.remove(lane);
                lane.turns.counters.each(ended::add);
            });
        }
    }

    /** It may decide and send nothing more, should it wake; another takes its place. */
    void giveUp(LaneThread lane) {
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
        lane.share.giveUp();
        supervision.died(lane.number, now());
        turns.deadlines.at(supervision.startAgainAt(lane.number), () -> start(lane.number));
    }

    /** Asks the lanes whether they turn, and does what follows from what is seen of them. */
    private void tick() {
        long now = now();
        for (LaneThread lane : all()) {
            if (lane.share.answeredAt() != 0) {
                supervision.answered(lane.number, lane.share.answeredAt());
            }
            Supervision.State was = supervision.state(lane.number);
            Supervision.State is = supervision.look(lane.number, now);
            if (is != was && is == Supervision.State.STANDING) {
                turns.counters.add("lanes.stood_still");
                LOG.log(Level.WARNING, "lane {0} stands still", lane.number);
            } else if (was == Supervision.State.DEAD) {
                continue;
            } else if (is == Supervision.State.DEAD) {
                giveUp(lane);
                continue;
            }
            if (supervision.ask(lane.number, now)) {
                ask(lane);
            }
        }
        if (now >= nextLook) {
            nextLook = now + LOOK;
            for (Placement.Move m : placement.look(now, views(false))) {
                turns.counters.add("lanes.moves");
                lane(m.from()).move(m.to(), m.connections());
            }
        }
        turns.deadlines.at(now + ASK, this::tick);
    }

    /** anyAlive: also those that stand still or have not turned yet. */
    private List<Placement.View> views(boolean anyAlive) {
        long now = now();
        List<Placement.View> views = new ArrayList<>();
        for (LaneThread lane : all()) {
            Supervision.State state = supervision.state(lane.number);
            boolean serves = anyAlive ? state != Supervision.State.DEAD : state == Supervision.State.SERVING;
            views.add(new Placement.View(lane.number, serves, lane.share.open(), lane.share.connections(),
                    supervision.lag(lane.number, now)));
        }
        return views;
    }

    // ---- connections

    @Override
    public void accept(ServerBootstrap listener, Door door) {
        listener.handler(new Acceptor(door)).childHandler(new ChannelInboundHandlerAdapter() {
            @Override
            public boolean isSharable() {
                return true;
            }
        });
    }

    /** Takes each connection before the listener would register it with the first loop. */
    private final class Acceptor extends ChannelInboundHandlerAdapter {
        private final Door door;

        Acceptor(Door door) {
            this.door = door;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object accepted) {
            Channel client = (Channel) accepted;
            ((SocketChannelConfig) client.config()).setTcpNoDelay(true);
            client.attr(Door.KEY).set(door);
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
        Door door = client.attr(Door.KEY).get();
        boolean moved = !client.config().isAutoRead();
        lane.share.placed();
        if (!moved) {
            client.pipeline().addLast(new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel c) {
                    lane.lane.take(c, door);
                }
            });
        }
        lane.turns.loop.register(client).addListener(f -> {
            if (!f.isSuccess()) {
                lane.share.gone();
                client.unsafe().closeForcibly();
            } else if (moved) {
                // Not before: handlers added earlier would still be the old loop's.
                lane.lane.takeOver(client, door);
                client.config().setAutoRead(true);
            }
        });
    }

    @Override
    public void serve(Channel client, HttpConnection.Front front) {
        ownShare.placed();
        client.pipeline().addLast(HttpConnection.handlers(front, turns.clock, shared::handingOver, ownConnections));
    }

    /** The first loop serves no query, and reads the list while a lane's turn takes long. */
    @Override
    public void onSending(Runnable action) { }

    @Override
    public Bootstrap out() {
        return out;
    }

    // ---- what all lanes are told

    /** Each lane takes it before its next decision; none decides otherwise once another has taken it. */
    private void tell(Consumer<LaneThread> order) {
        for (LaneThread lane : all()) {
            lane.share.order(() -> order.accept(lane));
        }
        generation++;
        for (LaneThread lane : all()) {
            lane.share.tell(generation);
        }
    }

    @Override
    public void reconfigure(Shared.Setup setup) {
        ground.resize(setup.site().maxOpen(), setup.configuration().sockets());
        tell(lane -> {
            Dispatcher dispatcher = Lane.dispatcher(setup, lane.number, lanes.length());
            lane.lane.reconfigure(setup, dispatcher);
        });
    }

    @Override
    public void limit(Configuration configuration) {
        ground.resize(site().maxOpen(), configuration.sockets());
        ownConnections.limit(configuration.sockets());
        tell(lane -> lane.lane.connections.limit(configuration.sockets()));
    }

    @Override
    public Roster roster() {
        return this;
    }

    @Override
    public void listed(ListKind kind, List<ReaderEntry> entries) {
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
        ground.readers(list.size());
        tell(lane -> lane.lane.coordinator.listed(kind, entries));
        onListed.run();
    }

    @Override
    public List<ReaderEntry> readers() {
        return List.copyOf(list.values());
    }

    @Override
    public void onListed(Runnable action) {
        onListed = action;
    }

    @Override
    public Site site() {
        return shared.setup().site();
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
    public void makeRoom() {
        tell(lane -> lane.lane.connections.makeRoom());
    }

    // ---- the end

    @Override
    public void drain() {
        tell(lane -> lane.lane.drain());
        turns.deadlines.at(shared.stopAt(), () -> { });
        turns.deadlines.at(shared.leaveAt(), () -> { });
    }

    /** The lanes end once each has settled; one that stands still is not waited for past the time to answer by. */
    @Override
    public boolean over() {
        long now = now();
        if (now < shared.leaveAt() || now < shared.stopAt() && ground.clients() > 0) {
            return false;
        }
        boolean allEnded = ending.isEmpty() && counted.isEmpty();
        if (writtenBy == 0) {
            writtenBy = now + LONGEST_WRITE;
            for (LaneThread lane : all()) {
                lane.mayEnd();
            }
        }
        return allEnded || now >= Math.max(writtenBy, shared.endBy() + LONGEST_WRITE);
    }
}
