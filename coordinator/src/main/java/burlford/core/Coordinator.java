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
import burlford.policy.QueryIdRules;
import burlford.policy.QueryIdRules.IdState;
import burlford.policy.SendCheck;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Holds the open queries and carries out what the {@link Dispatcher} decides about them. It is independent of wire
 * protocols: fronts call {@link #submit} and {@link #clientLeft}, and the {@link ReaderTransport} reports the results
 * of calls and probes. All times are microseconds on the coordinator's clock. Not thread-safe: one event loop owns it.
 */
public final class Coordinator implements ReaderRegistry {

    private static final Logger LOG = Logger.getLogger(Coordinator.class.getName());
    /**
     * Logs a line for each query, attempt, probe and list entry at level FINE. Off by default; whether it is on is read
     * only once.
     */
    private static final Logger TRACE = Logger.getLogger("burlford.trace");
    private static final boolean TRACE_ENABLED = TRACE.isLoggable(Level.FINE);
    /** A query that is still open this long before its deadline is failed, whatever the module has decided. */
    private static final long OVERDUE_MARGIN_US = 10_000;
    private static final long US_PER_MS = 1_000;
    private static final double[] NO_LOAD_REPORT = {};
    /** A load report that may be older than this is ignored, since the reader's queue has changed by then. */
    private static final long STALE_LOAD_AGE_US = 100_000;

    /** An open query, or one that has ended and still has calls in flight. */
    private static final class OpenQuery {
        final long number;
        final Query query;
        final Client client;
        final Dispatcher dispatcher;
        final long submittedAt;
        final Map<Integer, String> values = new TreeMap<>();
        final Map<Long, Call> calls = new HashMap<>();
        Timers.Timer overdueTimer;
        /** The frame of an attempt has been written, at least in part. */
        boolean mayHaveRun;
        /** Running its parts twice does no harm. */
        final boolean repeatable;
        boolean ended;

        OpenQuery(long number, Query query, Client client, Dispatcher dispatcher, long submittedAt,
                boolean repeatable) {
            this.repeatable = repeatable;
            this.number = number;
            this.submittedAt = submittedAt;
            this.query = query;
            this.client = client;
            this.dispatcher = dispatcher;
        }
    }

    /** Decisions and the dispatcher that made them; after a change of the settings several dispatchers are in use. */
    private record PendingDecisions(Dispatcher source, Decisions decisions) { }

    private Site site;
    private Dispatcher dispatcher;
    private final Timers timers;
    private final Counters counters;
    private final LongSupplier clock;
    private final EventLog events;
    private final RuleViolations violations;
    private final SharedState sharedState;
    private ReaderTransport readerTransport;
    private final Map<Long, OpenQuery> queries = new LinkedHashMap<>();
    private final Map<String, ReaderEntry> readersById = new LinkedHashMap<>();
    private Consumer<ListKind> onReadersUpdated = kind -> { };
    private Runnable beforeSend = () -> { };
    private final ArrayDeque<PendingDecisions> pendingDecisions = new ArrayDeque<>();
    /** Calls decided in this event-loop iteration and not yet passed to the transport. */
    private final ArrayDeque<Call> queuedCalls = new ArrayDeque<>();
    private boolean executing;
    private boolean applyingUpdates;
    /** By reader: timeouts of probes that a peer has sent and whose results this coordinator's module awaits. */
    private final Map<String, Timers.Timer> joinedProbes = new HashMap<>();
    private long answerAllBy = Long.MAX_VALUE;
    private boolean failed;
    private boolean hasReaderList;
    /** Queries may be open that were submitted under earlier settings and belong to an earlier dispatcher. */
    private boolean mayHaveOldDispatchers;

    public Coordinator(Site site, Dispatcher dispatcher, SharedState sharedState, Timers timers, Counters counters,
            LongSupplier clock) {
        this.sharedState = sharedState;
        this.site = site;
        this.dispatcher = dispatcher;
        this.timers = timers;
        this.counters = counters;
        this.clock = clock;
        this.events = new EventLog(Coordinator.class, clock);
        this.violations = new RuleViolations(counters);
    }

    public void setReaderTransport(ReaderTransport transport) {
        readerTransport = transport;
    }

    /**
     * Puts new settings in force. The new dispatcher decides about queries submitted from now on; open queries stay
     * with the dispatcher that they began with. Reader lists and probe results are passed to all of them.
     */
    public void reconfigure(Site newSite, Dispatcher newDispatcher) {
        Dispatcher previous = dispatcher;
        site = newSite;
        dispatcher = newDispatcher;
        mayHaveOldDispatchers = true;
        if (hasReaderList) {
            // An empty list would count as the first one, and the readers of the next as started since.
            notifyDispatchers(ListKind.CACHED, readers());
        }
        newDispatcher.shareBudgetsWith(previous);
    }

    /** The current dispatcher and those of queries that are still open. */
    private Collection<Dispatcher> dispatchers() {
        if (!mayHaveOldDispatchers) {
            return List.of(dispatcher);
        }
        Set<Dispatcher> all = new LinkedHashSet<>(List.of(dispatcher));
        queries.values().forEach(o -> all.add(o.dispatcher));
        mayHaveOldDispatchers = all.size() > 1;
        return all;
    }

    @Override
    public void onReadersUpdated(Consumer<ListKind> action) {
        onReadersUpdated = action;
    }

    /**
     * Sets the action that reads list changes which have arrived but are still unread; it runs before calls are sent.
     */
    public void onBeforeSend(Runnable action) {
        beforeSend = action;
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

    /** Whether the reader list has a reader that takes new work. */
    public boolean canServe() {
        return readersById.values().stream().anyMatch(r -> r.status() == Status.READY);
    }

    /** Whether no query is open. */
    public boolean isIdle() {
        return queries.values().stream().allMatch(q -> q.ended);
    }

    @Override
    public List<ReaderEntry> readers() {
        return List.copyOf(readersById.values());
    }

    // ---- from the fronts

    /** Caps the deadlines of open and of future queries, so that all are answered by the given time: for shutdown. */
    public void answerAllBy(long time) {
        answerAllBy = time;
        for (OpenQuery open : List.copyOf(queries.values())) {
            if (!open.ended && open.query.deadline() > time) {
                timers.cancel(open.overdueTimer);
                open.overdueTimer = startOverdueTimer(open, time - OVERDUE_MARGIN_US, Aggregator.Reason.SHUTDOWN);
            }
        }
    }

    /** Ends the query as failed at the given time, should the module not have ended it by then: none may be lost. */
    private Timers.Timer startOverdueTimer(OpenQuery open, long dueAt, Aggregator.Reason reason) {
        return timers.schedule(dueAt, () -> {
            if (!open.ended) {
                counters.add("queries.overdue");
                endQuery(open, new FinalAnswer(open.number, Dispatcher.Verdict.FAILED, false, 0, reason));
                execute(open.dispatcher, open.dispatcher.report(now(), open.number));
            }
        });
    }

    /**
     * Submits a query. The client is notified of the final answer, possibly before this method returns.
     *
     * @return the query's number for {@link #clientLeft}; 0 where a query with its id is open: then it is not
     *     submitted, and the client is not notified. A query whose id is retained is refused
     */
    public long submit(Query submitted, Client client) {
        applyPendingUpdates();
        Query query = submitted.withDeadlineAtMost(answerAllBy);
        IdState idState = sharedState.claimId(query.id(), now());
        if (idState == IdState.OPEN) {
            return 0;
        }
        long number = sharedState.nextQueryNumber();
        counters.add("queries.taken");
        if (idState == IdState.RETAINED) {
            refuseUnsubmitted(query, client, "id_retained", 0);
            return number;
        }
        if (failed || !sharedState.tryAcquireCapacity(1 + query.parts().size(), site.maxOpen())) {
            sharedState.releaseId(query.id(), QueryIdRules.NOT_RETAINED);
            refuseUnsubmitted(query, client, "max_open", site.retryAfter());
            return number;
        }
        OpenQuery open = new OpenQuery(number, query, client, dispatcher, now(),
                site.isRepeatable(query.queryClass()));
        queries.put(number, open);
        if (TRACE_ENABLED) {
            trace("taken query=%s class=%d tenant=%d parts=%d left=%d", query.id(), query.queryClass(), query.tenant(),
                    query.parts().size(), query.deadline() - now());
        }
        open.overdueTimer = startOverdueTimer(open, query.deadline() - OVERDUE_MARGIN_US, Aggregator.Reason.TIME_OVER);
        execute(dispatcher, dispatcher.submit(now(), number, query.queryClass(), query.tenant(), query.key(),
                query.retry(), Math.max(0, query.deadline() - now()), query.parts()));
        return number;
    }

    /** Refuses a query that the module is not told of. reason: as counted. */
    private void refuseUnsubmitted(Query query, Client client, String reason, long retryAfter) {
        counters.add("queries.refused." + reason);
        counters.add("queries.refused");
        events.log("query", query.id(), "refused:", reason.toUpperCase(Locale.ROOT));
        if (TRACE_ENABLED) {
            trace("full query=%s class=%d parts=%d", query.id(), query.queryClass(), query.parts().size());
        }
        client.refused(retryAfter);
    }

    /** The client of a query has disconnected and no longer waits for the answer. */
    public void clientLeft(long number) {
        applyPendingUpdates();
        OpenQuery open = queries.get(number);
        if (open == null || open.ended) {
            return;
        }
        counters.add("queries.left");
        events.log("query", open.query.id(), "client disconnected after ms", ageMs(open), "attempts in flight",
                open.calls.size());
        if (TRACE_ENABLED) {
            trace("left query=%s class=%d left=%d values=%d out=%d", open.query.id(), open.query.queryClass(),
                    open.query.deadline() - now(), open.values.size(), open.calls.size());
        }
        markEnded(open, false);
        execute(open.dispatcher, open.dispatcher.report(now(), number));
        endUnsentCalls(open, call -> true);
        removeIfFinished(open);
    }

    // ---- from the readers

    /**
     * A call has ended.
     *
     * @param value the reader's value where the outcome is OK, else null
     * @param loadReport the reader's load report, or empty
     */
    public void callEnded(Call call, Outcome outcome, String value, double[] loadReport) {
        if (call.ended) {
            return;
        }
        applyPendingUpdates();
        if (call.ended) {
            return; // the pending updates ended it
        }
        call.ended = true;
        timers.cancel(call.timeout);
        counters.add("attempts." + outcome.name().toLowerCase());
        OpenQuery open = queries.get(call.send.query());
        open.calls.remove(attemptKey(call.send.part(), call.send.attempt()));
        if (outcome != Outcome.OK) {
            events.log("query", open.query.id(), "part", call.shard, "attempt", call.send.attempt(), "at",
                    call.send.reader(), "ended:", outcome);
        }
        if (outcome == Outcome.OK && !open.ended) {
            open.values.put(call.shard, value);
        }
        boolean partClosed = outcome == Outcome.OK || open.ended;
        long elapsed = elapsedExcludingStall(call.sentAt);
        double[] usableReport = loadsAreStale() ? NO_LOAD_REPORT : loadReport;
        if (TRACE_ENABLED) {
            trace("attempt call=%s number=%d reader=%s outcome=%s took=%d", call.partId, call.send.attempt(),
                    call.send.reader(), outcome, elapsed);
        }
        sharedState.notifyEnded(call.send, outcome, now(), elapsed, usableReport);
        execute(open.dispatcher, open.dispatcher.report(now(), call.send, outcome, elapsed, partClosed, usableReport));
        removeIfFinished(open);
    }

    /** A probe that this coordinator sent at the given time has ended. */
    public void probeEnded(String reader, Outcome outcome, long sentAt, double[] loadReport) {
        applyPendingUpdates();
        counters.add("probes." + outcome.name().toLowerCase());
        timers.cancel(joinedProbes.remove(reader));
        long elapsed = elapsedExcludingStall(sentAt);
        double[] usableReport = loadsAreStale() ? NO_LOAD_REPORT : loadReport;
        if (TRACE_ENABLED) {
            trace("probe reader=%s outcome=%s took=%d load=%s", reader, outcome, elapsed,
                    Arrays.toString(usableReport));
        }
        sharedState.notifyProbed(reader, outcome, now(), elapsed, usableReport);
        notifyDispatchers(reader, outcome, elapsed, usableReport);
    }

    private void notifyDispatchers(String reader, Outcome outcome, long elapsed, double[] loadReport) {
        dispatchers().forEach(d -> execute(d, d.report(now(), reader, outcome, elapsed, loadReport)));
    }

    /** Time since sentAt without that for which this event loop was stalled, which is not the reader's fault. */
    private long elapsedExcludingStall(long sentAt) {
        long total = now() - sentAt;
        return Math.max(Math.min(total, 1), total - sharedState.stallUs());
    }

    /** Whether a load report that is read now may have lain unread for so long that it is out of date. */
    private boolean loadsAreStale() {
        return sharedState.stallUs() >= STALE_LOAD_AGE_US;
    }

    // ---- from the other coordinators of the process

    /**
     * Applies waiting broadcasts (reader lists, settings) and peer updates, so that whatever is decided next takes
     * them into account. Does nothing while decisions or updates are being carried out.
     */
    public void applyPendingUpdates() {
        if (executing || applyingUpdates) {
            return;
        }
        applyingUpdates = true;
        try {
            sharedState.applyBroadcasts();
            applyPeerUpdates();
        } finally {
            applyingUpdates = false;
        }
    }

    private void applyPeerUpdates() {
        List<PeerUpdate> updates = sharedState.pollPeerUpdates();
        if (updates.isEmpty()) {
            return;
        }
        dispatchers().forEach(d -> d.addPeerUpdates(updates));
        for (PeerUpdate update : updates) {
            Timers.Timer timer = update instanceof PeerUpdate.ProbeEnded p ? joinedProbes.remove(p.reader()) : null;
            timers.cancel(timer);
        }
    }

    /**
     * Applies waiting broadcasts and peer updates and has the dispatchers check their queries, for use when nothing
     * else has happened on this event loop.
     */
    public void refresh() {
        applyPendingUpdates();
        dispatchers().forEach(d -> execute(d, d.tick(now())));
    }

    /**
     * Fails all open queries and refuses later ones, because this coordinator's event loop has failed. Calls in flight
     * are cancelled. The module is not consulted, since it may be what failed.
     *
     * @param reason the text for the clients
     */
    public void failAll(String reason) {
        failed = true;
        for (OpenQuery open : List.copyOf(queries.values())) {
            if (!open.ended) {
                counters.add("queries.abandoned");
                markEnded(open, false);
                runLoggingExceptions(() -> open.client.failed(reason));
            }
            for (Call call : List.copyOf(open.calls.values())) {
                call.ended = true;
                timers.cancel(call.timeout);
                runLoggingExceptions(() -> readerTransport.cancel(call));
                sharedState.notifyEnded(call.send, Outcome.CANCELLED, now(), 0, NO_LOAD_REPORT);
            }
            open.calls.clear();
        }
        queries.clear();
    }

    private static void runLoggingExceptions(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "error while failing the open queries; going on with the others", e);
        }
    }

    // ---- from discovery

    @Override
    public void updateReaders(ListKind kind, List<ReaderEntry> entries) {
        if (failed) {
            return;
        }
        counters.add("lists." + kind.name().toLowerCase());
        hasReaderList = true;
        boolean firstList = readersById.isEmpty();
        if (kind != ListKind.CHANGES) {
            List<String> listedIds = entries.stream().map(ReaderEntry::id).toList();
            for (String id : List.copyOf(readersById.keySet())) {
                if (!listedIds.contains(id)) {
                    LOG.log(Level.INFO, "reader {0}: no longer in the reader list", id);
                    readersById.remove(id);
                    readerTransport.removeReader(id);
                }
            }
        }
        for (ReaderEntry entry : entries) {
            if (TRACE_ENABLED) {
                trace("listed kind=%s reader=%s cell=%d status=%s started=%d", kind, entry.id(), entry.cell(),
                        entry.status(), entry.startedAt());
            }
            if (!firstList) {
                logTransition(readersById.get(entry.id()), entry);
            }
            if (entry.status() == Status.GONE) {
                readersById.remove(entry.id());
                readerTransport.removeReader(entry.id());
            } else {
                readersById.put(entry.id(), entry);
                readerTransport.updateReader(entry);
            }
        }
        notifyDispatchers(kind, entries);
        endUnsentCallsToUnreadyReaders();
        if (firstList) {
            LOG.log(Level.INFO, "reader list: {0} readers, from a list of kind {1}",
                    new Object[] {readersById.size(), kind});
        }
        onReadersUpdated.accept(kind);
    }

    /** Ends calls that wait for a connection to a reader which takes nothing new, lest they are sent once it is up. */
    private void endUnsentCallsToUnreadyReaders() {
        for (OpenQuery open : List.copyOf(queries.values())) {
            endUnsentCalls(open, call -> readerStatus(call) != Status.READY);
        }
    }

    /** Status of the reader that the call is meant for: GONE where it has restarted since the decision. */
    private Status readerStatus(Call call) {
        ReaderEntry reader = readersById.get(call.send.reader());
        return reader == null || reader.startedAt() != call.readerStartedAt ? Status.GONE : reader.status();
    }

    /**
     * Ends the calls that match and are not completely written. Without this, calls that wait for a connection would
     * be sent although their query has ended.
     */
    private void endUnsentCalls(OpenQuery open, Predicate<Call> filter) {
        for (Call call : List.copyOf(open.calls.values())) {
            if (!call.ended && filter.test(call) && (!call.handedToTransport || readerTransport.withdraw(call))) {
                callEnded(call, Outcome.MOOT, null, NO_LOAD_REPORT);
            }
        }
    }

    private static void logTransition(ReaderEntry before, ReaderEntry after) {
        Status oldStatus = before == null ? Status.GONE : before.status();
        boolean restarted = before != null && before.startedAt() != after.startedAt();
        if (oldStatus != after.status() || restarted) {
            LOG.log(Level.INFO, "reader {0}: {1} to {2}{3}", new Object[] {after.id(), oldStatus, after.status(),
                restarted ? ", restarted" : ""});
        }
    }

    private void notifyDispatchers(ListKind kind, List<ReaderEntry> entries) {
        List<Dispatcher.Reader> reported = entries.stream().map(e -> new Dispatcher.Reader(e.id(),
                Math.max(0, site.zones().indexOf(e.zone())), e.cell(), e.status(), e.size(), e.startedAt())).toList();
        dispatchers().forEach(d -> execute(d, d.report(now(), kind, reported)));
    }

    // ---- executing decisions

    /** Executes decisions in the order in which they were made; those that follow from them are queued behind them. */
    private void execute(Dispatcher source, Decisions decisions) {
        if (failed) {
            return;
        }
        pendingDecisions.add(new PendingDecisions(source, decisions));
        if (executing) {
            return;
        }
        executing = true;
        try {
            for (PendingDecisions next = pendingDecisions.poll(); next != null; next = pendingDecisions.poll()) {
                Decisions current = next.decisions();
                current.cancels().forEach(this::cancel);
                current.closeIdle().forEach(readerTransport::closeIdle);
                current.sends().forEach(this::send);
                current.probes().forEach(this::probe);
                current.finalAnswers().forEach(answer -> {
                    OpenQuery open = queries.get(answer.query());
                    if (open != null && !open.ended) {
                        endQuery(open, answer);
                    }
                });
                scheduleTick(next.source(), current.tickDelay());
            }
        } finally {
            executing = false;
        }
    }

    /** Sends a probe or, where a peer has one out, awaits its result; a timeout covers results that are lost. */
    private void probe(String reader) {
        if (sharedState.claimProbe(reader)) {
            counters.add("probes.sent");
            readerTransport.probe(reader);
        } else if (!joinedProbes.containsKey(reader)) {
            counters.add("probes.joined");
            joinedProbes.put(reader, timers.schedule(now() + site.connectTimeout(), () -> {
                joinedProbes.remove(reader);
                notifyDispatchers(reader, Outcome.TIMEOUT, site.connectTimeout(), NO_LOAD_REPORT);
            }));
        }
    }

    /**
     * Schedules a tick beside those already scheduled: the module asks only once for its next tick and relies on it.
     * When a new tick was merged with one about to run, the later one was lost, and queries without events became
     * overdue.
     */
    private void scheduleTick(Dispatcher source, long delay) {
        if (delay > 0) {
            timers.schedule(now() + delay, () -> {
                if (!failed) {
                    applyPendingUpdates();
                    execute(source, source.tick(now()));
                }
            });
        }
    }

    private void send(Send send) {
        OpenQuery open = queries.get(send.query());
        long now = now();
        Dispatcher.Part part = open == null ? null : open.query.parts().get(send.part());
        ReaderEntry reader = readersById.get(send.reader());
        if (open == null || open.ended || reader == null || !site.holds(reader.cell(), part.shard())) {
            // The module does not decide this; the rules on the reader list and on shards are enforced all the same.
            LOG.log(Level.SEVERE, "attempt withheld: its query has ended or its reader does not hold the shard: {0}",
                    send);
            Dispatcher source = open == null ? dispatcher : open.dispatcher;
            execute(source, source.report(now, send, Outcome.MOOT, 0, open == null || open.ended, NO_LOAD_REPORT));
            return;
        }
        long waitsUntil = send.timeout() > 0 ? Math.min(open.query.deadline(), now + send.timeout())
                : open.query.deadline();
        Call call = new Call(open.query.id() + "." + part.shard(), part.shard(), send, open.query.text(), now,
                waitsUntil, reader.startedAt());
        open.calls.put(attemptKey(send.part(), send.attempt()), call);
        call.timeout = timers.schedule(waitsUntil, () -> {
            readerTransport.cancel(call);
            callEnded(call, Outcome.TIMEOUT, null, NO_LOAD_REPORT);
        });
        counters.add(send.attempt() == 0 ? "attempts.first" : "attempts.further");
        if (send.attempt() > 0) {
            events.log("query", open.query.id(), "part", part.shard(), "attempt", send.attempt(), "to", send.reader());
        }
        if (TRACE_ENABLED) {
            trace("sent call=%s number=%d reader=%s until=%d", call.partId, send.attempt(), send.reader(),
                    waitsUntil - now);
        }
        sharedState.notifySent(send, part, open.query.queryClass(), now, waitsUntil);
        if (queuedCalls.isEmpty()) {
            timers.schedule(now, this::sendQueuedCalls);
        }
        queuedCalls.add(call);
    }

    /**
     * Passes the queued calls to the transport. Runs at the end of the event-loop iteration, when all that has arrived
     * is read, so that a client's disconnect or a reader's draining takes effect before calls that were decided
     * earlier.
     */
    private void sendQueuedCalls() {
        applyPendingUpdates();
        try {
            for (Call call = queuedCalls.poll(); call != null; call = queuedCalls.poll()) {
                if (!call.ended && passesSendCheck(call)) {
                    call.handedToTransport = true;
                    readerTransport.send(call);
                }
            }
        } finally {
            if (!queuedCalls.isEmpty()) {
                timers.schedule(now(), this::sendQueuedCalls); // a call that failed must not hold up the others
            }
        }
    }

    /**
     * Checks a call once more right before its frame is written.
     *
     * @return whether the call may be sent; if not, it has ended
     */
    public boolean passesSendCheck(Call call) {
        beforeSend.run();
        if (call.ended) {
            return false; // the list changes just read ended it
        }
        OpenQuery open = queries.get(call.send.query());
        Optional<SendCheck.WithholdReason> reason = open == null || open.ended
                ? Optional.of(SendCheck.WithholdReason.QUERY_OVER)
                : SendCheck.reasonToWithhold(now(), attemptState(call, open));
        reason.ifPresent(r -> withhold(call, r));
        return reason.isEmpty();
    }

    /**
     * As {@link #passesSendCheck}, for a call whose frame is written next: from then on its part may run.
     *
     * @return whether the frame may be written; if not, the call has ended
     */
    public boolean tryBeginWrite(Call call) {
        if (!passesSendCheck(call)) {
            return false;
        }
        OpenQuery open = queries.get(call.send.query());
        checkBeforeWrite(open, call);
        open.mayHaveRun = true;
        call.writeStarted = true;
        return true;
    }

    private void checkBeforeWrite(OpenQuery open, Call call) {
        if (open.ended) {
            violations.add(RuleViolations.Rule.SENT_AFTER_END, call.partId);
        }
        for (Call other : open.calls.values()) {
            if (other != call && other.shard == call.shard && other.writeStarted && !other.ended) {
                violations.add(RuleViolations.Rule.TWO_ATTEMPTS_OUT, call.partId);
            }
        }
    }

    /** Ends a query for which nothing more may be sent: refused where nothing was, else failed. */
    private void endForUnknownClient(long number) {
        OpenQuery open = queries.get(number);
        if (open == null || open.ended) {
            return;
        }
        Dispatcher.Verdict verdict = open.mayHaveRun ? Dispatcher.Verdict.FAILED : Dispatcher.Verdict.REFUSED;
        endQuery(open, new FinalAnswer(number, verdict, false, 0, Aggregator.Reason.CLIENT_UNKNOWN));
        execute(open.dispatcher, open.dispatcher.report(now(), number));
    }

    private SendCheck.AttemptState attemptState(Call call, OpenQuery open) {
        return new SendCheck.AttemptState(call.waitsUntil, readerStatus(call),
                open.dispatcher.tryBegin(now(), call.send), open.client.presence());
    }

    private void withhold(Call call, SendCheck.WithholdReason reason) {
        counters.add("attempts.withheld." + reason.name().toLowerCase());
        events.log("part", call.partId, "attempt", call.send.attempt(), "withheld from", call.send.reader(),
                "reason:", reason);
        if (reason == SendCheck.WithholdReason.CLIENT_LEFT) {
            clientLeft(call.send.query());
        } else if (reason == SendCheck.WithholdReason.CLIENT_UNKNOWN) {
            endForUnknownClient(call.send.query());
        }
        if (!call.ended && (!call.handedToTransport || readerTransport.withdraw(call))) {
            callEnded(call, Outcome.MOOT, null, NO_LOAD_REPORT);
        }
    }

    private void cancel(Cancel cancel) {
        OpenQuery open = queries.get(cancel.query());
        Call call = open == null ? null : open.calls.get(attemptKey(cancel.part(), cancel.attempt()));
        if (call != null) {
            readerTransport.cancel(call);
            callEnded(call, Outcome.CANCELLED, null, NO_LOAD_REPORT);
        }
    }

    private void endQuery(OpenQuery open, FinalAnswer answer) {
        long dueAt = Math.max(open.query.deadline(), open.submittedAt);
        if (now() > dueAt + RuleViolations.LATE_ANSWER_US) {
            violations.add(RuleViolations.Rule.ANSWER_LATE, open.query.id());
        }
        markEnded(open, answer.verdict() == Dispatcher.Verdict.ANSWERED && answer.whole());
        String counter = "queries." + answer.verdict().name().toLowerCase();
        counters.add(counter);
        if (answer.reason() != null) {
            counters.add(counter + "." + answer.reason().name().toLowerCase());
            events.log("query", open.query.id(), answer.verdict() + ":", answer.reason(), "after ms", ageMs(open),
                    "of ms", (open.query.deadline() - open.submittedAt) / US_PER_MS);
        }
        if (TRACE_ENABLED) {
            trace("ended query=%s class=%d tenant=%d verdict=%s reason=%s left=%d values=%d out=%d come_back=%d",
                    open.query.id(), open.query.queryClass(), open.query.tenant(), answer.verdict(), answer.reason(),
                    open.query.deadline() - now(), open.values.size(), open.calls.size(), answer.retryAfter());
        }
        switch (answer.verdict()) {
            case ANSWERED -> open.client.answered(answer.whole(), open.values);
            case REFUSED -> open.client.refused(answer.retryAfter());
            case FAILED -> open.client.failed("no whole answer in time");
        }
        endUnsentCalls(open, call -> true);
        removeIfFinished(open);
    }

    private long ageMs(OpenQuery open) {
        return (now() - open.submittedAt) / US_PER_MS;
    }

    private void markEnded(OpenQuery open, boolean answeredWhole) {
        open.ended = true;
        sharedState.releaseId(open.query.id(), QueryIdRules.retainedUntil(now(), open.mayHaveRun, answeredWhole,
                open.repeatable));
        sharedState.releaseCapacity(1 + open.query.parts().size());
        timers.cancel(open.overdueTimer);
    }

    /** Removes the query if it has ended and none of its calls is in flight. */
    private void removeIfFinished(OpenQuery open) {
        if (open.ended && open.calls.isEmpty() && queries.remove(open.number) != null) {
            open.dispatcher.forget(open.number, open.query.parts().size());
        }
    }

    private static void trace(String format, Object... values) {
        TRACE.fine(String.format(format, values));
    }

    private static long attemptKey(int part, int attempt) {
        return (long) part << 32 | attempt;
    }
}
