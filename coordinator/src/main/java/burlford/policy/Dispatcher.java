package burlford.policy;

import burlford.policy.Aggregator.Action;
import burlford.policy.Aggregator.Event;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Method-call interface to the decision module. Each call reports what happened and returns at once with the decisions
 * to carry out; the module's events and actions stay hidden. All times and durations are microseconds; times are on the
 * coordinator's clock. Not thread-safe: one event loop owns it.
 */
public final class Dispatcher {

    /** Maximum number of parts of a query; the module's id of a part is that of its query plus 1 plus its index. */
    public static final int MAX_PARTS = 1000;
    private static final int IDS_PER_QUERY = 1024;
    private static final int MAX_ATTEMPTS_PER_PART = 16;

    /**
     * A part of a query.
     *
     * @param weight its share of the query, from 0 to 1
     * @param hint the client's estimate of the part's cost in any unit; 0: none
     * @param key key of what the part asks for; 0: none
     */
    public record Part(int shard, double weight, long hint, long key) { }

    /**
     * A reader in the reader list.
     *
     * @param size size relative to an ordinary reader
     * @param startedAt when it started, by the list's clock, in microseconds; 0: long ago or not known
     */
    public record Reader(String id, int zone, int cell, Aggregator.Status status, double size, long startedAt) { }

    /**
     * An attempt to send.
     *
     * @param part index of the part in its query
     * @param attempt index of the attempt among those of the part, from 0
     * @param timeout how long to wait for the answer; 0: until the client's deadline
     */
    public record Send(long query, int part, int attempt, String reader, long timeout) { }

    /** An attempt to cancel, with the same indexes as in {@link Send}. */
    public record Cancel(long query, int part, int attempt) { }

    /** How a query ended; REFUSED: repeating it is certain to do no harm. */
    public enum Verdict { ANSWERED, REFUSED, FAILED }

    /**
     * The final answer to a query.
     *
     * @param whole whether an answered query is answered whole, not partially
     * @param retryAfter time after which a refused client is advised to retry; 0: no advice
     * @param reason why the query was not answered; null if it was
     */
    public record FinalAnswer(long query, Verdict verdict, boolean whole, long retryAfter, Aggregator.Reason reason) { }

    /**
     * What to do now: list by list, in the order of the components.
     *
     * @param closeIdle readers to which idle connections are to be closed
     * @param probes readers to probe
     * @param tickDelay time after which {@link #tick} is to be called; 0: no call is needed
     */
    public record Decisions(List<Cancel> cancels, List<String> closeIdle, List<Send> sends, List<String> probes,
            List<FinalAnswer> finalAnswers, long tickDelay) { }

    private final Decide module;
    private final Map<String, Long> replicaByReader = new HashMap<>();
    private final Map<Long, String> readerByReplica = new HashMap<>();
    private final Set<String> listedReaders = new HashSet<>();
    private final Map<Long, Integer> attemptCountByPart = new HashMap<>();
    /** Events of peers that the module gets at the start of its next round, before anything else. */
    private final List<Event> pendingPeerEvents = new ArrayList<>();
    /** Time of the latest call; the module does not accept a clock that runs backwards. */
    private long latestTime = Long.MIN_VALUE;

    public Dispatcher(Aggregator.Settings settings, long seed) {
        module = new Decide(settings, seed);
    }

    /**
     * Shares the budgets of readers in slow start and of further attempts with the dispatcher that this one replaces,
     * so that new settings neither renew nor double them. To be called after this dispatcher has received the reader
     * list.
     */
    public void shareBudgetsWith(Dispatcher predecessor) {
        module.shareBudgetsWith(predecessor.module);
    }

    /**
     * Reports that a query has come in.
     *
     * @param query a number above 0 that the caller chooses and never uses twice
     * @param key key of what the query asks for; 0: none
     * @param clientRetry whether the client marked the query as a retry
     * @param timeLeft time until the client leaves
     */
    public Decisions submit(long now, long query, int queryClass, int tenant, long key, boolean clientRetry,
            long timeLeft, List<Part> parts) {
        List<Event> events = new ArrayList<>(parts.size() + 1);
        events.add(new Aggregator.QueryArrived(query * IDS_PER_QUERY, query, queryClass, parts.size(), timeLeft, 0,
                clientRetry, key, tenant));
        for (int i = 0; i < parts.size(); i++) {
            Part p = parts.get(i);
            events.add(new Aggregator.PartArrived(partId(query, i), query, p.shard(), p.weight(), p.hint(), p.key()));
        }
        return round(now, events);
    }

