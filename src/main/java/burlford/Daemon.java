package burlford;

import burlford.Aggregator.ListKind;
import burlford.adapter.BadInput;
import burlford.adapter.Settings;
import burlford.clients.Connections;
import burlford.clients.HttpConnection;
import burlford.clients.PlatformFront;
import burlford.core.Coordinator;
import burlford.core.Counters;
import burlford.core.Deadlines;
import burlford.core.Site;
import burlford.discovery.Watch;
import burlford.inventory.Inventory;
import burlford.search.SearchFront;
import burlford.servers.ReaderPool;
import burlford.store.MemoryStore;
import burlford.store.ReplicatedStore;
import burlford.store.Store;
import burlford.store.StoreFront;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.NetUtil;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import sun.misc.Signal;

/** One running coordinator: puts the parts together and turns the one event loop that drives them all. */
final class Daemon {

    private static final Logger LOG = Logger.getLogger(Daemon.class.getName());
    /** Held here: a logger that nobody holds forgets its level. */
    private static final Logger MICRORAFT = Logger.getLogger("io.microraft");
    /** After SIGTERM new connections keep coming for a while. */
    private static final long LEAST_DRAIN = 800_000;
    /**
     * Those who stop us kill us no sooner than the longest deadline and 0.7 s after SIGTERM. Until the longest
     * deadline is over we serve on the connections there are: the next coordinator may not be up yet. What comes
     * then is answered before the kill, with time to spare, whatever its client would wait.
     */
    private static final long LONGEST_SERVING = 3_000_000;
    private static final long ANSWERED_AFTER = 500_000;
    /**
     * So long before the end connections end behind their answers: one closed between requests may cross the next
     * one, and that one was lost.
     */
    private static final long HANDING_OVER = 500_000;
    private static final long LONGEST_WRITE = 2_000_000;
    private static final long LONGEST_TURN = 1_000_000;
    /** An eighth of the heap is for requests that come in or wait their turn. */
    private static final int HELD_SHARE = 8;
    /** Of all descriptors a sixth may go to readers before calls share connections. */
    private static final int READERS_SHARE = 6;

    private final ManualIoEventLoop loop = new ManualIoEventLoop(Thread.currentThread(), NioIoHandler.newFactory());
    private final LongSupplier clock = clock();
    private final Deadlines deadlines = new Deadlines();
    private final Counters counters = new Counters();
    private final Coordinator coordinator;
    private final OperatorFile operator;
    private final Path operatorPath;
    private final byte[] operatorText;
    private final Connections connections;
    private final Map<String, String> environment;
    private Configuration configuration;
    private SearchFront search;
    private Watch watch;
    private boolean draining;
    /** From then on connections end behind their answers. */
    private long handOverAt = Long.MAX_VALUE;
    private long stopAt = Long.MAX_VALUE;
    private long leaveAt = Long.MAX_VALUE;
    private long writtenBy;

    private Daemon(Map<String, String> environment, Path operatorFile) throws Configuration.Bad {
        this.environment = environment;
        configuration = Configuration.load(environment);
        connections = new Connections(configuration.sockets(), Runtime.getRuntime().maxMemory() / HELD_SHARE, deadlines,
                clock);
        operatorPath = operatorFile;
        try {
            operatorText = operatorFile == null ? null : Files.readAllBytes(operatorFile);
        } catch (IOException e) {
            throw new Configuration.Bad(operatorFile + " cannot be read: " + e);
        }
        Setup setup = setup(configuration);
        coordinator = new Coordinator(setup.site, setup.dispatcher, deadlines, counters, clock);
        operator = setup.operator;
        if (configuration.discovery() == null && operator.inventory() == null && operator.store() == null) {
            throw new Configuration.Bad("neither discovery, an inventory nor a store names the readers");
        }
    }

    /** What the settings come to; nothing of it is in force yet. */
    private record Setup(Site site, Dispatcher dispatcher, OperatorFile operator) { }

