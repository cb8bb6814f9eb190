package burlford.servers;

import burlford.core.Call;
import burlford.core.Coordinator;
import burlford.core.Counters;
import burlford.core.ReaderConnectionLimits;
import burlford.core.ReaderEntry;
import burlford.core.ReaderTransport;
import burlford.core.Site;
import burlford.core.Timers;
import burlford.policy.Aggregator.Outcome;
import io.netty.bootstrap.Bootstrap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Predicate;

/**
 * The connections to all readers. A call is sent on a connection with room, or on a new one. A connection that breaks
 * ends all calls in flight on it, so for some time after one did, each call gets a connection of its own.
 */
public final class ReaderPool implements ReaderTransport {

    /** For this long after a connection broke, each call gets a connection of its own. */
    private static final long ISOLATION_PERIOD_US = 10_000_000;
    /** Of the heap this part is for frames that have not ended. */
    private static final int PARTIAL_FRAMES_SHARE = 8;

    private final Bootstrap bootstrap;
    private final Coordinator coordinator;
    private final Timers timers;
    private final Map<String, ReaderEntry> entries = new HashMap<>();
    private final Map<String, List<ReaderConnection>> connections = new HashMap<>();
    private final IntSupplier isolationLimit;
    private final ReaderConnectionLimits connectionLimits;
    private final PartialFrameBudget partialFrames =
            new PartialFrameBudget(Runtime.getRuntime().maxMemory() / PARTIAL_FRAMES_SHARE);
    private long isolateUntil = Long.MIN_VALUE;

    /**
     * @param connectionLimits counts and limits of the whole process's connections to readers
     * @param isolationLimit number of connections of the process up to which calls may get a connection of their own
     */
    public ReaderPool(Bootstrap bootstrap, Coordinator coordinator, Timers timers,
            ReaderConnectionLimits connectionLimits, IntSupplier isolationLimit) {
        this.connectionLimits = connectionLimits;
        this.isolationLimit = isolationLimit;
        this.bootstrap = bootstrap;
        this.coordinator = coordinator;
        this.timers = timers;
    }

    @Override
    public void send(Call call) {
        String reader = call.send.reader();
        ReaderConnection connection = findOrCreate(reader, c -> c.hasRoomFor(call), c -> c.canQueue(call));
        if (connection == null) {
            coordinator.callEnded(call, Outcome.NO_CONNECTION, null, new double[0]);
            return;
        }
        if (!connectionsTo(reader).contains(connection)) {
            closeIdleConnectionsExpecting(reader, call.partId);
        }
        connection.send(call);
        openIfNew(reader, connection);
    }

    /**
     * Closes the idle connections that expect an answer to an earlier call with this part id, before another one is
     * opened for a further call: otherwise each use of an id would leave a connection behind.
     */
    private void closeIdleConnectionsExpecting(String reader, String partId) {
        for (ReaderConnection connection : List.copyOf(connectionsTo(reader))) {
            if (connection.isIdle() && connection.expectsAnswerTo(partId)) {
                connection.close();
            }
        }
    }

    PartialFrameBudget partialFrames() {
        return partialFrames;
    }

    private List<ReaderConnection> connectionsTo(String reader) {
        return connections.getOrDefault(reader, List.of());
    }

    @Override
    public void cancel(Call call) {
        for (ReaderConnection connection : List.copyOf(connectionsTo(call.send.reader()))) {
            if (connection.carries(call)) {
                connection.cancel(call);
                return;
            }
        }
    }

    @Override
    public boolean withdraw(Call call) {
        for (ReaderConnection connection : List.copyOf(connectionsTo(call.send.reader()))) {
            if (connection.carries(call)) {
                return connection.withdraw(call);
            }
        }
        return false;
    }

    @Override
    public void probe(String reader) {
        ReaderConnection connection = findOrCreate(reader, ReaderConnection::hasRoom, c -> true);
        if (connection == null) {
            coordinator.probeEnded(reader, Outcome.NO_CONNECTION, now(), new double[0]);
            return;
        }
        connection.probe();
        openIfNew(reader, connection);
    }

    @Override
    public void closeIdle(String reader) {
        for (ReaderConnection connection : List.copyOf(connectionsTo(reader))) {
            if (connection.isIdle()) {
                connection.close();
            }
        }
    }

    @Override
    public void updateReader(ReaderEntry entry) {
        ReaderEntry previous = entries.put(entry.id(), entry);
        if (previous != null && (!previous.host().equals(entry.host()) || previous.port() != entry.port()
                || previous.startedAt() != entry.startedAt())) {
            drainConnections(entry.id());
        }
    }

    @Override
    public void removeReader(String reader) {
        drainConnections(reader);
        entries.remove(reader);
    }

    /**
     * Drains the connections to a reader process that is gone: they may stay silent, so nothing new is sent on them.
     */
    private void drainConnections(String reader) {
        List.copyOf(connectionsTo(reader)).forEach(ReaderConnection::drain);
    }

    /**
     * Finds a connection with room, or creates one, which {@link #openIfNew} opens once it has its first call or
     * probe. Where the process may open no more, the one with the fewest calls that can queue another.
     *
     * @return null where the reader is not in the reader list
     */
    private ReaderConnection findOrCreate(String reader, Predicate<ReaderConnection> hasRoom,
            Predicate<ReaderConnection> canQueue) {
        List<ReaderConnection> existing = connectionsTo(reader);
        for (ReaderConnection connection : existing) {
            if (hasRoom.test(connection)) {
                return connection;
            }
        }
        ReaderEntry entry = entries.get(reader);
        if (entry != null && !connectionLimits.mayOpen(reader, existing.size())) {
            ReaderConnection leastLoaded = existing.stream().filter(canQueue)
                    .min(Comparator.comparingInt(ReaderConnection::inFlightCalls)).orElse(null);
            if (leastLoaded != null) {
                return leastLoaded;
            }
        }
        return entry == null ? null : new ReaderConnection(this, entry);
    }

    private void openIfNew(String reader, ReaderConnection connection) {
        List<ReaderConnection> existing = connections.computeIfAbsent(reader, r -> new ArrayList<>());
        if (!existing.contains(connection)) {
            existing.add(connection);
            connectionLimits.opened(reader);
            connection.open(bootstrap);
        }
    }

    void removeConnection(String reader, ReaderConnection connection) {
        List<ReaderConnection> existing = connections.get(reader);
        if (existing != null && existing.remove(connection)) {
            connectionLimits.closed(reader);
            if (existing.isEmpty()) {
                connections.remove(reader);
            }
        }
    }

    /** Closes all connections, which ends the calls and probes in flight on them; the pool is not used any more. */
    public void close() {
        List.copyOf(connections.values()).forEach(existing -> List.copyOf(existing).forEach(ReaderConnection::close));
    }

    /** A connection broke with calls in flight on it. */
    void connectionBroken() {
        isolateUntil = now() + ISOLATION_PERIOD_US;
    }

    /** How many calls a connection takes at present. */
    int maxCallsPerConnection() {
        return now() < isolateUntil && connectionLimits.openCount() < isolationLimit.getAsInt() ? 1
                : site().multiplex();
    }

    Site site() {
        return coordinator.site();
    }

    Timers timers() {
        return timers;
    }

    Counters counters() {
        return coordinator.counters();
    }

    Coordinator coordinator() {
        return coordinator;
    }

    long now() {
        return coordinator.now();
    }
}
