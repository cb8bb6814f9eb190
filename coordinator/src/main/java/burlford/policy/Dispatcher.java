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
 * The decision module behind plain calls. Every call says what happened, returns at once and hands back what
 * is to be done now; nothing of the module's events and actions shows. Times are microseconds on the
 * coordinator's clock. Not thread-safe: one event loop owns it.
 */
public final class Dispatcher {

    /** Parts a query may have: its parts' ids in the module are the query's with the part's place added. */
    public static final int MAX_PARTS = 1000;
    private static final int ID_SPAN = 1024;
    private static final int MOST_ATTEMPTS = 16;

    public record Part(int shard, double weight, long hint, long key) { }

    /** startedAt: on the coordinator's clock; 0: long ago. */
    public record Reader(String id, int zone, int cell, Aggregator.Status status, double size, long startedAt) { }

    /** An attempt to start: a part (by its place in the query) at a reader. timeout 0: the client's time. */
    public record Send(long query, int part, int attempt, String reader, long timeout) { }

    public record Cancel(long query, int part, int attempt) { }

    public enum Verdict { ANSWERED, REFUSED, FAILED }

    /** The final word on a query. comeBack: advice to a refused client, 0 for none. reason: null where answered. */
    public record FinalAnswer(long query, Verdict verdict, boolean whole, long retryAfter, Aggregator.Reason reason) { }

    /** What to do now, list by list in this order. wakeIn: call tick after so long; 0: no need. */
    public record Decisions(List<Cancel> cancels, List<String> closeIdle, List<Send> sends, List<String> probes,
            List<FinalAnswer> finalAnswers, long tickDelay) { }

    private final Decide module;
    private final Map<String, Long> numbers = new HashMap<>();
    private final Map<Long, String> names = new HashMap<>();
    private final Set<String> listed = new HashSet<>();
    private final Map<Long, Integer> attempts = new HashMap<>();
    /** What others of the process said, for the module to hear before anything else is decided. */
    private final List<Event> heard = new ArrayList<>();
    private long latest = Long.MIN_VALUE;

    public Dispatcher(Aggregator.Settings settings, long seed) {
        module = new Decide(settings, seed);
    }

    /**
     * Shares what the rules count with the dispatcher that this one replaces, once the list has been told here: budgets
     * of readers in slow start and of further attempts, which new settings neither renew nor double.
     */
    public void shareBudgetsWith(Dispatcher before) {
        module.shareBudgetsWith(before.module);
    }

    /** A query came in; its number is the caller's, above 0 and never used twice. */
    public Decisions submit(long now, long query, int queryClass, int tenant, long key, boolean retry, long timeLeft,
            List<Part> parts) {
        List<Event> events = new ArrayList<>(parts.size() + 1);
        events.add(new Aggregator.QueryArrived(query * ID_SPAN, query, queryClass, parts.size(), timeLeft, 0, retry,
                key, tenant));
        for (int i = 0; i < parts.size(); i++) {
            Part p = parts.get(i);
            events.add(new Aggregator.PartArrived(id(query, i), query, p.shard(), p.weight(), p.hint(), p.key()));
        }
        return round(now, events);
    }

    /**
     * An attempt that was decided before is about to begin.
     *
     * @return whether it may still begin, as far as the module keeps count: the window and budget of repeats
     */
    public boolean tryBegin(long now, Send attempt) {
        latest = Math.max(latest, now);
        return module.tryBegin(id(attempt.query(), attempt.part()), attempt.attempt(), latest);
    }

    /** An attempt ended. over: its part needs no more. load: the reader's report, or empty. */
    public Decisions report(long now, Send attempt, Aggregator.Outcome outcome, long elapsed, boolean over,
            double[] load) {
        return round(now, List.of(new Aggregator.AttemptEnded(id(attempt.query(), attempt.part()), attempt.attempt(),
                known(attempt.reader()), outcome, elapsed, over, load)));
    }

    /** A probe ended. */
    public Decisions report(long now, String reader, Aggregator.Outcome outcome, long elapsed, double[] load) {
        return round(now, List.of(new Aggregator.ProbeEnded(known(reader), outcome, elapsed, load)));
    }

    /** The client of a query has left, or its time is over. */
    public Decisions report(long now, long query) {
        return round(now, List.of(new Aggregator.ClientLeft(query * ID_SPAN)));
    }

    /** Discovery spoke: the whole list, the list as it once was, or the entries that changed. */
    public Decisions report(long now, Aggregator.ListKind kind, List<Reader> readers) {
        if (kind != Aggregator.ListKind.CHANGES) {
            listed.clear();
        }
        readers.forEach(r -> {
            number(r.id());
            if (r.status() == Aggregator.Status.GONE) {
                listed.remove(r.id());
            } else {
                listed.add(r.id());
            }
        });
        List<Aggregator.ListEntry> entries = readers.stream().map(r -> new Aggregator.ListEntry(number(r.id()),
                r.zone(), r.cell(), r.status(), r.size(), r.startedAt())).toList();
        Decisions decisions = round(now, List.of(new Aggregator.ListUpdate(kind, entries)));
        // Readers are replaced by new ones all day; nothing is sent to one that is gone, so its name is not needed.
        numbers.keySet().retainAll(listed);
        names.values().retainAll(listed);
        return decisions;
    }

