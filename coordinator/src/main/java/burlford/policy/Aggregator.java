package burlford.policy;

import java.util.List;

/**
 * The interface of the decision module: settings at start, events and the clock in, actions out.
 * Pure types. Times are microseconds on a monotonic clock of any origin. Ids are opaque.
 */
public interface Aggregator {

    /**
     * Decides one round: everything that came in since the last one, at one moment. The actions are to be
     * carried out in order. A clock that runs backwards is an IllegalArgumentException; events about queries,
     * parts or attempts that are not held are ignored.
     */
    List<Action> round(long now, List<Event> events);

    /** May a part of this class be sent again? */
    enum Effect { SAFE, KEYED, UNSAFE }

    enum Status { READY, DRAINING, GONE }

    enum ListKind { CHANGES, WHOLE, CACHED, FAILED }

    /** How an attempt or a probe ended. */
    enum Outcome {
        OK(false), ERROR(false), FULL(true), TIMEOUT(false), NO_CONNECTION(true), DROPPED(false), CANCELLED(false),
        MOOT(true);

        /** It is certain that the attempt never ran. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** Why a query ended without an answer. */
    enum Reason {
        /** On arrival: no replica could finish it by its aim. */
        EXPECTED_LATE,
        /** Its key, or its own parts, broke the connections of readers. */
        SUSPECT,
        /** Half of its time is over and no reader ever had a part of it. */
        NEVER_SENT,
        /** Too few of its parts may still be sent again. */
        NO_ATTEMPT_LEFT,
        /** Its time is over. */
        TIME_OVER,
        /** The process ends before its time is over. */
        SHUTDOWN
    }

    /** What a load report may hold; QUEUE is the requests in hand. */
    enum ReportField { QUEUE, WAITING, BUSY, SERVICE_MS, RATE, ERROR_RATE, OTHER }

    /** A class of query. need, floor: shares of the parts' weight for a whole answer and for any answer. */
    record QueryClass(long aim, long deadline, Effect effect, long repeatWindow, double worth, double lateWorth,
            double need, double floor, double partialWorth, int followUp) { }

    record Tenant(double allowancePerSecond, double share) { }

    /** Rule figures. A drainGrace, fall, budgetWindow of 0: not stated. */
    record Rules(long drainGrace, double slowStartInitialCapacity, long slowStartDuration, double overloadMultiple,
            long overloadWindow, boolean hasBudget, double budgetBase, double budgetShare, long budgetWindow,
            long answerSlack, long askEvery) { }

    /** What the site permits. */
    record Allowed(int maxAttempts, int maxOpen, boolean mayHedge, boolean mayCancel, boolean mayProbe,
            boolean mayAdviseRetryAfter, long maxRetryAfter) { }

    /** Prices: share of the result per crossing part, per new connection a part, and per probe a part. */
    record Prices(double crossZone, double handshake, double probe) { }

    /** retriesMarked: clients say of a later try that it is one. */
    record Settings(int position, int instances, int zone, boolean watchesList, int cells, int reach, int shards,
            int batch, long callWork, boolean reportsInAnswers, double overShareWorth, List<ReportField> reportFields,
            List<QueryClass> classes, List<Tenant> tenants, Rules rules, Allowed allowed, Prices prices,
            boolean clientsMarkRetries) { }

    /** A replica in the list. startedAt 0: long ago or not known. */
    record ListEntry(long replica, int zone, int cell, Status status, double size, long startedAt) { }

    sealed interface Event permits ListUpdate, QueryArrived, PartArrived, AttemptEnded, ClientLeft, Alarm, ProbeEnded,
            PeerAttemptSent, PeerAttemptEnded, PeerProbeEnded, PeerUpdatesLost { }

    record ListUpdate(ListKind kind, List<ListEntry> entries) implements Event { }

    /** A query; its parts follow in the same round under the same number. hint 0: none; key 0: none. */
    record QueryArrived(long query, long number, int queryClass, int partCount, long timeLeft, long hint,
            boolean clientRetry, long key, int tenant) implements Event { }

    record PartArrived(long part, long number, int shard, double weight, long hint, long key) implements Event { }

    /** report: one value per settings field, or empty. */
    record AttemptEnded(long part, int attempt, long replica, Outcome outcome, long elapsed, boolean partClosed,
            double[] loadReport) implements Event { }

    /** The client has left, or the query's time is over. */
    record ClientLeft(long query) implements Event { }

    record Alarm(long tag) implements Event { }

    record ProbeEnded(long replica, Outcome outcome, long elapsed, double[] loadReport) implements Event { }

    /**
     * Another instance of this process sent a part, as attempt: an id that only this attempt has in the process. It
     * waits no longer than until. What peers did is told with its time, in the past; no instance need have peers.
     */
    record PeerAttemptSent(long attempt, long replica, int queryClass, int shard, long hint, long key, long sentAt,
            long waitsUntil) implements Event { }

    record PeerAttemptEnded(long attempt, long replica, Outcome outcome, long endedAt, long elapsed,
            double[] loadReport) implements Event { }

    record PeerProbeEnded(long replica, Outcome outcome, long endedAt, long elapsed, double[] loadReport)
            implements Event { }

    /** Some of what peers said was lost: what they have out is not known. */
    record PeerUpdatesLost() implements Event { }

    sealed interface Action permits Send, Answer, Refuse, Fail, Cancel, SetAlarm, Probe, CloseIdleConnections,
            WatchList { }

    record Send(long part, long replica, long timeout) implements Action { }

    record Answer(long query, boolean whole) implements Action { }

    /** Turned away with the promise that asking again does no harm. comeBack 0: no advice. */
    record Refuse(long query, long retryAfter, Reason reason) implements Action { }

    record Fail(long query, Reason reason) implements Action { }

    record Cancel(long part, int attempt) implements Action { }

    record SetAlarm(long tag, long delay) implements Action { }

    record Probe(long replica) implements Action { }

    /** Closes this router's idle connections to a server: what is sent next opens a new one. */
    record CloseIdleConnections(long replica) implements Action { }

    /** Asks for the list and its changes from now on. */
    record WatchList() implements Action { }
}
