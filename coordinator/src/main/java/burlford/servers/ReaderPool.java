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
 * The connections to all readers: each call goes on one with room, or on a new one. A connection that breaks
 * takes all that is out on it along; so for a while after one did, each call gets a connection to itself.
 */
public final class ReaderPool implements ReaderTransport {

    private static final long CAREFUL = 10_000_000;

    private final Bootstrap bootstrap;
    private final Coordinator coordinator;
    private final Timers timers;
    private final Map<String, ReaderEntry> entries = new HashMap<>();
    private final Map<String, List<ReaderConnection>> connections = new HashMap<>();
    private final IntSupplier most;
    private final ReaderConnectionLimits census;
    private long carefulUntil = Long.MIN_VALUE;

    /** census: the connections of the whole process. most: connections up to which calls may get one each. */
    public ReaderPool(Bootstrap bootstrap, Coordinator coordinator, Timers deadlines, ReaderConnectionLimits census,
            IntSupplier most) {
        this.census = census;
        this.most = most;
        this.bootstrap = bootstrap;
        this.coordinator = coordinator;
        this.timers = deadlines;
    }

    @Override
    public void send(Call call) {
        ReaderConnection on = connection(call.send.reader(), c -> c.hasRoomFor(call), c -> c.canQueue(call));
        if (on == null) {
            coordinator.callEnded(call, Outcome.NO_CONNECTION, null, new double[0]);
            return;
        }
        on.send(call);
        opened(call.send.reader(), on);
    }

    @Override
    public void cancel(Call call) {
        for (ReaderConnection c : List.copyOf(connections.getOrDefault(call.send.reader(), List.of()))) {
            if (c.carries(call)) {
                c.cancel(call);
                return;
            }
        }
    }

    @Override
    public boolean withdraw(Call call) {
        for (ReaderConnection c : List.copyOf(connections.getOrDefault(call.send.reader(), List.of()))) {
            if (c.carries(call)) {
                return c.withdraw(call);
            }
        }
        return false;
    }

    @Override
    public void probe(String reader) {
        ReaderConnection on = connection(reader, ReaderConnection::hasRoom, c -> true);
        if (on == null) {
            coordinator.probeEnded(reader, Outcome.NO_CONNECTION, now(), new double[0]);
            return;
        }
        on.probe();
        opened(reader, on);
    }

    @Override
    public void closeIdle(String reader) {
        for (ReaderConnection c : List.copyOf(connections.getOrDefault(reader, List.of()))) {
            if (c.isIdle()) {
                c.close();
            }
        }
    }

    @Override
    public void updateReader(ReaderEntry entry) {
        ReaderEntry was = entries.put(entry.id(), entry);
        if (was != null && (!was.host().equals(entry.host()) || was.port() != entry.port()
                || was.startedAt() != entry.startedAt())) {
            retire(entry.id());
        }
    }

    @Override
    public void removeReader(String reader) {
        retire(reader);
        entries.remove(reader);
    }

    /** Connections to a process that is no more may stay silent: nothing new may go on them. */
    private void retire(String reader) {
        List.copyOf(connections.getOrDefault(reader, List.of())).forEach(ReaderConnection::drain);
    }

    /**
     * One with room, or a new one that {@link #opened} starts once it has its first load; where the process may open
     * no more, the least loaded that can queue. null: the reader is not listed.
     */
    private ReaderConnection connection(String reader, Predicate<ReaderConnection> usable,
            Predicate<ReaderConnection> able) {
        List<ReaderConnection> held = connections.getOrDefault(reader, List.of());
        for (ReaderConnection c : held) {
            if (usable.test(c)) {
                return c;
            }
        }
        ReaderEntry entry = entries.get(reader);
        if (entry != null && !census.mayOpen(reader, held.size())) {
            ReaderConnection least = held.stream().filter(able)
                    .min(Comparator.comparingInt(ReaderConnection::inFlightCalls)).orElse(null);
            if (least != null) {
                return least;
            }
        }
        return entry == null ? null : new ReaderConnection(this, entry);
    }

    private void opened(String reader, ReaderConnection c) {
        List<ReaderConnection> held = connections.computeIfAbsent(reader, r -> new ArrayList<>());
        if (!held.contains(c)) {
            held.add(c);
            census.opened(reader);
            c.open(bootstrap);
        }
    }

    void forget(String reader, ReaderConnection c) {
        List<ReaderConnection> held = connections.get(reader);
        if (held != null && held.remove(c)) {
            census.closed(reader);
            if (held.isEmpty()) {
                connections.remove(reader);
            }
        }
    }

    /** All connections end, with what is out on them: this pool is given up. */
    public void close() {
        List.copyOf(connections.values()).forEach(held -> List.copyOf(held).forEach(ReaderConnection::close));
    }

    /** A connection broke with calls out on it. */
    void connectionBroken() {
        carefulUntil = now() + CAREFUL;
    }

    /** How many calls a connection takes at present. */
    int maxCallsPerConnection() {
        return now() < carefulUntil && census.openCount() < most.getAsInt() ? 1 : site().multiplex();
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

    Coordinator listener() {
        return coordinator;
    }

    long now() {
        return coordinator.now();
    }
}
