package burlford.daemon;

import burlford.core.ReaderRegistry;
import burlford.discovery.Watch;
import burlford.inventory.Inventory;
import burlford.net.AcceptErrors;
import burlford.net.BacklogAge;
import burlford.policy.Aggregator.ListKind;
import burlford.store.MemoryStore;
import burlford.store.ReplicatedStore;
import burlford.store.Store;
import burlford.store.StoreFront;
import burlford.store.StoreLimits;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.NetUtil;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import sun.misc.Signal;

/** The life of one running coordinator: start, reload, drain and stop. */
public final class Daemon {

    private static final Logger LOG = Logger.getLogger(Daemon.class.getName());
    /** Held here: a logger that nobody holds forgets its level. */
    private static final Logger MICRORAFT = Logger.getLogger("io.microraft");

    /** Where discovery says nothing, the process serves with the list it has. */
    private static final long LONGEST_WAIT_FOR_LIST = 1_000_000;

    private final Map<String, String> environment;
    private final DaemonContext shared;
    private final EventLoopDriver turns;
    private final LaneGroup serving;
    private final List<Channel> listeners = new ArrayList<>();
    private Watch watch;

    private Daemon(Map<String, String> environment, Path operatorFile)
            throws Configuration.InvalidConfigurationException {
        this.environment = environment;
        shared = new DaemonContext(Configuration.load(environment), operatorFile);
        turns = new EventLoopDriver(Thread.currentThread(), shared.clock);
        OperatorFile operator = shared.parsedConfiguration().operatorFile();
        serving = operator.cores() == 1 ? new SingleLaneGroup(turns, shared) : new MultiLaneGroup(turns, shared,
                operator.cores());
        if (shared.configuration().discovery() == null && operator.inventory() == null && operator.store() == null) {
            throw new Configuration.InvalidConfigurationException(
                    "neither discovery, an inventory nor a store names the readers");
        }
    }

    /** Runs until a signal has stopped it and all is answered. */
    public static void run(Map<String, String> environment, Path operatorFile)
            throws IOException, Configuration.InvalidConfigurationException, Inventory.InvalidInventoryException {
        MICRORAFT.setLevel(Level.WARNING);
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        new Daemon(environment, operatorFile).run();
    }