    private Setup setup(Configuration under) throws Configuration.Bad {
        Map<String, String> flat = under.flat();
        String settings = flat.entrySet().stream().map(e -> e.getKey() + "=" + e.getValue())
                .collect(Collectors.joining("\n"));
        try {
            Dispatcher dispatcher = new Dispatcher(Settings.parse(settings), under.seed());
            Site site = Site.of(flat);
            return new Setup(site, dispatcher, operatorText == null ? OperatorFile.NONE
                    : OperatorFile.read(operatorPath, operatorText, under.name(), site));
        } catch (Site.BadSetting | BadInput e) {
            throw new Configuration.Bad("settings: " + e.getMessage());
        }
    }

    /** The settings as the store's records see them. */
    private final class InForce implements Records.Settings {
        @Override
        public String own() {
            return configuration.settings().toPrettyString();
        }

        @Override
        public void check(String settings) throws Configuration.Bad {
            setup(configuration.with("settings", settings));
        }

        @Override
        public void apply(String settings) throws Configuration.Bad {
            adopt(configuration.with("settings", settings));
        }
    }

    /** Puts it in force; thrown is what cannot be, and then nothing of it is. */
    private void adopt(Configuration to) throws Configuration.Bad {
        if (!to.settings().equals(configuration.settings())) {
            Setup setup = setup(to);
            coordinator.reconfigure(setup.site, setup.dispatcher);
            if (search != null) {
                search.reconfigure(setup.operator.search().indices());
            }
            counters.add("configurations");
            LOG.info("new settings are in force");
        }
        configuration = to;
    }

    /** SIGHUP: reads the file in the signal's thread, one at a time, so that the last to be read is the last in force. */
    private synchronized void reload() {
        try {
            Configuration anew = Configuration.reload(environment);
            loop.execute(() -> reloaded(anew));
        } catch (Configuration.Bad e) {
            LOG.log(Level.WARNING, "the configuration stays as it was: {0}", e.getMessage());
        }
    }

    /** The list, the open queries and what the module knows stay; settings in the store go before the file's. */
    private void reloaded(Configuration anew) {
        try {
            Configuration to = configuration.with(anew);
            adopt(operator.store() == null ? to : to.with("settings", configuration.settings().toString()));
            connections.limit(configuration.sockets());
            if (watch != null) {
                watch.follow(configuration.discovery());
            }
            counters.add("reloads");
            LOG.info("the configuration was read anew");
        } catch (Configuration.Bad e) {
            LOG.log(Level.WARNING, "the configuration stays as it was: {0}", e.getMessage());
        }
    }

    /** Microseconds that only advance, and that began as wall clock: the list's times need no converting. */
    private static LongSupplier clock() {
        long wall = System.currentTimeMillis() * 1000;
        long start = System.nanoTime();
        return () -> wall + (System.nanoTime() - start) / 1000;
    }

    /** Runs until a signal has stopped it and all is answered. */
    static void run(Map<String, String> environment, Path operatorFile)
            throws IOException, Configuration.Bad, Inventory.Bad {
        MICRORAFT.setLevel(Level.WARNING);
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        new Daemon(environment, operatorFile).run();
    }

