package burlford.policy;

import java.util.List;

/**
 * The interface of the decision module: settings at construction, then events and the clock in, actions out.
 * Contains types only, no code that decides. All times and durations are microseconds; times are readings of one
 * monotonic clock of any origin. Ids are numbers chosen by the caller. A replica is a server's numeric id.
 */
public interface Aggregator {

    /**
     * Runs one round: handles all events since the previous round as of one point in time. Events about queries, parts
     * or attempts that the module does not hold are ignored.
     *
     * @param now the current time, not before that of the previous round
     * @return the actions to carry out, in this order
     * @throws IllegalArgumentException if the clock runs backwards or a query's class is unknown
     */
    List<Action> round(long now, List<Event> events);

    /**
     * Whether a part may be sent again when an earlier attempt may have run. SAFE: at any time; KEYED: within the
     * class's repeat window, in which servers recognise the repetition; UNSAFE: never.
     */
    enum Effect { SAFE, KEYED, UNSAFE }

    /** State of a server in the reader list. DRAINING: takes no new parts; GONE: no longer listed. */
    enum Status { READY, DRAINING, GONE }

    /**
     * What a list update contains. CHANGES: the entries that changed; WHOLE: the complete list; CACHED: a complete
     * list saved at an earlier time; FAILED: nothing, as the request for the list failed.
     */
    enum ListKind { CHANGES, WHOLE, CACHED, FAILED }

    /**
     * How an attempt or a probe ended. ERROR: the server answered with an error; FULL: the server refused it; TIMEOUT:
     * no answer in time; NO_CONNECTION: nothing was sent, as no connection could be established; DROPPED: the
     * connection broke after it was sent; CANCELLED: abandoned before an answer came; MOOT: withdrawn before it was
     * sent.
     */
    enum Outcome {
        OK(false), ERROR(false), FULL(true), TIMEOUT(false), NO_CONNECTION(true), DROPPED(false), CANCELLED(false),
        MOOT(true);

        /** Whether it is certain that the server never executed the attempt. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** Why a query ended without an answer. */
    enum Reason {
        /** Decided on arrival: no server was expected to finish it by its aim. */
        EXPECTED_LATE,
        /** Its own parts, or queries with its key, seem to have made readers crash: their connections broke. */
        SUSPECT,
        /** Half of its time is over and no reader ever received a part of it. */
        NEVER_SENT,
        /** Too few of its parts can still be answered, as the others may not be sent again. */
        NO_ATTEMPT_LEFT,
        /** Its deadline has come, or its aim where a later answer is worth nothing. */
        TIME_OVER,
        /** The process shuts down before the query's deadline. */
        SHUTDOWN,
        /** Whether its client is still there cannot be told, so nothing more is sent for it. */
        CLIENT_UNKNOWN
    }

    /**
     * A value in a server's load report. QUEUE: requests that the server holds, waiting or in progress; WAITING:
     * requests that wait; BUSY: CPU use; SERVICE_MS: mean service time in milliseconds; RATE: requests per second;
     * ERROR_RATE: errors per second; OTHER: a value that the module does not know.
     */
    enum ReportField { QUEUE, WAITING, BUSY, SERVICE_MS, RATE, ERROR_RATE, OTHER }

    /**
     * A class of queries. Shares are from 0 to 1.
     *
     * @param aim time after the client's first try by which an answer earns its full worth
     * @param deadline time after the client's first try at which clients of this class usually leave
     * @param repeatWindow with effect KEYED: time after a part's first attempt within which the part may be sent again
     * @param worth worth of a whole answer that comes by the aim
     * @param lateWorth worth of a whole answer after the aim, as a share of worth
     * @param need share of the parts' weight that makes an answer whole
     * @param floor share of the parts' weight that makes a partial answer; 1: there are no partial answers
     * @param partialWorth worth of a partial answer as a share of worth, further multiplied by the answered weight
     *     divided by need
     * @param followUp number of parts in the second step, which follows the answer to the first; 0: only one step
     */
    record QueryClass(long aim, long deadline, Effect effect, long repeatWindow, double worth, double lateWorth,
            double need, double floor, double partialWorth, int followUp) { }

    /**
     * A tenant's limits as the settings state them; the module does not apply them.
     *
     * @param allowancePerSecond allowance per second
     * @param share share of the service, from 0 to 1
     */
    record Tenant(double allowancePerSecond, double share) { }