    private void run() throws IOException, Inventory.InvalidInventoryException {
        // Before anyone can know that we are there: a signal sent as soon as we listen must not kill us.
        for (String name : new String[] {"TERM", "INT"}) {
            Signal.handle(new Signal(name), s -> {
                // The kill counts from now, not from when the loop gets to it.
                long toldAt = shared.now();
                turns.loop.execute(() -> drain(toldAt));
            });
        }
        Signal.handle(new Signal("HUP"), s -> reload());
        OperatorFile operator = shared.parsedConfiguration().operatorFile();
        ReaderRegistry roster = serving.readerRegistry();
        Inventory inventory = operator.inventory() == null ? null
                : Inventory.load(operator.inventory(), roster.site().cells());
        Store store = store(operator.store());
        StoreSynchronizer records = new StoreSynchronizer(store, roster, turns.timers, new DaemonSettings(),
                operator.inventory() == null && shared.configuration().discovery() == null);
        records.start();
        Logger.getLogger("burlford.trace").log(Level.FINE, "settings {0}", shared.configuration().settings());
        if (operator.store() != null) {
            Map<String, InetSocketAddress> doors = operator.store().adminAddresses();
            StoreFront door = new StoreFront(store, doors, turns.counters, records::rejectionReason);
            listen("store", doors.get(operator.store().member()), b -> b.childHandler(new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel c) {
                    turns.counters.add("clients.connections");
                    serving.serve(c, door);
                }
            }));
        }
        new StoreStartup(store, turns, shared::isDraining).await();
        if (inventory != null) {
            roster.updateReaders(ListKind.WHOLE, inventory.readerEntries());
        } else if (shared.configuration().discovery() != null) {
            watch = new Watch(serving.outboundBootstrap(), shared.configuration().discovery(), roster, turns.timers);
            serving.onBeforeSend(watch::readNow);
            // The store's list goes before the file's, which is as old as the file.
            watch.start(roster.readers().isEmpty() ? shared.configuration().lastKnownReaders() : null);
            awaitList();
        }
        if (!shared.isDraining()) {
            listenForClients(operator);
        }
        while (!serving.isDrained()) {
            turns.runIteration();
        }
        listeners.forEach(Channel::close);
        if (watch != null) {
            watch.stop();
        }
        store.close();
        // The loop is not turned again: what it would read now nobody would answer.
        System.out.print(serving.countersText());
        System.out.flush();
    }

    /** Last: what comes from here on is ours to answer, and reading the list took half a second of a short core. */
    private void listenForClients(OperatorFile operator) throws IOException {
        listen("platform", shared.configuration().listen(), b -> serving.configureListener(b, FrontType.PLATFORM));
        if (operator.search() != null) {
            listen("search", operator.search().listen(), b -> serving.configureListener(b, FrontType.SEARCH));
        }
    }

    /** What discovery has counts as notified from the start; the list known from before may be old. */
    private void awaitList() {
        long until = turns.now() + LONGEST_WAIT_FOR_LIST;
        turns.timers.schedule(until, () -> { });
        while (!watch.isCurrent() && turns.now() < until) {
            turns.runIteration();
        }
    }

    // ---- settings

    /** The settings as the store's records see them. */
    private final class DaemonSettings implements StoreSynchronizer.ActiveSettings {
        @Override
        public String currentJson() {
            return shared.configuration().settings().toPrettyString();
        }

        @Override
        public void validate(String settings) throws Configuration.InvalidConfigurationException {
            Configuration.requireSingleValue("settings", settings);
            shared.parse(shared.configuration().with("settings", settings));
        }

        @Override
        public void apply(String settings) throws Configuration.InvalidConfigurationException {
            adopt(shared.configuration().with("settings", settings));
        }
    }

    /** Puts it in force; thrown is what cannot be, and then nothing of it is. */
    private void adopt(Configuration to) throws Configuration.InvalidConfigurationException {
        DaemonContext.ParsedConfiguration setup = shared.parse(to);
        boolean changed = !to.settings().equals(shared.configuration().settings());
        shared.apply(setup);
        if (changed) {
            serving.reconfigure(setup);
            turns.counters.add("configurations");
            LOG.info("new settings are in force");
        }
    }

    /**
     * SIGHUP: reads the file in the signal's thread, one at a time, so that the last to be read is the last in force.
     */
    private synchronized void reload() {
        try {
            Configuration anew = Configuration.reload(environment);
            turns.loop.execute(() -> reloaded(anew));
        } catch (Configuration.InvalidConfigurationException e) {
            LOG.log(Level.WARNING, "the configuration stays as it was: {0}", e.getMessage());
        }
    }

    /** The list, the open queries and what the module knows stay; settings in the store go before the file's. */
    private void reloaded(Configuration anew) {
        try {
            Configuration held = shared.configuration();
            Configuration to = held.with(anew);
            adopt(shared.parsedConfiguration().operatorFile().store() == null ? to
                    : to.with("settings", held.settings().toString()));
            serving.updateLimits(shared.configuration());
            if (watch != null) {
                watch.changeAddress(shared.configuration().discovery());
            }
            turns.counters.add("reloads");
            LOG.info("the configuration was read anew");
        } catch (Configuration.InvalidConfigurationException e) {
            LOG.log(Level.WARNING, "the configuration stays as it was: {0}", e.getMessage());
        }
    }

    private void drain(long toldAt) {
        if (!shared.isDraining()) {
            LOG.info("shutting down: serving until all is answered");
            shared.scheduleShutdown(toldAt);
            serving.drain();
        }
    }

    // ---- sockets

    /** On the platform, and wherever no members are named: alone and in memory, without a socket. */
    private Store store(OperatorFile.StoreSettings r) throws IOException {
        if (r == null) {
            return new MemoryStore(shared.configuration().name());
        }
        ReplicatedStore store = new ReplicatedStore(turns.loop, serving.outboundBootstrap(), turns.timers, turns.clock,
                r.member(), r.directory(), r.peerAddresses(), StoreLimits.forHeap(Runtime.getRuntime().maxMemory()));
        turns.awaitBound(store.start(new ServerBootstrap().group(turns.loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true), r.peerAddresses().get(r.member())), r.peerAddresses()
                .get(r.member()));
        return store;
    }

    private void listen(String what, InetSocketAddress at, Consumer<ServerBootstrap> taker) throws IOException {
        ServerBootstrap listener = new ServerBootstrap().group(turns.loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, 512)
                .childOption(ChannelOption.TCP_NODELAY, true);
        taker.accept(listener);
        ChannelFuture bound = turns.bind(listener, at);
        bound.channel().pipeline().addFirst(new BacklogAge(turns::earliestArrivalAt), new AcceptErrors(
                (wait, action) -> turns.timers.schedule(turns.now() + wait, action),
                () -> turns.counters.add("clients.accepts.failed"), serving::evictIdleConnection));
        LOG.log(Level.INFO, "{0} serves {1} at {2}", new Object[] {shared.configuration().name(), what,
            NetUtil.toSocketAddressString((InetSocketAddress) bound.channel().localAddress())});
        listeners.add(bound.channel());
    }
}