    private void run() throws IOException, Inventory.Bad {
        // Before anyone can know that we are there: a signal sent as soon as we listen must not kill us.
        for (String name : new String[] {"TERM", "INT"}) {
            Signal.handle(new Signal(name), s -> loop.execute(this::drain));
        }
        Signal.handle(new Signal("HUP"), s -> reload());
        Inventory inventory = operator.inventory() == null ? null : Inventory.load(operator.inventory(), coordinator.site().cells());
        Bootstrap out = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0);
        coordinator.connect(new ReaderPool(out, coordinator, deadlines,
                () -> configuration.sockets() / READERS_SHARE));
        List<Channel> listeners = new ArrayList<>();
        listeners.add(listen("platform", configuration.listen(), new PlatformFront(coordinator, this::draining)));
        if (operator.search() != null) {
            OperatorFile.Search s = operator.search();
            search = new SearchFront(coordinator, s.cluster(), configuration.name(), s.indices(),
                    configuration.seed() ^ clock.getAsLong(), this::draining);
            listeners.add(listen("search", s.listen(), search));
        }
        Store store = store(out);
        Records records = new Records(store, coordinator, deadlines, new InForce(), operator.inventory() == null
                && configuration.discovery() == null);
        records.start();
        if (operator.store() != null) {
            Map<String, InetSocketAddress> doors = operator.store().admins();
            listeners.add(listen("store", doors.get(operator.store().member()),
                    new StoreFront(store, doors, counters, records::fault)));
        }
        if (inventory != null) {
            coordinator.listed(ListKind.WHOLE, inventory.entries());
        } else if (configuration.discovery() != null) {
            watch = new Watch(out, configuration.discovery(), coordinator, deadlines);
            watch.start(configuration.known());
        }
        while (!over()) {
            long next = Math.min(deadlines.next() - clock.getAsLong(), LONGEST_TURN);
            // A wait of nought would be one without end: what is due already must not wait for the network.
            if (next > 0) {
                loop.run(TimeUnit.MICROSECONDS.toNanos(next));
            } else {
                loop.runNow();
            }
            try {
                deadlines.sweep(clock.getAsLong());
            } catch (RuntimeException e) {
                // Of one query or peer, most likely: the others must not go down with it.
                counters.add("faults");
                LOG.log(Level.SEVERE, "a deadline's action failed", e);
            }
        }
        listeners.forEach(Channel::close);
        if (watch != null) {
            watch.stop();
        }
        store.close();
        loop.runNow();
        System.out.print(counters.text());
        System.out.flush();
    }

    /** On the platform, and wherever no members are named: alone and in memory, without a socket. */
    private Store store(Bootstrap out) throws IOException {
        if (operator.store() == null) {
            return new MemoryStore(configuration.name());
        }
        OperatorFile.Replicated r = operator.store();
        ReplicatedStore store = new ReplicatedStore(loop, out, deadlines, clock, r.member(), r.directory(), r.peers());
        bound(store.start(new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true), r.peers().get(r.member())), r.peers().get(r.member()));
        return store;
    }

    /** Told to stop, all answered, and the answers written; a client that does not read its own is not waited for. */
    private boolean over() {
        long now = clock.getAsLong();
        boolean nobody = now >= leaveAt && !connections.anyOpen();
        if (!coordinator.idle() || now < stopAt && !nobody) {
            writtenBy = now + LONGEST_WRITE;
            return false;
        }
        return connections.allWritten() || now >= writtenBy;
    }

    private boolean draining() {
        return draining;
    }

    private void drain() {
        if (draining) {
            return;
        }
        LOG.info("shutting down: serving until all is answered");
        draining = true;
        long now = clock.getAsLong();
        long serving = Math.max(LEAST_DRAIN, Math.min(LONGEST_SERVING, coordinator.site().longestDeadline()));
        leaveAt = now + LEAST_DRAIN;
        stopAt = now + serving;
        coordinator.endBy(now + serving + ANSWERED_AFTER);
        deadlines.at(stopAt, () -> { });
        deadlines.at(leaveAt, () -> { }); // ends the turn that waits for the network then
        handOverAt = Math.max(leaveAt, stopAt - HANDING_OVER);
    }

    private Channel listen(String what, InetSocketAddress at, HttpConnection.Front front) throws IOException {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, 512)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        counters.add("clients.connections");
                        c.pipeline().addLast(HttpConnection.handlers(front, clock, () -> clock.getAsLong() >= handOverAt, connections));
                    }
                }).bind(at);
        bound(bound, at);
        LOG.log(Level.INFO, "{0} serves {1} at {2}", new Object[] {configuration.name(), what,
            NetUtil.toSocketAddressString((InetSocketAddress) bound.channel().localAddress())});
        return bound.channel();
    }

    private void bound(ChannelFuture binding, InetSocketAddress at) throws IOException {
        while (!binding.isDone()) {
            loop.run(TimeUnit.MILLISECONDS.toNanos(10));
        }
        if (!binding.isSuccess()) {
            throw new IOException("cannot listen at " + at + ": " + binding.cause().getMessage());
        }
    }
}