    /**
     * Limits that every decision keeps.
     *
     * @param drainGrace time after a server began to drain during which it may still be sent parts; 0: not stated
     * @param slowStartInitialCapacity capacity of a server when it starts, as a share of its warm capacity
     * @param slowStartDuration time after its start during which a server counts as cold
     * @param overloadMultiple how many times its capacity all instances together may send a cold server within the
     *     overload window
     * @param overloadWindow the time over which that load is counted; 0: not stated, and cold servers are not spared
     * @param hasBudget whether further attempts are limited by the budget that the next three components describe
     * @param budgetBase further attempts allowed within the budget window whatever has arrived
     * @param budgetShare further attempts allowed in addition, as a share of the queries and parts that arrived in it
     * @param budgetWindow the time over which the budget is counted; 0: not stated
     * @param answerSlack how long after its deadline a query may get its final answer at the latest
     * @param askEvery the setting of this name; the module does not use it
     */
    record Rules(long drainGrace, double slowStartInitialCapacity, long slowStartDuration, double overloadMultiple,
            long overloadWindow, boolean hasBudget, double budgetBase, double budgetShare, long budgetWindow,
            long answerSlack, long askEvery) { }

    /**
     * What the site permits.
     *
     * @param maxAttempts maximum number of attempts of a part
     * @param maxOpen maximum number of open queries and parts; the module's caller enforces it
     * @param mayHedge whether two attempts of a part may be out at once
     * @param mayCancel whether attempts may be cancelled
     * @param mayProbe whether servers may be probed
     * @param mayAdviseRetryAfter whether refused clients may be given a time after which to retry
     * @param maxRetryAfter the longest such time
     */
    record Allowed(int maxAttempts, int maxOpen, boolean mayHedge, boolean mayCancel, boolean mayProbe,
            boolean mayAdviseRetryAfter, long maxRetryAfter) { }

    /**
     * Prices, as shares of the result. 0: free.
     *
     * @param crossZone price if every part is sent to a server of another zone
     * @param handshake price if a new connection is opened for every part
     * @param probe price if a probe is sent for every part
     */
    record Prices(double crossZone, double handshake, double probe) { }

    /**
     * The module's configuration. A server of cell c holds the shards s for which (c - s) modulo cells is below reach.
     *
     * @param position index of this instance among all instances, from 0
     * @param instances number of module instances that use the same servers, in all processes
     * @param zone the zone of this instance
     * @param watchesList whether the module has to ask for the reader list with {@link WatchList}
     * @param cells number of cells
     * @param reach number of cells that hold a shard
     * @param shards number of shards, numbered from 0
     * @param batch the setting familyInfo.batch; the module does not use it
     * @param callWork time that a call costs a server whatever it carries; parts that are sent to a server in one round
     *     share a call
     * @param reportsInAnswers whether the answers to parts carry load reports; otherwise only those to probes do
     * @param overShareWorth the setting of this name; the module does not use it
     * @param reportFields the values of a load report, in order
     * @param clientsMarkRetries whether clients mark their retries of a query as such
     */
    record Settings(int position, int instances, int zone, boolean watchesList, int cells, int reach, int shards,
            int batch, long callWork, boolean reportsInAnswers, double overShareWorth, List<ReportField> reportFields,
            List<QueryClass> classes, List<Tenant> tenants, Rules rules, Allowed allowed, Prices prices,
            boolean clientsMarkRetries) { }

    /**
     * A server in the reader list.
     *
     * @param size size relative to an ordinary server; the module does not use it
     * @param startedAt when it started, by the clock that the list uses; 0: long ago or not known
     */
    record ListEntry(long replica, int zone, int cell, Status status, double size, long startedAt) { }

    /** Something that happened since the previous round. */
    sealed interface Event permits ListUpdate, QueryArrived, PartArrived, AttemptEnded, ClientLeft, Alarm, ProbeEnded,
            PeerAttemptSent, PeerAttemptEnded, PeerProbeEnded, PeerUpdatesLost { }

    /** The reader list or changes to it; without entries if the request for the list failed. */
    record ListUpdate(ListKind kind, List<ListEntry> entries) implements Event { }

    /**
     * A query has come in. Its parts follow in the same round.
     *
     * @param query the query's id
     * @param number a number under which its parts refer to it
     * @param queryClass index of its class in the settings
     * @param partCount number of parts that follow
     * @param timeLeft time until the client leaves
     * @param hint the client's estimate of the query's cost in any unit; 0: none
     * @param clientRetry whether the client marked the query as a retry
     * @param key key of what the query asks for; 0: none
     * @param tenant index of its tenant in the settings
     */
    record QueryArrived(long query, long number, int queryClass, int partCount, long timeLeft, long hint,
            boolean clientRetry, long key, int tenant) implements Event { }

