package burlford.core;

import burlford.policy.Aggregator;
import burlford.policy.Aggregator.ListKind;
import burlford.policy.Aggregator.Outcome;
import burlford.policy.Aggregator.Status;
import burlford.policy.Dispatcher;
import burlford.policy.Dispatcher.Cancel;
import burlford.policy.Dispatcher.Decisions;
import burlford.policy.Dispatcher.FinalAnswer;
import burlford.policy.Dispatcher.Send;
import burlford.policy.PeerUpdate;
import burlford.policy.SendCheck;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Holds the open queries between whoever asks and the readers, and carries out what the dispatcher decides.
 * It knows no wire: fronts call {@link #submit} and {@link #clientLeft}, the readers' side reports what came back.
 */
public final class Coordinator implements ReaderRegistry {

    private static final Logger LOG = Logger.getLogger(Coordinator.class.getName());
    /** A line for each query, attempt, probe and list entry, at FINE; off by default, asked for once. */
    private static final Logger TRACE = Logger.getLogger("burlford.trace");
    private static final boolean TRACED = TRACE.isLoggable(Level.FINE);
    /** Before the client's time is up by this much a query still open is failed, whatever was decided. */
    private static final long LAST_WORD = 10_000;
    private static final long US_PER_MS = 1_000;
    private static final double[] NO_LOAD = {};
    /** A load that may be older than this is left out: queues are others by then. */
    private static final long STALE = 100_000;

    private static final class OpenQuery {
        final long number;
        final Query query;
        final Client client;
        final Dispatcher dispatcher;
        final long takenAt;
        final Map<Integer, String> values = new TreeMap<>();
        final Map<Long, Call> calls = new HashMap<>();
        Timers.Timer lastWord;
        boolean ended;

        OpenQuery(long number, Query query, Client client, Dispatcher dispatcher, long takenAt) {
            this.number = number;
            this.takenAt = takenAt;
            this.query = query;
            this.client = client;
            this.dispatcher = dispatcher;
        }
    }

    /** What a dispatcher decided, and which: after a change of the settings there may be two. */
    private record PendingDecisions(Dispatcher by, Decisions what) { }

    private Site site;
    private Dispatcher dispatcher;
    private final Timers deadlines;
    private final Counters counters;
    private final LongSupplier clock;
    private final EventLog events;
    private final SharedState commons;
    private ReaderTransport readers;
    private final Map<Long, OpenQuery> queries = new LinkedHashMap<>();
    private final Map<String, ReaderEntry> list = new LinkedHashMap<>();
    private Runnable onListed = () -> { };
    private Runnable readList = () -> { };
    private final ArrayDeque<PendingDecisions> decided = new ArrayDeque<>();
    /** Calls decided in this turn. */
    private final ArrayDeque<Call> unsent = new ArrayDeque<>();
    private boolean carryingOut;
    private boolean catchingUp;
    /** Probes that another coordinator sent and whose results this one's module waits for. */
    private final Map<String, Timers.Timer> joined = new HashMap<>();
    private long endBy = Long.MAX_VALUE;
    private boolean abandoned;
    /** Queries may be open under settings that are no longer in force. */
    private boolean older;

    public Coordinator(Site site, Dispatcher dispatcher, SharedState commons, Timers deadlines, Counters counters,
            LongSupplier clock) {
        this.commons = commons;
        this.site = site;
        this.dispatcher = dispatcher;
        this.deadlines = deadlines;
        this.counters = counters;
        this.clock = clock;
        this.events = new EventLog(Coordinator.class, clock);
    }

    public void setReaderTransport(ReaderTransport to) {
        readers = to;
    }

    /**
     * New settings: the new dispatcher decides about queries to come; those open end under the one they began
     * with, and both hear of the readers meanwhile.
     */
    public void reconfigure(Site to, Dispatcher by) {
        Dispatcher before = dispatcher;
        site = to;
        dispatcher = by;
        older = true;
        told(ListKind.CACHED, readers());
        by.shareBudgetsWith(before);
    }

    /** The present dispatcher, and those of queries that are still open. */
    private Collection<Dispatcher> dispatchers() {
        if (!older) {
            return List.of(dispatcher);
        }
        Set<Dispatcher> all = new LinkedHashSet<>(List.of(dispatcher));
        queries.values().forEach(o -> all.add(o.dispatcher));
        older = all.size() > 1;
        return all;
    }

    @Override
    public void onReadersUpdated(Runnable action) {
        onListed = action;
    }

    /** What reads changes of the list that have come and that the event loop has not got to; run before calls leave. */
    public void onBeforeSend(Runnable action) {
        readList = action;
    }

    @Override
    public Site site() {
        return site;
    }

    @Override
    public Counters counters() {
        return counters;
    }

    @Override
    public long now() {
        return clock.getAsLong();
    }

    /** It has a list with a reader that takes work. */
    public boolean canServe() {
        return list.values().stream().anyMatch(r -> r.status() == Status.READY);
    }

    public boolean isIdle() {
        return queries.values().stream().allMatch(q -> q.ended);
    }

    @Override
    public List<ReaderEntry> readers() {
        return List.copyOf(list.values());
    }

    // ---- from the fronts

    /** Whatever clients would wait, all is answered by then, also what is open now: the program goes. */
    public void answerAllBy(long time) {
        endBy = time;
        for (OpenQuery o : List.copyOf(queries.values())) {
            if (!o.ended && o.query.deadline() > time) {
                deadlines.cancel(o.lastWord);
                o.lastWord = lastWord(o, time - LAST_WORD, Aggregator.Reason.SHUTDOWN);
            }
        }
    }

    /** Guards the rule that no query is lost, should the module not end it by itself. */
    private Timers.Timer lastWord(OpenQuery o, long at, Aggregator.Reason reason) {
        return deadlines.schedule(at, () -> {
            if (!o.ended) {
                counters.add("queries.overdue");
                end(o, new FinalAnswer(o.number, Dispatcher.Verdict.FAILED, false, 0, reason));
                carryOut(o.dispatcher, o.dispatcher.report(now(), o.number));
            }
        });
    }

    /**
     * Takes a query; the client hears of its end. Returns its number for {@link #clientLeft}; 0, and nothing is taken
     * or told, where a query of its id is open.
     */
    public long submit(Query asked, Client client) {
        applyPendingUpdates();
        Query query = asked.withDeadlineAtMost(endBy);
        if (!commons.claimId(query.id())) {
            return 0;
        }
        long number = commons.nextQueryNumber();
        counters.add("queries.taken");
        if (abandoned || !commons.tryAcquireCapacity(1 + query.parts().size(), site.maxOpen())) {
            commons.releaseId(query.id());
            counters.add("queries.refused.max_open");
            counters.add("queries.refused");
            events.log("query", query.id(), "refused: MAX_OPEN");
            if (TRACED) {
                trace("full query=%s class=%d parts=%d", query.id(), query.queryClass(), query.parts().size());
            }
            client.refused(site.retryAfter());
            return number;
        }
        OpenQuery o = new OpenQuery(number, query, client, dispatcher, now());
        queries.put(number, o);
        if (TRACED) {
            trace("taken query=%s class=%d tenant=%d parts=%d left=%d", query.id(), query.queryClass(), query.tenant(),
                    query.parts().size(), query.deadline() - now());
        }
        o.lastWord = lastWord(o, query.deadline() - LAST_WORD, Aggregator.Reason.TIME_OVER);
        carryOut(dispatcher, dispatcher.submit(now(), number, query.queryClass(), query.tenant(), query.key(),
                query.retry(), Math.max(0, query.deadline() - now()), query.parts()));
        return number;
    }

    /** The client of a query went away: nobody waits for its answer. */
    public void clientLeft(long number) {
        applyPendingUpdates();
        OpenQuery o = queries.get(number);
        if (o == null || o.ended) {
            return;
        }
        counters.add("queries.left");
        events.log("query", o.query.id(), "left by its client after ms", age(o), "attempts out", o.calls.size());
        if (TRACED) {
            trace("left query=%s class=%d left=%d values=%d out=%d", o.query.id(), o.query.queryClass(),
                    o.query.deadline() - now(), o.values.size(), o.calls.size());
        }
        close(o);
        carryOut(o.dispatcher, o.dispatcher.report(now(), number));
        withdrawUnsent(o, call -> true);
        settle(o);
    }

    // ---- from the readers

    /** A call came back. value: what the reader gave, where it served. */
    public void callEnded(Call call, Outcome outcome, String value, double[] load) {
        if (call.ended) {
            return;
        }
        applyPendingUpdates();
        if (call.ended) {
            return; // over what it caught up with
        }
        call.ended = true;
        deadlines.cancel(call.timeout);
        counters.add("attempts." + outcome.name().toLowerCase());
        OpenQuery o = queries.get(call.send.query());
        o.calls.remove(key(call.send.part(), call.send.attempt()));
        if (outcome != Outcome.OK) {
            events.log("query", o.query.id(), "part", call.shard, "attempt", call.send.attempt(), "at",
                    call.send.reader(), "ended:", outcome);
        }
        if (outcome == Outcome.OK && !o.ended) {
            o.values.put(call.shard, value);
        }
        boolean over = outcome == Outcome.OK || o.ended;
        long elapsed = elapsed(call.sentAt);
        double[] fresh = stale() ? NO_LOAD : load;
        if (TRACED) {
            trace("attempt call=%s number=%d reader=%s outcome=%s took=%d", call.partId, call.send.attempt(),
                    call.send.reader(), outcome, elapsed);
        }
        commons.notifyEnded(call.send, outcome, now(), elapsed, fresh);
        carryOut(o.dispatcher, o.dispatcher.report(now(), call.send, outcome, elapsed, over, fresh));
        settle(o);
    }

    /** A probe this coordinator sent at that time came back. */
    public void probeEnded(String reader, Outcome outcome, long sentAt, double[] load) {
        applyPendingUpdates();
        counters.add("probes." + outcome.name().toLowerCase());
        deadlines.cancel(joined.remove(reader));
        long elapsed = elapsed(sentAt);
        double[] fresh = stale() ? NO_LOAD : load;
        if (TRACED) {
            trace("probe reader=%s outcome=%s took=%d load=%s", reader, outcome, elapsed, Arrays.toString(fresh));
        }
        commons.notifyProbed(reader, outcome, now(), elapsed, fresh);
        told(reader, outcome, elapsed, fresh);
    }

    private void told(String reader, Outcome outcome, long elapsed, double[] load) {
        dispatchers().forEach(d -> carryOut(d, d.report(now(), reader, outcome, elapsed, load)));
    }

    /** How long something took, without the time for which our own loop stood still: that is no reader's. */
    private long elapsed(long sentAt) {
        long took = now() - sentAt;
        return Math.max(Math.min(took, 1), took - commons.stallUs());
    }

    /** What comes in now may have lain unread for long: a load that old is none. */
    private boolean stale() {
        return commons.stallUs() >= STALE;
    }

    // ---- from the others of the process

    /** What was told to all goes before what is read or decided here, and what others know before what is asked. */
    public void applyPendingUpdates() {
        if (carryingOut || catchingUp) {
            return;
        }
        catchingUp = true;
        try {
            commons.applyBroadcasts();
            hear();
        } finally {
            catchingUp = false;
        }
    }

    private void hear() {
        List<PeerUpdate> words = commons.pollPeerUpdates();
        if (words.isEmpty()) {
            return;
        }
        dispatchers().forEach(d -> d.addPeerUpdates(words));
        for (PeerUpdate w : words) {
            Timers.Timer waits = w instanceof PeerUpdate.ProbeEnded p ? joined.remove(p.reader()) : null;
            deadlines.cancel(waits);
        }
    }

    /** Nothing happened here of late: takes what was told to all and what others said, and looks what it changes. */
    public void refresh() {
        applyPendingUpdates();
        dispatchers().forEach(d -> carryOut(d, d.tick(now())));
    }

    /**
     * Ends all that is open as failed and takes nothing more: this coordinator's loop has come to grief. Nothing is
     * decided, for what decides may be what failed. Attempts out are given up.
     */
    public void failAll(String why) {
        abandoned = true;
        for (OpenQuery o : List.copyOf(queries.values())) {
            if (!o.ended) {
                counters.add("queries.abandoned");
                close(o);
                quietly(() -> o.client.failed(why));
            }
            for (Call call : List.copyOf(o.calls.values())) {
                call.ended = true;
                deadlines.cancel(call.timeout);
                quietly(() -> readers.cancel(call));
                commons.notifyEnded(call.send, Outcome.CANCELLED, now(), 0, NO_LOAD);
            }
            o.calls.clear();
        }
        queries.clear();
    }

    private static void quietly(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "in giving up", e);
        }
    }

    // ---- from discovery

    @Override
    public void updateReaders(ListKind kind, List<ReaderEntry> entries) {
        if (abandoned) {
            return;
        }
        counters.add("lists." + kind.name().toLowerCase());
        boolean first = list.isEmpty();
        if (kind != ListKind.CHANGES) {
            List<String> named = entries.stream().map(ReaderEntry::id).toList();
            for (String id : List.copyOf(list.keySet())) {
                if (!named.contains(id)) {
                    LOG.log(Level.INFO, "reader {0}: not in the list any more", id);
                    list.remove(id);
                    readers.removeReader(id);
                }
            }
        }
        for (ReaderEntry e : entries) {
            if (TRACED) {
                trace("listed kind=%s reader=%s cell=%d status=%s started=%d", kind, e.id(), e.cell(), e.status(),
                        e.startedAt());
            }
            if (!first) {
                logTransition(list.get(e.id()), e);
            }
            if (e.status() == Status.GONE) {
                list.remove(e.id());
                readers.removeReader(e.id());
            } else {
                list.put(e.id(), e);
                readers.updateReader(e);
            }
        }
        told(kind, entries);
        withdrawFromUnready();
        if (first) {
            LOG.log(Level.INFO, "list of readers: {0}, from a list of kind {1}", new Object[] {list.size(), kind});
        }
        onListed.run();
    }

    /** What waits for a connection to a reader that takes nothing new is not sent there when it comes up. */
    private void withdrawFromUnready() {
        for (OpenQuery o : List.copyOf(queries.values())) {
            withdrawUnsent(o, call -> readerStatus(call) != Status.READY);
        }
    }

    /** That of the reader that a call was meant for; one that has started anew since is another. */
    private Status readerStatus(Call call) {
        ReaderEntry reader = list.get(call.send.reader());
        return reader == null || reader.startedAt() != call.readerStartedAt ? Status.GONE : reader.status();
    }

    /** Ends calls that still wait for a connection; without it a query that has ended would be sent on. */
    private void withdrawUnsent(OpenQuery o, Predicate<Call> which) {
        for (Call call : List.copyOf(o.calls.values())) {
            if (!call.ended && which.test(call) && (!call.handedOver || readers.withdraw(call))) {
                callEnded(call, Outcome.MOOT, null, NO_LOAD);
            }
        }
    }

    private static void logTransition(ReaderEntry before, ReaderEntry after) {
        Status was = before == null ? Status.GONE : before.status();
        boolean restarted = before != null && before.startedAt() != after.startedAt();
        if (was != after.status() || restarted) {
            LOG.log(Level.INFO, "reader {0}: {1} to {2}{3}", new Object[] {after.id(), was, after.status(),
                restarted ? ", started anew" : ""});
        }
    }

    private void told(ListKind kind, List<ReaderEntry> entries) {
        List<Dispatcher.Reader> all = entries.stream().map(e -> new Dispatcher.Reader(e.id(),
                Math.max(0, site.zones().indexOf(e.zone())), e.cell(), e.status(), e.size(), e.startedAt())).toList();
        dispatchers().forEach(d -> carryOut(d, d.report(now(), kind, all)));
    }

    // ---- carrying out

    /** In the order decided; what is decided in consequence waits its turn. */
    private void carryOut(Dispatcher by, Decisions decisions) {
        if (abandoned) {
            return;
        }
        decided.add(new PendingDecisions(by, decisions));
        if (carryingOut) {
            return;
        }
        carryingOut = true;
        try {
            for (PendingDecisions next = decided.poll(); next != null; next = decided.poll()) {
                Decisions d = next.what();
                d.cancels().forEach(this::cancel);
                d.closeIdle().forEach(readers::closeIdle);
                d.sends().forEach(this::send);
                d.probes().forEach(this::probe);
                d.finalAnswers().forEach(e -> {
                    OpenQuery o = queries.get(e.query());
                    if (o != null && !o.ended) {
                        end(o, e);
                    }
                });
                wakeIn(next.by(), d.tickDelay());
            }
        } finally {
            carryingOut = false;
        }
    }

    /** Where another's question is out, its answer is waited for; it may be lost on the way to us. */
    private void probe(String reader) {
        if (commons.claimProbe(reader)) {
            counters.add("probes.sent");
            readers.probe(reader);
        } else if (!joined.containsKey(reader)) {
            counters.add("probes.joined");
            joined.put(reader, deadlines.schedule(now() + site.connectTimeout(), () -> {
                joined.remove(reader);
                told(reader, Outcome.TIMEOUT, site.connectTimeout(), NO_LOAD);
            }));
        }
    }

    /**
     * Each alarm asked for is kept, also beside an earlier one: the module asks once for the next and counts on
     * it. Merged with an alarm about to go off, the later one was lost, and silent queries ran overdue.
     */
    private void wakeIn(Dispatcher by, long delay) {
        if (delay > 0) {
            deadlines.schedule(now() + delay, () -> {
                if (!abandoned) {
                    applyPendingUpdates();
                    carryOut(by, by.tick(now()));
                }
            });
        }
    }

    private void send(Send s) {
        OpenQuery o = queries.get(s.query());
        long now = now();
        Dispatcher.Part part = o == null ? null : o.query.parts().get(s.part());
        ReaderEntry reader = list.get(s.reader());
        if (o == null || o.ended || reader == null || !site.holds(reader.cell(), part.shard())) {
            // The module does not ask for this; the rules on lists and shards are kept here all the same.
            LOG.log(Level.SEVERE, "not sent: {0}", s);
            Dispatcher by = o == null ? dispatcher : o.dispatcher;
            carryOut(by, by.report(now, s, Outcome.MOOT, 0, o == null || o.ended, NO_LOAD));
            return;
        }
        long until = s.timeout() > 0 ? Math.min(o.query.deadline(), now + s.timeout()) : o.query.deadline();
        Call call = new Call(o.query.id() + "." + part.shard(), part.shard(), s, o.query.text(), now, until,
                reader.startedAt());
        o.calls.put(key(s.part(), s.attempt()), call);
        call.timeout = deadlines.schedule(until, () -> {
            readers.cancel(call);
            callEnded(call, Outcome.TIMEOUT, null, NO_LOAD);
        });
        counters.add(s.attempt() == 0 ? "attempts.first" : "attempts.further");
        if (s.attempt() > 0) {
            events.log("query", o.query.id(), "part", part.shard(), "attempt", s.attempt(), "to", s.reader());
        }
        if (TRACED) {
            trace("sent call=%s number=%d reader=%s until=%d", call.partId, s.attempt(), s.reader(), until - now);
        }
        commons.notifySent(s, part, o.query.queryClass(), now, until);
        if (unsent.isEmpty()) {
            deadlines.schedule(now, this::handOver);
        }
        unsent.add(call);
    }

    /**
     * At the end of a turn, when all that came in it is read: a client that left or a reader that drains goes before
     * what was decided earlier in the turn.
     */
    private void handOver() {
        applyPendingUpdates();
        try {
            for (Call call = unsent.poll(); call != null; call = unsent.poll()) {
                if (!call.ended && passesSendCheck(call)) {
                    call.handedOver = true;
                    readers.send(call);
                }
            }
        } finally {
            if (!unsent.isEmpty()) {
                deadlines.schedule(now(), this::handOver); // one that failed does not hold up the others
            }
        }
    }

    /**
     * Looks again at a call whose frame is about to be written.
     *
     * @return whether it may leave; where it may not, it has ended
     */
    public boolean passesSendCheck(Call call) {
        readList.run();
        if (call.ended) {
            return false; // over what was read
        }
        OpenQuery o = queries.get(call.send.query());
        Optional<SendCheck.WithholdReason> fault = o == null || o.ended
                ? Optional.of(SendCheck.WithholdReason.QUERY_OVER) : SendCheck.reasonToWithhold(now(), facts(call, o));
        fault.ifPresent(f -> withhold(call, f));
        return fault.isEmpty();
    }

    private SendCheck.AttemptState facts(Call call, OpenQuery o) {
        return new SendCheck.AttemptState(call.deadline, readerStatus(call), o.dispatcher.tryBegin(now(), call.send),
                o.client.isConnected());
    }

    private void withhold(Call call, SendCheck.WithholdReason fault) {
        counters.add("attempts.withheld." + fault.name().toLowerCase());
        events.log("part", call.partId, "attempt", call.send.attempt(), "not sent to", call.send.reader(), "any more:",
                fault);
        if (fault == SendCheck.WithholdReason.CLIENT_LEFT) {
            clientLeft(call.send.query());
        }
        if (!call.ended && (!call.handedOver || readers.withdraw(call))) {
            callEnded(call, Outcome.MOOT, null, NO_LOAD);
        }
    }

    private void cancel(Cancel c) {
        OpenQuery o = queries.get(c.query());
        Call call = o == null ? null : o.calls.get(key(c.part(), c.attempt()));
        if (call != null) {
            readers.cancel(call);
            callEnded(call, Outcome.CANCELLED, null, NO_LOAD);
        }
    }

    private void end(OpenQuery o, FinalAnswer e) {
        close(o);
        String verdict = "queries." + e.verdict().name().toLowerCase();
        counters.add(verdict);
        if (e.reason() != null) {
            counters.add(verdict + "." + e.reason().name().toLowerCase());
            events.log("query", o.query.id(), e.verdict() + ":", e.reason(), "after ms", age(o), "of ms",
                    (o.query.deadline() - o.takenAt) / US_PER_MS);
        }
        if (TRACED) {
            trace("ended query=%s class=%d tenant=%d verdict=%s reason=%s left=%d values=%d out=%d come_back=%d",
                    o.query.id(), o.query.queryClass(), o.query.tenant(), e.verdict(), e.reason(),
                    o.query.deadline() - now(), o.values.size(), o.calls.size(), e.retryAfter());
        }
        switch (e.verdict()) {
            case ANSWERED -> o.client.answered(e.whole(), o.values);
            case REFUSED -> o.client.refused(e.retryAfter());
            case FAILED -> o.client.failed("no whole answer in time");
        }
        withdrawUnsent(o, call -> true);
        settle(o);
    }

    private long age(OpenQuery o) {
        return (now() - o.takenAt) / US_PER_MS;
    }

    private void close(OpenQuery o) {
        o.ended = true;
        commons.releaseId(o.query.id());
        commons.releaseCapacity(1 + o.query.parts().size());
        deadlines.cancel(o.lastWord);
    }

    /** Forgets a query that has ended, once none of its attempts is out. */
    private void settle(OpenQuery o) {
        if (o.ended && o.calls.isEmpty() && queries.remove(o.number) != null) {
            o.dispatcher.forget(o.number, o.query.parts().size());
        }
    }

    private static void trace(String form, Object... values) {
        TRACE.fine(String.format(form, values));
    }

    private static long key(int part, int attempt) {
        return (long) part << 32 | attempt;
    }
}