    /**
     * Reports that an attempt, which was decided earlier, is about to be sent.
     *
     * @return whether it may still be sent as far as the repeat window and the budget of further attempts are
     *     concerned; if so, it counts for the budgets from now on
     */
    public boolean tryBegin(long now, Send attempt) {
        latestTime = Math.max(latestTime, now);
        return module.tryBegin(partId(attempt.query(), attempt.part()), attempt.attempt(), latestTime);
    }

    /**
     * Reports that an attempt has ended.
     *
     * @param elapsed how long it took
     * @param partClosed whether its part needs no further attempt
     * @param loadReport the reader's load report, or empty
     */
    public Decisions report(long now, Send attempt, Aggregator.Outcome outcome, long elapsed, boolean partClosed,
            double[] loadReport) {
        return round(now, List.of(new Aggregator.AttemptEnded(partId(attempt.query(), attempt.part()),
                attempt.attempt(), replicaOf(attempt.reader()), outcome, elapsed, partClosed, loadReport)));
    }

    /** Reports that a probe has ended, with the reader's load report or an empty one. */
    public Decisions report(long now, String reader, Aggregator.Outcome outcome, long elapsed, double[] loadReport) {
        return round(now, List.of(new Aggregator.ProbeEnded(replicaOf(reader), outcome, elapsed, loadReport)));
    }

    /** Reports that the client of a query has left, or that the query's deadline has come. */
    public Decisions report(long now, long query) {
        return round(now, List.of(new Aggregator.ClientLeft(query * IDS_PER_QUERY)));
    }

    /** Reports the reader list: complete, complete as of an earlier time, or the entries that changed. */
    public Decisions report(long now, Aggregator.ListKind kind, List<Reader> readers) {
        if (kind != Aggregator.ListKind.CHANGES) {
            listedReaders.clear();
        }
        readers.forEach(r -> {
            registerReader(r.id());
            if (r.status() == Aggregator.Status.GONE) {
                listedReaders.remove(r.id());
            } else {
                listedReaders.add(r.id());
            }
        });
        List<Aggregator.ListEntry> entries = readers.stream().map(r -> new Aggregator.ListEntry(registerReader(r.id()),
                r.zone(), r.cell(), r.status(), r.size(), r.startedAt())).toList();
        Decisions decisions = round(now, List.of(new Aggregator.ListUpdate(kind, entries)));
        // Readers are replaced by new ones all the time, and nothing is sent to one that has left: it is forgotten.
        replicaByReader.keySet().retainAll(listedReaders);
        readerByReplica.values().retainAll(listedReaders);
        return decisions;
    }

    /** Takes peer updates, which are considered from the next decision on. */
    public void addPeerUpdates(List<PeerUpdate> updates) {
        for (PeerUpdate update : updates) {
            if (update instanceof PeerUpdate.AttemptSent sent) {
                Part part = sent.part();
                pendingPeerEvents.add(new Aggregator.PeerAttemptSent(peerAttemptId(sent.send()),
                        replicaOf(sent.send().reader()), sent.queryClass(), part.shard(), part.hint(), part.key(),
                        sent.sentAt(), sent.waitsUntil()));
            } else if (update instanceof PeerUpdate.AttemptEnded ended) {
                pendingPeerEvents.add(new Aggregator.PeerAttemptEnded(peerAttemptId(ended.send()),
                        replicaOf(ended.send().reader()), ended.outcome(), ended.endedAt(), ended.elapsed(),
                        ended.loadReport()));
            } else if (update instanceof PeerUpdate.ProbeEnded probe) {
                pendingPeerEvents.add(new Aggregator.PeerProbeEnded(replicaOf(probe.reader()), probe.outcome(),
                        probe.endedAt(), probe.elapsed(), probe.loadReport()));
            } else {
                pendingPeerEvents.add(new Aggregator.PeerUpdatesLost());
            }
        }
    }

