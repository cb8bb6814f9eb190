package burlford.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Plain data of the module: fields only, every decision about them is in Decide. */
final class State {

    private State() { }

    static final class Server {
        long id;
        int zone;
        int cell;
        Aggregator.Status status = Aggregator.Status.READY;
        /** When it started, as we reckon, and as the list told; 0: long ago. */
        long startedAt;
        long listedStartedAt;
        boolean listed;
        /** The queue last reported, NaN when a report came without one; meaningful when reportAt is not NEVER. */
        double reportedQueue;
        long reportAt = Decide.NEVER;
        int endedSinceReport;
        final List<Attempt> inFlight = new ArrayList<>();
        /** What other instances of this process have out there, by their attempts' ids. */
        final Map<Long, Attempt> peerAttempts = new LinkedHashMap<>();
        /** What those add to its load counter; kept, since there may be many and it is asked for often. */
        double peerLoad;
        double logSlowness;
        long logSlownessAt = Decide.NEVER;
        /** Outcomes by class, and under no class those of probes. */
        final Map<Integer, Estimators.DecayingCounts> outcomesByClass = new LinkedHashMap<>();
        /** How many times its usual time a part loses that fails there, as seen of late. */
        double failureCost = Decide.FAILURE_COST;
        long probedAt = Decide.NEVER;
        boolean probeInFlight;
        long lastAnswerAt = Decide.NEVER;
        long lastSendRound = -1;
        /** When something of ours last began or ended there; NEVER: its next send opens a new connection. */
        long connectionUsedAt = Decide.NEVER;
        /** The idle class of what was last given up there without an answer: its connection is as suspect. */
        int staleIdleBucket = -1;
        SlowStart slowStart = new SlowStart();
    }

    /** What was sent to a server while cold; modules of older and newer settings share it. */
    static final class SlowStart {
        /** Parts not yet worked off by our share of what it may be sent. */
        double backlogParts;
        /** As of when. */
        long backlogAt;
    }

    static final class Query {
        long id;
        long number;
        int queryClass;
        int tenant;
        long key;
        int expectedParts;
        double predictedTime;
        int step = 1;
        long arrivedAt;
        long firstTryAt;
        long aimAt;
        long deadlineAt;
        long nextCheckAt = Decide.NEVER;
        boolean open = true;
        boolean clientRetry;
        /** Its client did not say that it is a later try; its short time left suggests it. */
        boolean retryGuessed;
        boolean firstStepWhole;
        boolean anyPartAnswered;
        boolean canaryFirst;
        int droppedAttempts;
        final List<Part> parts = new ArrayList<>();
    }

    static final class Part {
        long id;
        Query query;
        int shard;
        double weight;
        double hint;
        long key;
        int step;
        boolean answered;
        boolean closed;
        int inFlightCount;
        int probesSent;
        /** An attempt of it was recalled: no other is sent before. */
        long retryNotBefore = Decide.NEVER;
        final List<Attempt> attempts = new ArrayList<>();
    }

    static final class Attempt {
        Part part;
        int index;
        Server server;
        long sentAt;
        /** When it counts for the budget of further attempts and for slow start. */
        long countedAt;
        /** Another instance's: it waits no longer than until then, whether its end is heard of or not. */
        long waitsUntil;
        double weight;
        double loadAtSend;
        double expectedTime;
        /** How long its connection had been idle, as a class of time; 0: new, -1: in use. */
        int idleBucket;
        long idleLossNotedAt = Decide.NEVER;
        boolean ended;
        boolean mayHaveRun = true;
        /** It ended without a connection: its server never had it. */
        boolean neverSent;
        boolean cancelRequested;
    }
}