    /** What other coordinators of this process did and learnt; it counts from the next decision on. */
    public void addPeerUpdates(List<PeerUpdate> words) {
        for (PeerUpdate word : words) {
            if (word instanceof PeerUpdate.AttemptSent w) {
                Part p = w.part();
                heard.add(new Aggregator.PeerAttemptSent(peer(w.send()), known(w.send().reader()), w.queryClass(),
                        p.shard(), p.hint(), p.key(), w.sentAt(), w.waitsUntil()));
            } else if (word instanceof PeerUpdate.AttemptEnded w) {
                heard.add(new Aggregator.PeerAttemptEnded(peer(w.send()), known(w.send().reader()), w.outcome(),
                        w.endedAt(), w.elapsed(), w.loadReport()));
            } else if (word instanceof PeerUpdate.ProbeEnded w) {
                heard.add(new Aggregator.PeerProbeEnded(known(w.reader()), w.outcome(), w.endedAt(), w.elapsed(),
                        w.loadReport()));
            } else {
                heard.add(new Aggregator.PeerUpdatesLost());
            }
        }
    }

    /** One id for an attempt: the parts of a query have fewer than that many attempts each. */
    private static long peer(Send s) {
        return id(s.query(), s.part()) * MOST_ATTEMPTS + s.attempt() % MOST_ATTEMPTS;
    }

    /** Time passed. */
    public Decisions tick(long now) {
        return round(now, List.of(new Aggregator.Alarm(0)));
    }

    private Decisions round(long now, List<Event> happened) {
        latest = Math.max(latest, now);
        List<Event> events = happened;
        if (!heard.isEmpty()) {
            events = new ArrayList<>(heard);
            heard.clear();
            events.addAll(happened);
        }
        Decisions d = new Decisions(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>(),
                new ArrayList<>(), 0);
        long wakeIn = 0;
        for (Action action : module.round(latest, events)) {
            if (action instanceof Aggregator.Send a) {
                int attempt = attempts.merge(a.part(), 1, Integer::sum) - 1;
                d.sends.add(new Send(query(a.part()), part(a.part()), attempt, names.get(a.replica()), a.timeout()));
            } else if (action instanceof Aggregator.Cancel a) {
                d.cancels.add(new Cancel(query(a.part()), part(a.part()), a.attempt()));
            } else if (action instanceof Aggregator.Probe a) {
                d.probes.add(names.get(a.replica()));
            } else if (action instanceof Aggregator.CloseIdleConnections a) {
                d.closeIdle.add(names.get(a.replica()));
            } else if (action instanceof Aggregator.Answer a) {
                d.finalAnswers.add(new FinalAnswer(query(a.query()), Verdict.ANSWERED, a.whole(), 0, null));
            } else if (action instanceof Aggregator.Refuse a) {
                d.finalAnswers.add(new FinalAnswer(query(a.query()), Verdict.REFUSED, false, a.retryAfter(),
                        a.reason()));
            } else if (action instanceof Aggregator.Fail a) {
                d.finalAnswers.add(new FinalAnswer(query(a.query()), Verdict.FAILED, false, 0, a.reason()));
            } else if (action instanceof Aggregator.SetAlarm a) {
                wakeIn = wakeIn == 0 ? a.delay() : Math.min(wakeIn, a.delay());
            }
            // WatchList: discovery is always watched.
        }
        return new Decisions(d.cancels, d.closeIdle, d.sends, d.probes, d.finalAnswers, wakeIn);
    }

    /** Forgets the attempt numbers of a query that has ended and has none out. */
    public void forget(long query, int parts) {
        for (int i = 0; i < parts; i++) {
            attempts.remove(id(query, i));
        }
    }

    private static long id(long query, int part) {
        return query * ID_SPAN + 1 + part;
    }

    private static long query(long id) {
        return id / ID_SPAN;
    }

    private static int part(long id) {
        return (int) (id % ID_SPAN) - 1;
    }

    /** Readers are numbered by a hash of their id, so that all coordinators agree on a key's home. */
    private long number(String reader) {
        Long known = numbers.get(reader);
        if (known != null) {
            return known;
        }
        long hash = hash(reader);
        while (names.putIfAbsent(hash, reader) != null) {
            hash++;
        }
        numbers.put(reader, hash);
        return hash;
    }

    /** That of a reader that may be gone; it is not numbered anew. */
    private long known(String reader) {
        Long known = numbers.get(reader);
        return known == null ? hash(reader) : known;
    }

    /** Readers by name that are held; no more than are listed, however many came and went. */
    int readerCount() {
        return Math.max(numbers.size(), names.size());
    }

    /** FNV-1a, 64 bits, then mixed. Never 0, which stands for no key. */
    public static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        h = (h ^ h >>> 33) * 0xff51afd7ed558ccdL;
        h ^= h >>> 33;
        return h == 0 ? 1 : h;
    }
}
