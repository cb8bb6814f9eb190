package burlford.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Data of the decision module: fields without logic; all decisions are in {@link Decide}. All times and durations are
 * microseconds on the module's clock; a time of {@link Decide#NEVER} means that the event has not happened.
 */
final class State {

    private State() { }

    /** A server that is in the reader list or still has an attempt or probe in flight. */
    static final class Server {
        long id;
        int zone;
        int cell;
        Aggregator.Status status = Aggregator.Status.READY;
        /** When it started, converted to the module's clock; 0: long ago. */
        long startedAt;
        /** When it started as the list gives it, by the list's clock; 0: long ago or not known. */
        long listedStartedAt;
        boolean listed;
        /** Queue length in the last load report; NaN if that had none. Valid only if reportAt is not NEVER. */
        double reportedQueue;
        long reportAt = Decide.NEVER;
        /**
         * Number of attempts that were sent before the last load report, which thus counts them, and ended after it.
         */
        int endedSinceReport;
        /** Own attempts in flight. */
        final List<Attempt> inFlight = new ArrayList<>();
        /** Attempts that peers have in flight, by the ids of the attempts, in the order in which they were reported. */
        final Map<Long, Attempt> peerAttempts = new LinkedHashMap<>();
        /** What those attempts add to the server's load; stored, since they may be many and it is needed often. */
        double peerLoad;
        /**
         * Logarithm of how many times longer than usual parts take, as of logSlownessAt; decays towards 0 from then on.
         */
        double logSlowness;
        long logSlownessAt = Decide.NEVER;
        /** Outcomes by query class; failures of probes are counted under -1, which is no class. */
        final Map<Integer, Estimators.DecayingCounts> outcomesByClass = new LinkedHashMap<>();
        /** How many times its usual time a part loses when it fails here: a running mean of recent failures. */
        double failureCost = Decide.FAILURE_COST;
        /** When a probe was last sent by this instance, or last ended at a peer. */
        long probedAt = Decide.NEVER;
        /** Whether an own probe is in flight. */
        boolean probeInFlight;
        /** When the server last answered a part, of this instance or a peer. */
        long lastAnswerAt = Decide.NEVER;
        /** Number of the round in which a part was last sent to the server; -1: none yet. */
        long lastSendRound = -1;
        /** When an own attempt last began or ended here; NEVER: the next attempt opens a new connection. */
        long connectionUsedAt = Decide.NEVER;
        /**
         * Idle bucket of the attempt that last ended here, if it was counted as lost on an idle connection and got no
         * answer, since its connection stays as suspect as before; -1 otherwise.
         */
        int staleIdleBucket = -1;
        SlowStart slowStart = new SlowStart();
    }

    /** What was sent to a server while cold. When settings change, the old and the new module share this object. */
    static final class SlowStart {
        /** Parts sent beyond what this instance's share of the slow-start limit has allowed until backlogAt. */
        double backlogParts;
        /** The time at which backlogParts was computed. */
        long backlogAt;
    }

    /** A query that has come in. */
    static final class Query {
        long id;
        /** The number under which its parts refer to it. */
        long number;
        /** Index of its class in the settings. */
        int queryClass;
        /** Index of its tenant in the settings. */
        int tenant;
        /** Key of what it asks for; 0: none. */
        long key;
        /** Number of parts announced on its arrival. */
        int expectedParts;
        /** Time that its slowest part was expected to take when the query was admitted. */
        double predictedTime;
        /** 1, or 2 after the first answer to a query whose class has a second step. */
        int step = 1;
        long arrivedAt;
        /** When the client first sent this query, as far as that can be known; earlier than arrivedAt for a retry. */
        long firstTryAt;
        /** Until when an answer earns its full worth. */
        long aimAt;
        /** When the client leaves. */
        long deadlineAt;
        /** When the query is to be checked again; NEVER: in the next round. */
        long nextCheckAt = Decide.NEVER;
        /** Whether it has no final answer yet. */
        boolean open = true;
        /** Whether the client marked it as a retry. */
        boolean clientRetry;
        /** The client did not mark it as a retry, but its short time left suggests that it is one. */
        boolean retryGuessed;
        /** Whether the answer to its first step was whole. */
        boolean firstStepWhole;
        boolean anyPartAnswered;
        /** Whether one part is sent ahead of the others, because many servers have crashed recently. */
        boolean canaryFirst;
        /** Number of its attempts whose connections broke. */
        int droppedAttempts;
        final List<Part> parts = new ArrayList<>();
    }

    /** A part of a query. */
    static final class Part {
        long id;
        Query query;
        int shard;
        /** Its share of the query, from 0 to 1. */
        double weight;
        /** The client's estimate of its cost in any unit; 0: none. */
        double hint;
        /** Key of what it asks for; 0: none. */
        long key;
        /** The step of the query to which it belongs. */
        int step;
        boolean answered;
        /** Whether it needs no further attempt. */
        boolean closed;
        /** Number of its attempts in flight. */
        int inFlightCount;
        /** Number of probes sent on its behalf. */
        int probesSent;
        /** An attempt of it was cancelled: no further attempt is sent before this time. */
        long retryNotBefore = Decide.NEVER;
        final List<Attempt> attempts = new ArrayList<>();
    }

    /** One sending of a part to a server, by this instance or by a peer. */
    static final class Attempt {
        Part part;
        /** Index among the attempts of its part, from 0; not used for a peer's attempt. */
        int index;
        Server server;
        long sentAt;
        /** The time at which it counts for the budget of further attempts and for slow start. */
        long countedAt;
        /** For a peer's attempt: when the peer stops waiting for it, even if its end is never reported. */
        long waitsUntil;
        /** What it adds to the server's load while in flight: 1 plus its cost. */
        double weight;
        /** Estimated load of the server when it was sent. */
        double loadAtSend;
        /** How long it was expected to take when it was sent. */
        double expectedTime;
        /** Bucket of the time for which its connection had been idle; 0: a new connection, -1: one in use. */
        int idleBucket;
        /** When it was counted as lost on an idle connection. */
        long idleLossNotedAt = Decide.NEVER;
        boolean ended;
        /** Whether the server may have executed it; stays true until an end shows that it did not. */
        boolean mayHaveRun = true;
        /** Whether it ended because no connection could be established, so that the server never received it. */
        boolean neverSent;
        boolean cancelRequested;
    }
}
