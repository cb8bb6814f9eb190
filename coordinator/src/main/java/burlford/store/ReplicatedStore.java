package burlford.store;

import burlford.core.Timers;
import burlford.core.Utf8;
import io.microraft.Ordered;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
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
 * A store replicated to several members by MicroRaft. The Raft node runs on its own thread, since it waits for the
 * disk and the event loop must not; queries use neither the node nor the disk. Delayed tasks of the node are
 * scheduled with the event loop's timers.
 */
public final class ReplicatedStore implements Store {

    private static final Logger LOG = Logger.getLogger(ReplicatedStore.class.getName());
    private static final long WRITE_TIMEOUT_US = 10_000_000;
    /** Bounds the messages to a member that lags: each entry may be as long as the longest value. */
    static final int MAX_ENTRIES_PER_MESSAGE = 16;
    /** Of so many entries the node keeps a tenth behind a snapshot while a member lags: as many as a message takes. */
    private static final int COMMITS_PER_SNAPSHOT = 10 * MAX_ENTRIES_PER_MESSAGE;
    private static final int BYTES_PER_CHARACTER = 2;

    private final EventLoop loop;
    private final Timers timers;
    private final LongSupplier clock;
    private final StoreLimits limits;
    private final Member member;
    private final LogFile log;
    private final MemberTransport transport;
    private final RaftNode node;
    private final ExecutorService thread = Executors.newSingleThreadExecutor(r -> new Thread(r, "store"));
    private final List<BiConsumer<String, Entry>> watchers = new ArrayList<>();
    /** This member's committed entries; used only on the event loop. */
    private final Map<String, Entry> committedEntries = new TreeMap<>();
    /** Used only on the store's thread. */
    private final StateRecovery recovery;
    private boolean current;
    private boolean closed;

    public ReplicatedStore(EventLoop loop, Bootstrap bootstrap, Timers timers, LongSupplier clock, String name,
            Path directory, Map<String, InetSocketAddress> members, StoreLimits limits) throws IOException {
        this.loop = loop;
        this.limits = limits;
        this.timers = timers;
        this.clock = clock;
        member = new Member(name);
        log = new LogFile(Files.createDirectories(directory).resolve(name + ".log"));
        transport = new MemberTransport(loop, bootstrap, members);
        RaftConfig config = RaftConfig.newBuilder().setLeaderHeartbeatPeriodSecs(1).setLeaderHeartbeatTimeoutSecs(3)
                .setLeaderElectionTimeoutMillis(500).setCommitCountToTakeSnapshot(COMMITS_PER_SNAPSHOT)
                .setAppendEntriesRequestBatchSize(MAX_ENTRIES_PER_MESSAGE).build();
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder().setGroupId("burlford").setConfig(config)
                .setTransport(transport).setStateMachine(new StoreStateMachine()).setStore(log)
                .setExecutor(new StoreThreadExecutor());
        RestoredRaftState restoredState = log.restoredState();
        if (restoredState != null) {
            builder.setRestoredState(restoredState);
        } else {
            builder.setLocalEndpoint(member).setInitialGroupMembers(
                    members.keySet().stream().map(m -> (RaftEndpoint) new Member(m)).toList());
        }
        recovery = new StateRecovery(member);
        node = builder.build();
    }

    /** Listens for the other members, then starts the Raft node. */
    public ChannelFuture start(ServerBootstrap server, InetSocketAddress address) {
        ChannelFuture bound = transport.listen(server, address, this::receive);
        node.start();
        return bound;
    }

    private void receive(RaftMessage message) {
        node.handle(message);
        if (!current && message instanceof AppendEntriesRequest request) {
            // Runs behind the node's own task for the message.
            runOnStoreThread(() -> {
                recovery.onProcessed(request, node.getTerm());
                reportIfCurrent();
            });
        }
    }

    /** Runs on the store's thread, behind the applied operations. */
    private void reportIfCurrent() {
        if (recovery.isCurrent()) {
            loop.execute(this::becomeCurrent);
        }
    }

    private void becomeCurrent() {
        if (!current) {
            current = true;
            LOG.log(Level.INFO, "store: the state is current, with {0} keys", committedEntries.size());
            notifyWatchers(committedEntries);
        }
    }

    private void notifyWatchers(Map<String, Entry> entries) {
        new TreeMap<>(entries).forEach((key, entry) -> watchers.forEach(w -> w.accept(key, entry)));
    }

    @Override
    public boolean isCurrent() {
        return current;
    }

    @Override
    public void reportLastKnown(Runnable done) {
        runOnStoreThread(() -> {
            Map<String, Entry> lastKnown = readLastKnown();
            loop.execute(() -> {
                if (!current) {
                    notifyWatchers(lastKnown);
                }
                done.run();
            });
        });
    }

