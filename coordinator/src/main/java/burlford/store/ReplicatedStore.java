package burlford.store;

import burlford.core.Timers;
import io.microraft.Ordered;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.statemachine.StateMachine;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The store of several members: MicroRaft keeps their logs alike. Its node runs on a thread of its own, since it
 * waits for the disk; the event loop never does, and queries never touch either. Its timers are deadlines
 * of the loop.
 */
public final class ReplicatedStore implements Store {

    private static final Logger LOG = Logger.getLogger(ReplicatedStore.class.getName());
    private static final String NEW_TERM = "";
    private static final long PATIENCE = 10_000_000;

    private final EventLoop loop;
    private final Timers deadlines;
    private final LongSupplier clock;
    private final Member member;
    private final LogFile log;
    private final MemberTransport peers;
    private final RaftNode node;
    private final ExecutorService thread = Executors.newSingleThreadExecutor(r -> new Thread(r, "store"));
    private final List<BiConsumer<String, Entry>> watchers = new ArrayList<>();
    /** This member's committed copy, as the loop knows it. */
    private final Map<String, Entry> copy = new TreeMap<>();
    private boolean closed;

    public ReplicatedStore(EventLoop loop, Bootstrap bootstrap, Timers deadlines, LongSupplier clock, String name,
            Path directory, Map<String, InetSocketAddress> members) throws IOException {
        this.loop = loop;
        this.deadlines = deadlines;
        this.clock = clock;
        member = new Member(name);
        log = new LogFile(Files.createDirectories(directory).resolve(name + ".log"));
        peers = new MemberTransport(loop, bootstrap, members);
        RaftConfig config = RaftConfig.newBuilder().setLeaderHeartbeatPeriodSecs(1).setLeaderHeartbeatTimeoutSecs(3)
                .setLeaderElectionTimeoutMillis(500).setCommitCountToTakeSnapshot(1000).build();
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder().setGroupId("burlford").setConfig(config)
                .setTransport(peers).setStateMachine(new StoreStateMachine()).setStore(log)
                .setExecutor(new StoreThreadExecutor());
        if (log.restoredState() != null) {
            builder.setRestoredState(log.restoredState());
        } else {
            builder.setLocalEndpoint(member).setInitialGroupMembers(
                    members.keySet().stream().map(m -> (RaftEndpoint) new Member(m)).toList());
        }
        node = builder.build();
    }

    /** Listens to the other members, then joins them. */
    public ChannelFuture start(ServerBootstrap server, InetSocketAddress at) {
        ChannelFuture bound = peers.listen(server, at, node::handle);
        node.start();
        return bound;
    }

    @Override
    public void put(String key, long from, String value, Consumer<WriteResult> done) {
        boolean[] told = new boolean[1];
        Consumer<WriteResult> once = w -> {
            if (!told[0]) {
                told[0] = true;
                done.accept(w);
            }
        };
        Timers.Timer patience = deadlines.schedule(clock.getAsLong() + PATIENCE, () -> once.accept(
                new WriteResult(Outcome.REFUSED, 0, "no majority answers; the write may yet be made")));
        node.<WriteResult>replicate(VersionedMap.encodeWrite(key, from, value)).whenComplete((ordered, failure) ->
                loop.execute(() -> {
                    deadlines.cancel(patience);
                    once.accept(failure == null ? result(ordered) : new WriteResult(Outcome.REFUSED, 0,
                            failure.getClass().getSimpleName() + "; leader: " + leader()));
                }));
    }

    private static WriteResult result(Ordered<WriteResult> ordered) {
        return ordered.getResult();
    }

    @Override
    public String leader() {
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        return leader == null ? null : (String) leader.getId();
    }

    @Override
    public String member() {
        return member.name();
    }

    @Override
    public Map<String, Entry> entries() {
        return copy;
    }

    @Override
    public void watch(BiConsumer<String, Entry> watcher) {
        watchers.add(watcher);
    }

    @Override
    public void close() {
        closed = true;
        peers.close();
        thread.shutdownNow();
        try {
            if (thread.awaitTermination(5, TimeUnit.SECONDS)) {
                log.close();
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, "store: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void committed(Map<String, Entry> entries) {
        entries.forEach((key, entry) -> {
            if (!entry.equals(copy.put(key, entry))) {
                watchers.forEach(w -> w.accept(key, entry));
            }
        });
    }

    /** The replicated state; on the store's thread. */
    private final class StoreStateMachine implements StateMachine {
        private final VersionedMap map = new VersionedMap();

        @Override
        public Object runOperation(long index, Object operation) {
            if (NEW_TERM.equals(operation)) {
                return null;
            }
            VersionedMap.ApplyResult applied = map.apply((String) operation);
            if (applied.writeResult().outcome() == Outcome.STORED) {
                Map<String, Entry> one = Map.of(applied.key(), map.entries().get(applied.key()));
                loop.execute(() -> committed(one));
            }
            return applied.writeResult();
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            chunks.accept(map.snapshot());
        }

        @Override
        public void installSnapshot(long index, List<Object> chunks) {
            map.restore((String) chunks.get(0));
            Map<String, Entry> all = new TreeMap<>(map.entries());
            loop.execute(() -> committed(all));
        }

        @Override
        public Object getNewTermOperation() {
            return NEW_TERM;
        }
    }

    private final class StoreThreadExecutor implements RaftNodeExecutor {

        @Override
        public void execute(Runnable task) {
            if (!thread.isShutdown()) {
                thread.execute(task);
            }
        }

        @Override
        public void submit(Runnable task) {
            execute(task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            loop.execute(() -> {
                if (!closed) {
                    deadlines.schedule(clock.getAsLong() + unit.toMicros(delay), () -> execute(task));
                }
            });
        }
    }
}