    /**
     * Returns an id of a peer's attempt that is unique in the process, since parts have fewer attempts than
     * MAX_ATTEMPTS_PER_PART.
     */
    private static long peerAttemptId(Send send) {
        return partId(send.query(), send.part()) * MAX_ATTEMPTS_PER_PART + send.attempt() % MAX_ATTEMPTS_PER_PART;
    }

    /** Lets the module check its open queries; to be called after the tickDelay of each decision. */
    public Decisions tick(long now) {
        return round(now, List.of(new Aggregator.Alarm(0)));
    }

    private Decisions round(long now, List<Event> newEvents) {
        latestTime = Math.max(latestTime, now);
        List<Event> events = newEvents;
        if (!pendingPeerEvents.isEmpty()) {
            events = new ArrayList<>(pendingPeerEvents);
            pendingPeerEvents.clear();
            events.addAll(newEvents);
        }
        Decisions decisions = new Decisions(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>(),
                new ArrayList<>(), 0);
        long tickDelay = 0;
        for (Action action : module.round(latestTime, events)) {
            if (action instanceof Aggregator.Send a) {
                int attempt = attemptCountByPart.merge(a.part(), 1, Integer::sum) - 1;
                decisions.sends.add(new Send(queryOf(a.part()), partIndexOf(a.part()), attempt,
                        readerByReplica.get(a.replica()), a.timeout()));
            } else if (action instanceof Aggregator.Cancel a) {
                decisions.cancels.add(new Cancel(queryOf(a.part()), partIndexOf(a.part()), a.attempt()));
            } else if (action instanceof Aggregator.Probe a) {
                decisions.probes.add(readerByReplica.get(a.replica()));
            } else if (action instanceof Aggregator.CloseIdleConnections a) {
                decisions.closeIdle.add(readerByReplica.get(a.replica()));
            } else if (action instanceof Aggregator.Answer a) {
                decisions.finalAnswers.add(new FinalAnswer(queryOf(a.query()), Verdict.ANSWERED, a.whole(), 0, null));
            } else if (action instanceof Aggregator.Refuse a) {
                decisions.finalAnswers.add(new FinalAnswer(queryOf(a.query()), Verdict.REFUSED, false, a.retryAfter(),
                        a.reason()));
            } else if (action instanceof Aggregator.Fail a) {
                decisions.finalAnswers.add(new FinalAnswer(queryOf(a.query()), Verdict.FAILED, false, 0, a.reason()));
            } else if (action instanceof Aggregator.SetAlarm a) {
                tickDelay = tickDelay == 0 ? a.delay() : Math.min(tickDelay, a.delay());
            }
            // WatchList needs no action: the coordinator always watches the list.
        }
        return new Decisions(decisions.cancels, decisions.closeIdle, decisions.sends, decisions.probes,
                decisions.finalAnswers, tickDelay);
    }

    /** Forgets the attempt counts of a query that has ended and has no attempt in flight. */
    public void forget(long query, int partCount) {
        for (int i = 0; i < partCount; i++) {
            attemptCountByPart.remove(partId(query, i));
        }
    }

    private static long partId(long query, int part) {
        return query * IDS_PER_QUERY + 1 + part;
    }

    private static long queryOf(long partId) {
        return partId / IDS_PER_QUERY;
    }

    private static int partIndexOf(long partId) {
        return (int) (partId % IDS_PER_QUERY) - 1;
    }

    /** Returns the number of a reader: a hash of its id, so that all coordinators agree on the home of a key. */
    private long registerReader(String reader) {
        Long replica = replicaByReader.get(reader);
        if (replica != null) {
            return replica;
        }
        long hash = hash(reader);
        while (readerByReplica.putIfAbsent(hash, reader) != null) {
            hash++;
        }
        replicaByReader.put(reader, hash);
        return hash;
    }

    /** Returns the number of a reader that may have left the list, without registering the reader again. */
    private long replicaOf(String reader) {
        Long replica = replicaByReader.get(reader);
        return replica == null ? hash(reader) : replica;
    }

    /** Returns the number of readers held: never more than are listed, however many have come and gone. */
    int readerCount() {
        return Math.max(replicaByReader.size(), readerByReplica.size());
    }

    /** 64-bit FNV-1a hash with a final mixing step. Never 0, as a key of 0 means that there is none. */
    public static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        hash ^= hash >>> 33;
        return hash == 0 ? 1 : hash;
    }
}