    /**
     * A part of a query has come in.
     *
     * @param part the part's id
     * @param number the number of its query
     * @param weight its share of the query, from 0 to 1
     * @param hint the client's estimate of the part's cost in any unit; 0: none
     * @param key key of what the part asks for; 0: none
     */
    record PartArrived(long part, long number, int shard, double weight, long hint, long key) implements Event { }

    /**
     * An attempt has ended.
     *
     * @param attempt index of the attempt among those of its part, from 0, in the order of {@link Send}
     * @param elapsed how long it took
     * @param partClosed whether its part needs no further attempt
     * @param loadReport one value for each of the settings' report fields, or empty: no report
     */
    record AttemptEnded(long part, int attempt, long replica, Outcome outcome, long elapsed, boolean partClosed,
            double[] loadReport) implements Event { }

    /** The client of a query has left, or the query's deadline has come. */
    record ClientLeft(long query) implements Event { }

    /** An alarm that {@link SetAlarm} asked for is due. */
    record Alarm(long tag) implements Event { }

    /**
     * A probe has ended.
     *
     * @param elapsed how long it took
     * @param loadReport one value for each of the settings' report fields, or empty: no report
     */
    record ProbeEnded(long replica, Outcome outcome, long elapsed, double[] loadReport) implements Event { }

    /**
     * A peer, which is another instance in this process, has sent a part. Events of peers carry the time at which they
     * happened, which is in the past. An instance need not have peers.
     *
     * @param attempt an id of the attempt that is unique within the process
     * @param hint the client's estimate of the part's cost; 0: none
     * @param key key of what the part asks for; 0: none
     * @param sentAt when the peer sent it
     * @param waitsUntil when the peer stops waiting for its answer
     */
    record PeerAttemptSent(long attempt, long replica, int queryClass, int shard, long hint, long key, long sentAt,
            long waitsUntil) implements Event { }

    /**
     * A peer's attempt has ended.
     *
     * @param attempt the id under which {@link PeerAttemptSent} reported it
     * @param endedAt when it ended
     * @param elapsed how long it took
     * @param loadReport one value for each of the settings' report fields, or empty: no report
     */
    record PeerAttemptEnded(long attempt, long replica, Outcome outcome, long endedAt, long elapsed,
            double[] loadReport) implements Event { }

    /**
     * A peer's probe has ended.
     *
     * @param endedAt when it ended
     * @param elapsed how long it took
     * @param loadReport one value for each of the settings' report fields, or empty: no report
     */
    record PeerProbeEnded(long replica, Outcome outcome, long endedAt, long elapsed, double[] loadReport)
            implements Event { }

    /** Some events of peers were lost, so it is not known which attempts peers have in flight. */
    record PeerUpdatesLost() implements Event { }

    /** Something that the module's caller has to do. */
    sealed interface Action permits Send, Answer, Refuse, Fail, Cancel, SetAlarm, Probe, CloseIdleConnections,
            WatchList { }

    /**
     * Sends a part to a server: the next attempt of the part.
     *
     * @param timeout how long to wait for the answer; 0: until the query's deadline
     */
    record Send(long part, long replica, long timeout) implements Action { }

    /** Answers a query with the parts answered so far. whole: the class's need is met, so the answer is not partial. */
    record Answer(long query, boolean whole) implements Action { }

    /**
     * Refuses a query. It is certain that repeating the query does no harm.
     *
     * @param retryAfter time after which the client is advised to retry; 0: no advice
     */
    record Refuse(long query, long retryAfter, Reason reason) implements Action { }

    /** Ends a query without an answer; some of its parts may have run, so that repeating the query may do harm. */
    record Fail(long query, Reason reason) implements Action { }

    /** Cancels an attempt. attempt: its index among those of its part, from 0. */
    record Cancel(long part, int attempt) implements Action { }

    /** Asks for an {@link Alarm} with this tag after the delay. */
    record SetAlarm(long tag, long delay) implements Action { }

    /** Asks a server for its load. */
    record Probe(long replica) implements Action { }

    /** Closes this instance's idle connections to a server, so that the next attempt opens a new connection. */
    record CloseIdleConnections(long replica) implements Action { }

    /** Asks for the reader list and its changes from now on. */
    record WatchList() implements Action { }
}