    private Map<String, Entry> readLastKnown() {
        try {
            RestoredRaftState state = log.restoredState();
            return state == null ? Map.of() : VersionedMap.replay(state).entries();
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "store: the last state in the log cannot be read", e);
            return Map.of();
        }
    }

    @Override
    public void put(String key, long expectedVersion, String value, Consumer<WriteResult> done) {
        if (!Utf8.isWellFormed(key) || !Utf8.isWellFormed(value)) {
            // It could be neither logged nor sent.
            done.accept(new WriteResult(Outcome.REFUSED, 0, "a text with half of a surrogate pair"));
            return;
        }
        boolean[] notified = new boolean[1];
        Consumer<WriteResult> once = w -> {
            if (!notified[0]) {
                notified[0] = true;
                done.accept(w);
            }
        };
        Timers.Timer timeout = timers.schedule(clock.getAsLong() + WRITE_TIMEOUT_US, () -> once.accept(
                new WriteResult(Outcome.REFUSED, 0, "no majority answers; the write may yet be made")));
        node.<WriteResult>replicate(VersionedMap.encodeWrite(key, expectedVersion, value)).whenComplete(
                (ordered, failure) -> loop.execute(() -> {
                    timers.cancel(timeout);
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
        return committedEntries;
    }

    @Override
    public void watch(BiConsumer<String, Entry> watcher) {
        watchers.add(watcher);
    }

    @Override
    public void close() {
        closed = true;
        transport.close();
        thread.shutdownNow();
        try {
            if (thread.awaitTermination(5, TimeUnit.SECONDS)) {
                log.close();
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, "store: cannot close the log file: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void applyCommitted(Map<String, Entry> entries) {
        entries.forEach((key, entry) -> {
            if (!entry.equals(committedEntries.put(key, entry)) && current) {
                watchers.forEach(w -> w.accept(key, entry));
            }
        });
    }

    private void runOnStoreThread(Runnable task) {
        if (!thread.isShutdown()) {
            thread.execute(task);
        }
    }

    /** The replicated state machine; runs on the store's thread and reports committed entries to the event loop. */
    private final class StoreStateMachine implements StateMachine {
        private final VersionedMap map = new VersionedMap();
        private long bytesSinceSnapshot;
        private boolean snapshotRequested;

        @Override
        public Object runOperation(long index, Object operation) {
            requestSnapshotIfDue((String) operation);
            onApplied(index);
            if (VersionedMap.NEW_TERM.equals(operation)) {
                return null;
            }
            VersionedMap.ApplyResult applied = map.apply((String) operation);
            if (applied.writeResult().outcome() == Outcome.STORED) {
                Map<String, Entry> one = Map.of(applied.key(), map.entries().get(applied.key()));
                loop.execute(() -> applyCommitted(one));
            }
            return applied.writeResult();
        }

        private void onApplied(long index) {
            if (!recovery.isCurrent()) {
                recovery.onApplied(index, node.getTerm());
                // Behind all that the node applies with this operation.
                runOnStoreThread(ReplicatedStore.this::reportIfCurrent);
            }
        }

        /**
         * Has a snapshot taken once the operations since the last one are too many bytes to keep. The node itself
         * counts commits only, however long their operations are.
         */
        private void requestSnapshotIfDue(String operation) {
            bytesSinceSnapshot += (long) BYTES_PER_CHARACTER * operation.length();
            if (bytesSinceSnapshot >= limits.logBytes() && !snapshotRequested) {
                snapshotRequested = true;
                node.takeSnapshot().whenComplete(
                        (report, failure) -> runOnStoreThread(() -> snapshotRequested = false));
            }
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            bytesSinceSnapshot = 0;
            map.snapshot(limits.snapshotChunkBytes()).forEach(chunks);
        }

        @Override
        public void installSnapshot(long index, List<Object> chunks) {
            bytesSinceSnapshot = 0;
            map.restore(chunks.stream().map(String.class::cast).toList());
            recovery.onSnapshotInstalled(index);
            Map<String, Entry> all = new TreeMap<>(map.entries());
            loop.execute(() -> applyCommitted(all));
        }

        @Override
        public Object getNewTermOperation() {
            return VersionedMap.NEW_TERM;
        }
    }

    /** Runs the Raft node's tasks on the store's thread, delayed ones after a timer of the event loop. */
    private final class StoreThreadExecutor implements RaftNodeExecutor {

        @Override
        public void execute(Runnable task) {
            runOnStoreThread(task);
        }

        @Override
        public void submit(Runnable task) {
            execute(task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            loop.execute(() -> {
                if (!closed) {
                    timers.schedule(clock.getAsLong() + unit.toMicros(delay), () -> execute(task));
                }
            });
        }
    }
}
