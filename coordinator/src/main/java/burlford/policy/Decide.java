package burlford.policy;

import static burlford.policy.Estimators.decayFactor;
import static burlford.policy.Estimators.maxMeanWithin;
import static burlford.policy.Estimators.mixHash;
import static burlford.policy.Estimators.stepToQuantile;

import burlford.policy.Estimators.DecayingCounts;
import burlford.policy.Estimators.LinearFit;
import burlford.policy.State.Attempt;
import burlford.policy.State.Part;
import burlford.policy.State.Query;
import burlford.policy.State.Server;
import burlford.policy.State.SlowStart;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The decision module: admission control, choice of server, retries, hedging, probing and the end of queries.
 * All decisions and all tuned constants are here. Interface: Aggregator.java. Fields: State.java.
 *
 * <p>Ordinary routing is rule D+S of the paper (DESIGN steps 1 to 3): each part goes to the server holding
 * its shard that has the lowest score. The score is the normalised cost (lower at the key's home server)
 * minus 1/delta times the server's spare share of load. All other code either enforces a configured rule or
 * adjusts the cost and the load that the score compares.
 *
 * <p>All times are microseconds on the clock that is passed to {@link #round}. Loads and queues are counted
 * in parts.
 */
public final class Decide implements Aggregator {

    /** "Not yet", as a time: earlier than all others, and differences from it do not overflow. */
    static final long NEVER = Long.MIN_VALUE / 4;
    private static final long US_PER_SECOND = 1_000_000;
    /** Stands for the query class in outcomes of probes, which have none. */
    private static final int NO_CLASS = -1;

    // ---- constants of rule D+S

    /**
     * The load term of the score has weight 1/delta against the cost term. The paper's experiments use 0.05,
     * the low end of its range of 5 to 30%.
     */
    static final double DELTA = 0.05;
    /**
     * Delta where crossing zones has a price. The cost term then stands for that price too and weighs more,
     * by a delta higher in the paper's range.
     */
    private static final double DELTA_WITH_ZONE_PRICE = 0.2;
    /** Cost of a part at its key's home server; at every other holder it is 1. */
    private static final double HOME_COST = 0.5;

    // ---- tuned constants

    /**
     * Interval between two checks of an open query: short enough for several checks within any useful
     * timeout. Also the unit of a connection's idle time.
     */
    private static final long CHECK_INTERVAL_US = US_PER_SECOND / 40;
    /** Assumed time of a part before any was observed, as a share of the shortest aim of all classes. */
    private static final double PRIOR_TIME_SHARE_OF_AIM = 0.1;
    /**
     * Factor on the weight of all earlier samples in the fit of time over load: remembers about 200 outcomes.
     */
    private static final double FIT_DECAY_PER_SAMPLE = 0.995;
    /**
     * Least intercept of that fit, as a share of the mean time: however steep the samples are, a server
     * without load is not expected to answer in almost no time.
     */
    private static final double MIN_INTERCEPT_SHARE = 0.25;
    /** Weight of a new value in running means over all servers (exponentially weighted): about 50 values. */
    private static final double MEAN_EWMA_WEIGHT = 0.02;
    /**
     * Relative step of a tracked quantile for each value seen: multiplied by the quantile's level when the
     * value is above, by 1 minus that level when it is below.
     */
    private static final double QUANTILE_STEP = 0.1;
    /** Half-life of the overrun factor and of outcomes by idle time. */
    private static final double RECENT_HALF_LIFE_US = 4.0 * US_PER_SECOND;
    /** Weight of a new outcome in a server's slowness and failure cost (exponentially weighted means). */
    private static final double OUTCOME_EWMA_WEIGHT = 0.25;
    /** Highest slowness of a server, in multiples of the usual time of a part. */
    private static final double MAX_SLOWNESS = 20;
    /** Lowest slowness of a server, in the same unit: a server counts as twice as fast as usual at most. */
    private static final double MIN_SLOWNESS = 0.5;
    /** Half-life of a load report: after the time of a few parts, the queue is a different one. */
    private static final double REPORT_HALF_LIFE_US = US_PER_SECOND;
    /**
     * Longest queue that is inferred from refusals by a full server, in usual queues: each refusal doubles
     * the estimate.
     */
    private static final double MAX_QUEUE_MULTIPLE = 64;
    /**
     * Most parts of other instances that are assumed for each own part at a server, in usual queues. With
     * hundreds of instances an own part says little about the others, so the estimate needs a limit.
     */
    private static final double MAX_OTHERS_QUEUE_MULTIPLE = 4;
    /**
     * Half-life of outcomes, of a server's slowness and of crashes: about as long as a fault lasts, so that
     * only few parts are spent on trying a faulty server again.
     */
    private static final double OUTCOME_HALF_LIFE_US = 10.0 * US_PER_SECOND;
    /**
     * Cost of a failed part, in multiples of its usual time: the time waited for it, and the harm to its
     * query. First value and upper limit of a server's own failure cost.
     */
    static final double FAILURE_COST = 10;
    /** Assumed share of parts that fail, before any outcome is known. */
    private static final double PRIOR_FAILURE_RATE = 0.01;
    /** Weight of that assumption against the outcomes at all servers, in outcomes. */
    private static final double PRIOR_GLOBAL_WEIGHT = 20;
    /**
     * Weight, in outcomes, of a wider failure rate (of all servers, of all classes) against the narrower one,
     * and of "no loss" in the loss rate of idle connections.
     */
    private static final double PRIOR_LOCAL_WEIGHT = 1;
    /**
     * Number of buckets of a connection's idle time. Bucket 0 is a new connection; bucket 1 begins at one
     * check interval, and each further bucket at twice the idle time of the one before.
     */
    private static final int IDLE_TIME_BUCKETS = 12;
    /** Bucket of a connection that is in use, or was within the last check interval. */
    private static final int IDLE_BUCKET_IN_USE = -1;
    /** An attempt is overdue when its elapsed over its expected time is above this quantile of that ratio. */
    private static final double OVERDUE_QUANTILE = 0.97;
    /** Lower limit of the ratio that is tracked for this quantile. */
    private static final double MIN_OVERDUE_RATIO = 1.5;
    /** Upper limit of the same ratio. */
    private static final double MAX_OVERDUE_RATIO = 4;
    /**
     * When the time left to the aim falls below this multiple of a hedge's expected time, the hedge is sent
     * though the first attempt is not overdue. Most parts take less, so the hedge still has time to answer.
     */
    private static final double HEDGE_TIME_LEFT_MULTIPLE = 4;
    /** What may be spent on probes, at the configured price of a probe, as a share of the result. */
    private static final double PROBE_BUDGET_SHARE = 0.012;
    /** Most probes that are sent on behalf of one part. */
    private static final int MAX_PROBES_PER_PART = 2;
    /** A server that was heard from within this time is not probed; an overrun within it is recent. */
    private static final long FRESHNESS_US = US_PER_SECOND / 4;
    /** A probe is overdue after this multiple of the usual probe time. */
    private static final double PROBE_OVERDUE_MULTIPLE = 8;
    /** Factor on the slowness of a server whose probe is overdue. */
    private static final double UNANSWERED_PROBE_SLOWNESS = 4;
    /** A server whose probes or parts take less than this multiple of their usual time counts as healthy. */
    private static final double MAX_HEALTHY_RATIO = 2;
    /**
     * Delay before the first repetition of a failed list call; doubled each time, up to 16 times, with
     * jitter.
     */
    private static final long LIST_RETRY_DELAY_US = US_PER_SECOND / 2;
    /** How long queries are refused that have the key of a query which crashed servers. */
    private static final long SUSPECT_KEY_TTL_US = 30 * US_PER_SECOND;
    /**
     * When recent crashes (servers that went away without draining) exceed this share of the servers, a new
     * query of several parts sends one part first, as a canary.
     */
    private static final double CRASH_SHARE_THRESHOLD = 0.03;
    /** The other parts wait for the canary no longer than this share of its expected time. */
    private static final double CANARY_HOLD_SHARE = 0.5;
    /**
     * What all instances send to a server in slow start varies by chance: the mean is planned this many
     * standard deviations of the sum below the limit of the overload rule.
     */
    private static final double SLOW_START_MARGIN_STDDEVS = 2;
    /** Most parts that a server is assumed to serve at once without becoming slower. */
    private static final double MAX_SERVER_PARALLELISM = 2;
    /** This quantile of the rates in load reports is taken for the throughput of a busy server. */
    private static final double BUSY_RATE_QUANTILE = 0.9;
    /**
     * Quantile of actual over predicted query time that admission reckons with: of the queries it lets in,
     * this share is expected to end by the aim.
     */
    private static final double OVERRUN_QUANTILE = 0.7;
    /**
     * Upper limit of that ratio. Queries at silent servers took hundreds of times as long as predicted, and
     * without a limit all queries were shed.
     */
    private static final double MAX_OVERRUN_FACTOR = 10;
    /** There is spare capacity while a query's expected time is below this share of its aim. */
    private static final double SPARE_CAPACITY_AIM_SHARE = 0.5;

    private final Settings settings;
    private final SplittableRandom random;
    private final Map<Long, Server> servers = new LinkedHashMap<>();
    private final Map<Long, Query> queries = new LinkedHashMap<>();
    private final Map<Long, Query> queriesByNumber = new LinkedHashMap<>();
    private final Map<Long, Part> parts = new LinkedHashMap<>();
    /** Listed servers that hold each shard. */
    private final List<List<Server>> holdersByShard = new ArrayList<>();
    /** When further attempts were counted for the budget, oldest first. */
    private ArrayDeque<Long> furtherAttemptTimes = new ArrayDeque<>();
    /** When queries and parts arrived, of which the budget is a share; oldest first. */
    private ArrayDeque<Long> arrivalTimes = new ArrayDeque<>();
    /** Slow start's backlog by server id; an older and a newer module share it. */
    private Map<Long, SlowStart> slowStarts = new LinkedHashMap<>();
    /** Class and key of queries that were refused or failed, to when their clients first tried. */
    private final Map<List<Long>, Long> firstTryOfGivenUp = new LinkedHashMap<>();
    /** Keys of queries that crashed servers, to when that was noticed. */
    private final Map<Long, Long> suspectKeys = new LinkedHashMap<>();
    /** Queries of this round that are not yet admitted. */
    private final List<Query> newQueries = new ArrayList<>();
    /** Usual time left, on arrival, of a client's first try; by class. */
    private final long[] usualTimeLeft;
    /** By class: the time of its parts as a multiple of what {@link #timeByLoad} predicts. */
    private final double[] classTimeFactor;
    /** Time of a part over the server's load, fitted over all classes and servers. */
    private final LinearFit timeByLoad = new LinearFit();
    /** Outcomes of attempts and probes at all servers. */
    private final DecayingCounts globalOutcomes = new DecayingCounts();
    /** Servers that went away without draining. */
    private final DecayingCounts crashes = new DecayingCounts();
    private StartTimes startTimes = new StartTimes();
    /** Outcomes by bucket of the connection's idle time, at index bucket + 1. */
    private final DecayingCounts[] outcomesByIdleBucket = new DecayingCounts[IDLE_TIME_BUCKETS + 1];
    /** An attempt is overdue past this ratio of elapsed to expected time. */
    private double overdueRatio = 3;
    /** Tracked quantile of actual over predicted query time, as of {@link #overrunUpdatedAt}. */
    private double overrunFactor = 1;
    private long overrunUpdatedAt = NEVER;
    /** Running mean of the parts' hints; 0 before the first. */
    private double meanHint;
    /** Number of this round; marks the servers that a part is sent to in it. */
    private long roundCount;
    private long now = NEVER;
    /** When the alarm is due that starts the next check of open queries. */
    private long alarmAt = NEVER;
    private long nextPeerExpiryAt = NEVER;
    private boolean hasPeers;
    /** When the list is to be asked for; NEVER: no call is due. */
    private long watchListAt = NEVER;
    private int listFailures;
    private boolean listReceived;
    /** Token bucket of the probe budget; a probe takes one token. */
    private double probeTokens;
    /** Running mean of the queue lengths that servers report. */
    private double usualQueue = 1;
    /** Running mean of {@link #worthPerPart} over arriving queries. */
    private double usualWorthPerPart;
    /** Parts a second that busy servers report; 0 while no report gave a rate. */
    private double busyRatePerSecond;
    /** Median time of a probe, by the server's zone. */
    private final Map<Integer, Double> usualProbeTimeByZone = new LinkedHashMap<>();
    /**
     * Random backlog (below one part) that every slow start begins with, so that instances send out of phase.
     */
    private final double initialBacklogParts;
    /** Actions of this round. */
    private List<Action> actions = new ArrayList<>();

    /** The seed is that of all random choices: ties between servers, jitter and the phase of slow start. */
    public Decide(Settings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        classTimeFactor = new double[settings.classes().size()];
        Arrays.fill(classTimeFactor, 1);
        usualTimeLeft = new long[classTimeFactor.length];
        initialBacklogParts = random.nextDouble();
        double shortestAim = settings.classes().stream().mapToDouble(QueryClass::aim).min()
                .orElse(US_PER_SECOND);
        for (int load = 0; load < 4; load++) {
            timeByLoad.add(load, shortestAim * PRIOR_TIME_SHARE_OF_AIM * (1 + load / 2.0),
                    FIT_DECAY_PER_SAMPLE, MIN_INTERCEPT_SHARE);
        }
        Arrays.setAll(outcomesByIdleBucket, i -> new DecayingCounts());
        holdersByShard.addAll(Collections.nCopies(settings.shards(), List.of()));
        watchListAt = settings.watchesList() ? 0 : NEVER;
    }

    /**
     * Shares the budgets with the module that this one replaces and that still completes its own queries:
     * slow start of servers, and further attempts with the arrivals that they are a share of. Both modules
     * together stay within the rules in this way. Both must have been given the same list.
     */
    void shareBudgetsWith(Decide previous) {
        furtherAttemptTimes = previous.furtherAttemptTimes;
        arrivalTimes = previous.arrivalTimes;
        startTimes = previous.startTimes;
        slowStarts = previous.slowStarts;
        for (Server server : servers.values()) {
            Server previousServer = previous.servers.get(server.id);
            if (previousServer != null) {
                server.startedAt = previousServer.startedAt;
                server.slowStart = previousServer.slowStart;
            }
        }
    }

    /**
     * Handles the events, admits new queries, checks open ones and sends the parts that are due. Queries are
     * admitted behind the last event, when all of their parts are known.
     */
    @Override
    public List<Action> round(long clock, List<Event> events) {
        if (clock < now) {
            throw new IllegalArgumentException("the clock ran backwards: " + clock + " after " + now);
        }
        now = clock;
        roundCount++;
        actions = new ArrayList<>();
        events.forEach(this::handle);
        if (watchListAt != NEVER && watchListAt <= now) {
            actions.add(new WatchList());
            watchListAt = NEVER;
        }
        newQueries.stream().filter(q -> q.open).forEach(this::admit);
        newQueries.clear();
        checkQueries();
        if (alarmAt <= now && (!queries.isEmpty() || watchListAt != NEVER)) {
            alarmAt = now + CHECK_INTERVAL_US;
            actions.add(new SetAlarm(0, CHECK_INTERVAL_US));
        }
        return actions;
    }

    /** Passes an event to the method that handles it. An alarm only starts a round and needs no handling. */
    private void handle(Event event) {
        if (event instanceof ListUpdate e) {
            applyListUpdate(e);
        } else if (event instanceof QueryArrived e) {
            addQuery(e);
        } else if (event instanceof PartArrived e) {
            addPart(e);
        } else if (event instanceof AttemptEnded e) {
            endAttempt(e);
        } else if (event instanceof ClientLeft e && queries.containsKey(e.query())) {
            close(queries.get(e.query()));
        } else if (event instanceof ProbeEnded e) {
            applyProbe(e.replica(), e.outcome(), now, e.elapsed(), e.loadReport());
        } else if (event instanceof PeerAttemptSent e) {
            addPeerAttempt(e);
        } else if (event instanceof PeerAttemptEnded e) {
            endPeerAttempt(e);
        } else if (event instanceof PeerProbeEnded e && servers.containsKey(e.replica())) {
            servers.get(e.replica()).probedAt = Math.max(servers.get(e.replica()).probedAt, e.endedAt());
            applyProbe(e.replica(), e.outcome(), e.endedAt(), e.elapsed(), e.loadReport());
        } else if (event instanceof PeerUpdatesLost) {
            servers.values().forEach(
                    s -> List.copyOf(s.peerAttempts.keySet()).forEach(a -> removePeerAttempt(s, a)));
        }
    }

    // ---- reader list

    /**
     * Applies a list of servers, whole or changes only, and finds the holders of each shard anew; after a
     * failed list call it schedules the next one, with exponential backoff. A server that has started anew
     * begins without outcomes and in slow start.
     */
    private void applyListUpdate(ListUpdate update) {
        if (update.kind() == ListKind.FAILED) {
            long delay = LIST_RETRY_DELAY_US << Math.min(listFailures++, 4);
            watchListAt = now + delay / 2 + random.nextLong(delay);
            return;
        }
        if (update.kind() != ListKind.CACHED) {
            listFailures = 0;
        }
        if (update.kind() != ListKind.CHANGES) {
            servers.values().forEach(server -> server.listed = false);
        }
        if (!listReceived) {
            startTimes.recordFirstList(now, update.entries().stream()
                    .mapToLong(ListEntry::startedAt).max().orElse(0));
        }
        for (ListEntry entry : update.entries()) {
            boolean wasKnown = servers.containsKey(entry.replica());
            Server server = servers.computeIfAbsent(entry.replica(), id -> new Server());
            boolean restarted = wasKnown && entry.startedAt() != 0
                    && entry.startedAt() != server.listedStartedAt;
            if (wasKnown && server.status == Status.READY
                    && (restarted || entry.status() == Status.GONE)) {
                crashes.add(0, 1, now, OUTCOME_HALF_LIFE_US);
            }
            if (!wasKnown || restarted) {
                // A server that is first listed later, without a start time, may have just started: it is
                // taken to have. What was known of a restarted one no longer holds.
                server.id = entry.replica();
                server.listedStartedAt = entry.startedAt();
                server.startedAt = listReceived ? startTimes.startWhenNoticed(now, server.listedStartedAt)
                        : startTimes.startInFirstList(server.listedStartedAt);
                server.reportAt = NEVER;
                server.endedSinceReport = 0;
                server.logSlownessAt = NEVER;
                server.outcomesByClass.clear();
                server.slowStart = slowStarts.computeIfAbsent(server.id, id -> new SlowStart());
                server.slowStart.backlogParts = initialBacklogParts;
                server.slowStart.backlogAt = now;
            }
            server.zone = entry.zone();
            server.cell = entry.cell();
            server.status = entry.status();
            server.listed = entry.status() != Status.GONE;
        }
        listReceived = true;
        for (int shard = 0; shard < settings.shards(); shard++) {
            int firstCell = shard;
            holdersByShard.set(shard, servers.values().stream().filter(server -> server.listed
                    && Math.floorMod(server.cell - firstCell, settings.cells()) < settings.reach()).toList());
        }
        servers.values().removeIf(
                server -> !server.listed && server.inFlight.isEmpty() && !server.probeInFlight);
        slowStarts.keySet().retainAll(servers.keySet());
    }

    // ---- arriving queries and parts, admission

    /** Adds a query, with its aim: for a client's later try, the aim runs from the first try. */
    private void addQuery(QueryArrived event) {
        if (event.queryClass() >= classTimeFactor.length) {
            throw new IllegalArgumentException("query of an unknown class: " + event.queryClass());
        }
        Query query = new Query();
        QueryClass queryClass = settings.classes().get(event.queryClass());
        query.id = event.query();
        query.number = event.number();
        query.queryClass = event.queryClass();
        query.tenant = event.tenant();
        query.key = event.key();
        query.expectedParts = event.partCount();
        query.arrivedAt = now;
        query.deadlineAt = now + event.timeLeft();
        query.clientRetry = event.clientRetry();
        // A client's later try has less time left than its first tries, and its aim runs from the first.
        // Where clients do not mark retries, it is recognised by that. The usual time left is followed in
        // small steps, so that one client with an unusual deadline does not make all first tries look like
        // later ones.
        long maxStep = queryClass.deadline() / 50;
        if (!event.clientRetry()) {
            long difference = event.timeLeft() - usualTimeLeft[query.queryClass];
            usualTimeLeft[query.queryClass] += usualTimeLeft[query.queryClass] == 0 ? difference
                    : Math.max(-maxStep, Math.min(maxStep, difference));
        }
        boolean laterTry = (event.clientRetry() || !settings.clientsMarkRetries())
                && event.timeLeft() < usualTimeLeft[query.queryClass] - queryClass.deadline() / 20;
        query.retryGuessed = laterTry && !event.clientRetry();
        long timeSpent = laterTry ? Math.max(0, queryClass.deadline() - event.timeLeft()) : 0;
        // A marked later try of a query that was refused or failed here is recognised by its key: the time of
        // the first try is then known.
        Long knownFirstTryAt = query.key == 0 || !query.clientRetry ? null
                : firstTryOfGivenUp.remove(List.of((long) query.queryClass, query.key));
        query.firstTryAt = Math.min(now - timeSpent, knownFirstTryAt == null ? now : knownFirstTryAt);
        query.aimAt = Math.min(query.deadlineAt, query.firstTryAt + queryClass.aim());
        queries.put(query.id, query);
        queriesByNumber.put(query.number, query);
        newQueries.add(query);
        countArrival();
    }

    /**
     * Adds a part to its query, and what it earns to the probe budget, which holds one probe for each server
     * at most.
     */
    private void addPart(PartArrived event) {
        Query query = queriesByNumber.get(event.number());
        countArrival();
        if (query == null || !query.open) {
            return;
        }
        Part part = new Part();
        part.id = event.part();
        part.query = query;
        part.shard = event.shard();
        part.weight = event.weight();
        part.key = event.key();
        part.step = query.step;
        part.hint = event.hint();
        if (event.hint() > 0) {
            meanHint = meanHint == 0 ? event.hint() : meanHint + (event.hint() - meanHint) * MEAN_EWMA_WEIGHT;
        }
        query.parts.add(part);
        query.nextCheckAt = now;
        parts.put(part.id, part);
        probeTokens = Math.min(probeTokens + PROBE_BUDGET_SHARE / settings.prices().probe(), servers.size());
    }

    /** Counts a query or a part that arrived: the budget of further attempts is a share of these. */
    private void countArrival() {
        if (settings.rules().hasBudget()) {
            arrivalTimes.add(now);
        }
    }

    /**
     * Admission control: a query that is not expected to be answered by its aim is refused at once. Parts
     * that would be late are not sent at all where the others are enough for an answer: that relieves
     * overloaded shards, and the query need not wait for them.
     */
    private void admit(Query query) {
        QueryClass queryClass = settings.classes().get(query.queryClass);
        double longestTime = 1;
        double spareWeight = 1 - queryClass.floor();
        List<Part> lateParts = new ArrayList<>();
        for (Part part : query.parts) {
            // A draining holder is of no use; one in slow start is, after its wait. Slowness that outcomes
            // have shown counts here. Silence does not: a probe waits in a deep queue like a part, so a
            // server that is merely busy does not report either.
            double partTime = holders(part).stream().filter(server -> isEligible(part, server))
                    .mapToDouble(server -> slowStartWait(server)
                            + timeByLoad.predict(estimatedLoad(server)) * classTimeFactor[query.queryClass]
                            * Math.exp(Math.max(0, decayedLogSlowness(server)))).min().orElse(0);
            if (query.aimAt - now < partTime * overrunFactor() && part.weight < spareWeight) {
                spareWeight -= part.weight;
                lateParts.add(part);
            } else {
                longestTime = Math.max(longestTime, partTime);
            }
        }
        query.predictedTime = longestTime;
        // The overrun factor counts less against a query whose parts are worth more than usual: such queries
        // are shed last.
        usualWorthPerPart += Math.min(1, MEAN_EWMA_WEIGHT * query.parts.size())
                * (worthPerPart(query) - usualWorthPerPart);
        double requiredTime = longestTime
                * (1 + (overrunFactor() - 1) * Math.min(1, usualWorthPerPart / worthPerPart(query)));
        // What looks like an unmarked later try may be the first try of a client with a short timeout: while
        // there is spare capacity, it is served like a first try.
        if (query.retryGuessed && requiredTime < queryClass.aim() * SPARE_CAPACITY_AIM_SHARE) {
            query.firstTryAt = now;
            query.aimAt = Math.min(query.deadlineAt, now + queryClass.aim());
        }
        suspectKeys.values().removeIf(at -> now - at > SUSPECT_KEY_TTL_US);
        // While no part is in flight nothing is learnt: unless an overrun is recent, such a query is admitted
        // as a trial, or estimates learnt during an overload would stay and shed all queries for good.
        if (query.aimAt - now < requiredTime && (query.aimAt <= now || now - overrunUpdatedAt <= FRESHNESS_US
                || parts.values().stream().anyMatch(part -> part.inFlightCount > 0))
                || suspectKeys.containsKey(query.key)) {
            refuseOrFail(query, suspectKeys.containsKey(query.key) ? Reason.SUSPECT : Reason.EXPECTED_LATE);
        } else {
            lateParts.forEach(part -> part.closed = true);
        }
        query.canaryFirst = query.parts.size() > 1
                && crashes.failures(now, OUTCOME_HALF_LIFE_US) > CRASH_SHARE_THRESHOLD * servers.size();
    }

    /** Actual over predicted query time (a quantile); returns to 1 exponentially while no query ends. */
    private double overrunFactor() {
        return 1 + (overrunFactor - 1) * decayFactor(overrunUpdatedAt, now, RECENT_HALF_LIFE_US);
    }

    /** Learns the overrun factor from a query that ends, by the time it took over the time predicted. */
    private void recordOverrun(Query query) {
        // Limited: queries at silent servers took hundreds of times as long as predicted, and then all
        // queries were shed.
        overrunFactor = Math.max(1, Math.min(MAX_OVERRUN_FACTOR, stepToQuantile(overrunFactor(),
                (now - query.arrivedAt) / query.predictedTime, OVERRUN_QUANTILE, QUANTILE_STEP)));
        overrunUpdatedAt = now;
    }

    // ---- score

    /** The listed servers that hold the part's shard. */
    private List<Server> holders(Part part) {
        return part.shard < holdersByShard.size() ? holdersByShard.get(part.shard) : List.of();
    }

    /** DESIGN step 2: one half at the key's home server, 1 elsewhere, times the part's hint over its mean. */
    private double cost(Part part, Server server) {
        double hint = part.hint > 0 && meanHint > 0 ? part.hint / meanHint : 1;
        return (home(part) == server ? HOME_COST : 1) * hint;
    }

    /**
     * The home server of the part's key (where it has none: of its class and shard), by rendezvous hashing:
     * the holder whose id has the highest hash with the key. When a server leaves, the other homes stay.
     * Where crossing zones has a price, the holders of our own zone take precedence.
     */
    private Server home(Part part) {
        long key = part.key != 0 ? part.key
                : (part.query.queryClass + 1L) * 0x9E3779B97F4A7C15L + part.shard;
        Server home = null;
        long highestHash = 0;
        boolean homeInOurZone = false;
        for (Server server : holders(part)) {
            long hash = mixHash(key, server.id);
            boolean inOurZone = settings.prices().crossZone() > 0 && server.zone == settings.zone();
            if (home == null || (inOurZone == homeInOurZone ? hash > highestHash : inOurZone)) {
                home = server;
                highestHash = hash;
                homeInOurZone = inOurZone;
            }
        }
        return home;
    }

    /**
     * The load counter of DESIGN step 1: the queue last reported, or else (a report without a queue) our own
     * parts in flight, or else (no report) zero; plus our own parts that were sent since and are in flight,
     * each weighted 1 plus its cost. The instances of one process count as one broker: what peers have in
     * flight counts like our own parts.
     */
    static double load(Server server) {
        double load = server.reportAt == NEVER || Double.isNaN(server.reportedQueue) ? 0
                : server.reportedQueue;
        for (Attempt attempt : server.inFlight) {
            load += loadOf(attempt);
        }
        return load + server.peerLoad;
    }

    /** What an attempt in flight adds to its server's load counter, on top of the queue last reported. */
    private static double loadOf(Attempt attempt) {
        return attempt.sentAt >= attempt.server.reportAt ? attempt.weight
                : Double.isNaN(attempt.server.reportedQueue) ? 1 : 0;
    }

    /**
     * The load that the score compares, in place of the counter itself (an exception to DESIGN step 3): the
     * estimated load with this part on it, times the server's penalty factor, less the part itself. A part
     * that joins a call of the same round saves the work that each call costs. Where new connections have a
     * price, a server never used and one never heard from count one usual queue more each: otherwise they
     * look idle, and every instance would connect to every server.
     */
    private double effectiveLoad(Server server, int queryClass, double weight, boolean lastAttempt) {
        double callSaving = settings.callWork() > 0 && server.lastSendRound == roundCount
                ? settings.callWork() / timeByLoad.intercept : 0;
        double newServerLoad = settings.prices().handshake() == 0 ? 0
                : (server.connectionUsedAt == NEVER ? usualQueue : 0)
                + (server.reportAt == NEVER ? usualQueue : 0);
        return (estimatedLoad(server) + newServerLoad + weight - Math.min(callSaving, weight))
                * penaltyFactor(server, queryClass, lastAttempt) - weight;
    }

    /**
     * The load counter, corrected for what makes it inexact. A report still counts our own parts that have
     * ended since; with its age, its queue gives way to the usual one. A load below what we know to be in
     * flight (the report was late, or came from a server that returns errors) is raised to that. Other
     * instances see the same report and all used to send to the server that it shows idle: each of them is
     * assumed to have as many parts in flight there as we have, less the attempts known of peers. With
     * hundreds of instances our own parts say little, so that assumption is limited to a few usual queues.
     */
    private double estimatedLoad(Server server) {
        double load = load(server) - server.endedSinceReport;
        if (server.reportAt != NEVER && !Double.isNaN(server.reportedQueue)) {
            load += (usualQueue - server.reportedQueue + server.endedSinceReport)
                    * (1 - decayFactor(server.reportAt, now, REPORT_HALF_LIFE_US));
        }
        double othersPerOwnPart = Math.min(settings.instances() - 1, MAX_OTHERS_QUEUE_MULTIPLE * usualQueue);
        double othersLoad = Math.max(0,
                othersPerOwnPart * server.inFlight.size() - server.peerAttempts.size());
        return Math.max(load, server.inFlight.size() + server.peerAttempts.size()) + othersLoad;
    }

    /**
     * DESIGN step 3 over the servers that this part may be sent to now, with ties broken at random; null when
     * there is none. A server where an attempt of the part may have run is taken only when no other is left:
     * a server that returned errors at once used up all attempts of a part within 2 ms.
     */
    private Server chooseServer(Part part) {
        Map<Server, Double> loadByServer = new LinkedHashMap<>();
        double maxCost = 0;
        double maxLoad = 0;
        List<Server> eligible = holders(part).stream().filter(server -> maySendNow(part, server)).toList();
        List<Server> untried = eligible.stream().filter(server -> part.attempts.stream()
                .noneMatch(a -> a.server == server && a.mayHaveRun)).toList();
        boolean lastAttempt = part.attempts.size() + 1 >= settings.allowed().maxAttempts();
        for (Server server : untried.isEmpty() ? eligible : untried) {
            double cost = cost(part, server);
            double load = effectiveLoad(server, part.query.queryClass, 1 + cost, lastAttempt);
            loadByServer.put(server, load);
            maxCost = Math.max(maxCost, cost);
            maxLoad = Math.max(maxLoad, load);
        }
        Server best = null;
        double lowestScore = 0;
        int ties = 0;
        for (Map.Entry<Server, Double> candidate : loadByServer.entrySet()) {
            double score = score(cost(part, candidate.getKey()), maxCost, candidate.getValue(), maxLoad,
                    settings.prices().crossZone() > 0 ? DELTA_WITH_ZONE_PRICE : DELTA);
            if (best == null || score < lowestScore - 1e-9) {
                best = candidate.getKey();
                lowestScore = score;
                ties = 1;
            } else if (score < lowestScore + 1e-9 && random.nextInt(++ties) == 0) {
                best = candidate.getKey();
            }
        }
        return best;
    }

    /** Rule D+S: normalised cost minus 1/delta times the spare share of load; the lowest score is chosen. */
    static double score(double cost, double maxCost, double load, double maxLoad, double delta) {
        return (maxCost == 0 ? 0 : cost / maxCost) - (1 - (maxLoad == 0 ? 0 : load / maxLoad)) / delta;
    }

    // ---- rules for sending, budgets, and the send itself

    /** Whether all rules allow this part to be sent to this server now. Every send passes this check. */
    private boolean maySendNow(Part part, Server server) {
        return isEligible(part, server) && slowStartWait(server) <= 0
                && (part.inFlightCount == 0 || settings.allowed().mayHedge());
    }

    /**
     * Whether the part may be sent to this server now, or could be but for slow start's wait or an attempt in
     * flight that has to be cancelled first.
     */
    private boolean isEligible(Part part, Server server) {
        // A draining server gets nothing new from the moment its draining is known, whatever grace it has.
        if (!server.listed || server.status != Status.READY || !part.query.open || part.answered
                || part.closed || now >= part.query.deadlineAt || !mayRepeat(part)) {
            return false;
        }
        return part.attempts.stream().noneMatch(a -> !a.ended && a.server == server)
                && (part.attempts.isEmpty() || budgetLeft() >= 1);
    }

    /** Whether a further attempt is left: not all are used, and what may have run may run again. */
    private boolean mayRepeat(Part part) {
        return part.attempts.size() < settings.allowed().maxAttempts()
                && mayRunAgain(part, part.attempts, now);
    }

    /**
     * Whether a further attempt at that time is harmless: none of the earlier attempts may have run, or the
     * class allows repetition. With keyed effects it does until one check interval before the repeat window
     * ends, which begins with the first attempt.
     */
    private boolean mayRunAgain(Part part, List<Attempt> earlierAttempts, long at) {
        QueryClass queryClass = settings.classes().get(part.query.queryClass);
        return earlierAttempts.stream().noneMatch(a -> a.mayHaveRun && (queryClass.effect() == Effect.UNSAFE
                || queryClass.effect() == Effect.KEYED
                && at - part.attempts.get(0).sentAt >= queryClass.repeatWindow() - CHECK_INTERVAL_US));
    }

    /**
     * Checks an attempt that was decided earlier and is about to begin. If it may begin, it counts for the
     * budgets of further attempts and of slow start from this time on.
     *
     * @return whether it may still begin: its repeat window may have ended since, or the budget been used up
     */
    boolean tryBegin(long partId, int attemptIndex, long at) {
        Part part = parts.get(partId);
        if (part == null || attemptIndex >= part.attempts.size()
                || !mayRunAgain(part, part.attempts.subList(0, attemptIndex), at)) {
            return false;
        }
        Attempt attempt = part.attempts.get(attemptIndex);
        if (attemptIndex > 0 && settings.rules().hasBudget() && !moveBudgetCharge(attempt.countedAt, at)) {
            return false;
        }
        if (isCold(attempt.server)) {
            // The backlog that this attempt added is worked off from its beginning, not from the decision:
            // what was worked off between the two is added again.
            attempt.server.slowStart.backlogParts += Math.min(classTimeFactor[part.query.queryClass],
                    (at - attempt.countedAt) / slowStartInterval(attempt.server));
        }
        attempt.countedAt = at;
        return true;
    }

    /**
     * Counts a further attempt for the budget at the later time at which it begins, in place of the time of
     * its decision. Where the budget does not allow it then, the attempt is not counted at all and must not
     * begin.
     */
    private boolean moveBudgetCharge(long countedAt, long at) {
        furtherAttemptTimes.removeLastOccurrence(countedAt);
        if (budgetLeft(at) < 1) {
            return false;
        }
        furtherAttemptTimes.add(at);
        return true;
    }

    /** Further attempts that the budget allows now. */
    private double budgetLeft() {
        return budgetLeft(now);
    }

    /**
     * Retry budget: further attempts within the window are limited to a base figure plus a share of what
     * arrived within it. At the window's end both count on the safe side: a further attempt up to the end
     * itself, an arrival to just before it.
     */
    private double budgetLeft(long at) {
        if (!settings.rules().hasBudget()) {
            return Double.MAX_VALUE;
        }
        // Both queues are oldest first: what has left the window is at their heads.
        long windowStart = at - settings.rules().budgetWindow();
        for (; !furtherAttemptTimes.isEmpty() && furtherAttemptTimes.peek() < windowStart;
                furtherAttemptTimes.remove()) { }
        for (; !arrivalTimes.isEmpty() && arrivalTimes.peek() <= windowStart; arrivalTimes.remove()) { }
        return settings.rules().budgetBase() + settings.rules().budgetShare() * arrivalTimes.size()
                - furtherAttemptTimes.size();
    }

    /**
     * Slow start: the time between two parts of ours to a cold server. The overload rule limits what all
     * instances together may send within its window to a multiple of capacity times window, where capacity is
     * that of the slowest allowed warm-up. It rises linearly, so the value at the middle of the interval
     * stands for the interval. Each instance waits between its parts and begins with a random backlog from
     * its seed, so that the instances do not send at the same moment. That backlog is the same for all
     * servers: the parts of a query that go to several cold servers are all sent at once, or none is.
     */
    private double slowStartInterval(Server server) {
        Rules rules = settings.rules();
        // Throughput of a warm server, in parts a microsecond: what reports say of busy servers, or else
        // estimated from how the time of a part rises with load.
        double parallelism = Math.max(1, Math.min(MAX_SERVER_PARALLELISM,
                timeByLoad.intercept / Math.max(1, 1.5 * timeByLoad.slope)));
        double warmRate = busyRatePerSecond > 0 ? busyRatePerSecond / US_PER_SECOND
                : parallelism / (timeByLoad.intercept + settings.callWork());
        double warmUpProgress = Math.max(0, Math.min(1, ((server.slowStart.backlogAt + now) / 2.0
                - server.startedAt) / rules.slowStartDuration()));
        double maxParts = rules.overloadMultiple() * (rules.slowStartInitialCapacity()
                + (1 - rules.slowStartInitialCapacity()) * warmUpProgress)
                * warmRate * rules.overloadWindow();
        return rules.overloadWindow() * settings.instances()
                / maxMeanWithin(maxParts, settings.instances(), SLOW_START_MARGIN_STDDEVS);
    }

    /** Whether the server is in slow start: it started a short time ago, and the overload rule is stated. */
    private boolean isCold(Server server) {
        return server.startedAt != 0 && settings.rules().overloadWindow() > 0
                && now - server.startedAt < settings.rules().slowStartDuration();
    }

    /**
     * Time until our next part may go to this server: 0 for a warm one, else until the backlog of what we
     * have sent is worked off, at one part for each slow-start interval.
     */
    private double slowStartWait(Server server) {
        return isCold(server) ? Math.max(0, server.slowStart.backlogParts * slowStartInterval(server)
                - (now - server.slowStart.backlogAt)) : 0;
    }

    /** Sends the part to the best server, or leaves it waiting for a cold server or for a probe's answer. */
    private void trySend(Part part) {
        Server server = chooseServer(part);
        // Rather wait for a cold server than send to one that takes more than twice as long in all.
        if (server == null || holders(part).stream().anyMatch(h -> slowStartWait(h) > 0 && isEligible(part, h)
                && 2 * (slowStartWait(h) + expectedTime(h, part.query.queryClass))
                        < expectedTime(server, part.query.queryClass)) || mustAwaitProbe(part, server)) {
            return;
        }
        Attempt attempt = new Attempt();
        attempt.part = part;
        attempt.index = part.attempts.size();
        attempt.server = server;
        attempt.sentAt = now;
        attempt.countedAt = now;
        attempt.weight = 1 + cost(part, server);
        attempt.loadAtSend = estimatedLoad(server);
        attempt.expectedTime = expectedTime(server, part.query.queryClass);
        if (attempt.index > 0 && settings.rules().hasBudget()) {
            furtherAttemptTimes.add(now);
        }
        checkIdleConnection(attempt);
        if (isCold(server)) {
            server.slowStart.backlogParts = slowStartWait(server) / slowStartInterval(server)
                    + classTimeFactor[part.query.queryClass];
            server.slowStart.backlogAt = now;
        }
        part.attempts.add(attempt);
        part.inFlightCount++;
        server.inFlight.add(attempt);
        server.lastSendRound = roundCount;
        actions.add(new Send(part.id, server.id, 0));
    }

    /**
     * Finds how long the attempt's connection has been idle, and closes the server's idle connections first
     * where they lose too many attempts. The network may drop an idle connection without notice: what is sent
     * on it gets no answer. They are closed where attempts after such an idle time are lost more often than
     * on new connections, by more than the price of a handshake. Servers that answer nothing, or late, do so
     * on new connections too, hence the comparison. A wrong decision costs additional handshakes for some
     * seconds.
     */
    private void checkIdleConnection(Attempt attempt) {
        Server server = attempt.server;
        int idleIntervals = (int) Math.min(1 << IDLE_TIME_BUCKETS,
                (now - server.connectionUsedAt) / CHECK_INTERVAL_US);
        attempt.idleBucket = server.connectionUsedAt == NEVER ? 0
                : !server.inFlight.isEmpty() || idleIntervals == 0 ? IDLE_BUCKET_IN_USE
                : Math.min(IDLE_TIME_BUCKETS - 1, 32 - Integer.numberOfLeadingZeros(idleIntervals));
        attempt.idleBucket = Math.max(attempt.idleBucket, server.staleIdleBucket);
        double tolerance = settings.prices().handshake() + FAILURE_COST * PRIOR_FAILURE_RATE;
        if (attempt.idleBucket > 0 && idleLossRate(1, attempt.idleBucket) - idleLossRate(0, 0) > tolerance) {
            actions.add(new CloseIdleConnections(server.id));
            attempt.idleBucket = 0;
        }
        server.connectionUsedAt = now;
        server.staleIdleBucket = IDLE_BUCKET_IN_USE;
    }

    /**
     * Estimated share of attempts lost after the idle time of bucket {@code last}. A loss after a shorter
     * idle time counts as well, and so does an answer after a longer one: a connection is the likelier to be
     * dropped the longer it is idle. The first bucket is 1, or 0 for new connections alone.
     */
    private double idleLossRate(int first, int last) {
        double losses = 0;
        double outcomes = PRIOR_LOCAL_WEIGHT;
        for (int bucket = first; bucket < (first == 0 ? 1 : IDLE_TIME_BUCKETS); bucket++) {
            double bucketLosses = bucket <= last
                    ? outcomesByIdleBucket[bucket + 1].failures(now, RECENT_HALF_LIFE_US) : 0;
            losses += bucketLosses;
            outcomes += bucketLosses + (bucket >= last
                    ? outcomesByIdleBucket[bucket + 1].successes(now, RECENT_HALF_LIFE_US) : 0);
        }
        return losses / outcomes;
    }

    /**
     * Counts an overdue attempt as lost on its connection if its server was healthy when it was sent and has
     * been silent since.
     */
    private void noteIdleLoss(Attempt attempt) {
        boolean overdue = !attempt.ended && attempt.idleLossNotedAt == NEVER
                && now - attempt.sentAt > overdueRatio * attempt.expectedTime;
        if (overdue && attempt.server.lastAnswerAt < attempt.sentAt
                && attempt.expectedTime < MAX_HEALTHY_RATIO * nominalTime(attempt)) {
            attempt.idleLossNotedAt = now;
            outcomesByIdleBucket[attempt.idleBucket + 1].add(0, 1, now, RECENT_HALF_LIFE_US);
        }
    }

    // ---- estimates from outcomes and load reports

    /**
     * Expected time of a part: the fitted line's at the server's load, times the class's and server's
     * factors.
     */
    private double expectedTime(Server server, int queryClass) {
        return timeByLoad.predict(estimatedLoad(server)) * classTimeFactor[queryClass] * slowness(server);
    }

    /**
     * The server's health, as one factor on the load that the score compares: how many times longer than
     * usual a part of this class takes there, from slowness and from expected failures. A server that fails
     * fast looks idle by its load, and one may be silent for one class and serve the others as usual, so
     * failures count by class. A failure costs as much as failures at this server have taken of late; for the
     * last attempt of a part it costs the query.
     */
    private double penaltyFactor(Server server, int queryClass, boolean lastAttempt) {
        double probability = failureProbability(server, queryClass);
        return slowness(server)
                * (1 + (lastAttempt ? FAILURE_COST : server.failureCost) * probability / (1 - probability));
    }

    /**
     * Probability that a part of this class fails at this server, from decaying counts: while there are few
     * outcomes of the class, it follows those of the whole server, and while these are few, those of all
     * servers. Overdue attempts in flight count as failures.
     */
    private double failureProbability(Server server, int queryClass) {
        // Index 0: of this class at the server; 1: of all classes and probes there.
        double[] failures = new double[2];
        double[] outcomes = new double[2];
        server.outcomesByClass.forEach((outcomeClass, counts) -> {
            for (int i = outcomeClass == queryClass ? 0 : 1; i < 2; i++) {
                failures[i] += counts.failures(now, OUTCOME_HALF_LIFE_US);
                outcomes[i] += counts.failures(now, OUTCOME_HALF_LIFE_US)
                        + counts.successes(now, OUTCOME_HALF_LIFE_US);
            }
        });
        for (Attempt attempt : server.inFlight) {
            int overdue = now - attempt.sentAt > overdueRatio * attempt.expectedTime ? 1 : 0;
            for (int i = attempt.part.query.queryClass == queryClass ? 0 : 1; i < 2; i++) {
                failures[i] += overdue;
                outcomes[i] += overdue;
            }
        }
        double globalFailures = globalOutcomes.failures(now, OUTCOME_HALF_LIFE_US);
        double globalRate = (globalFailures + PRIOR_FAILURE_RATE * PRIOR_GLOBAL_WEIGHT)
                / (globalFailures + globalOutcomes.successes(now, OUTCOME_HALF_LIFE_US)
                        + PRIOR_GLOBAL_WEIGHT);
        double serverRate = (failures[1] + globalRate * PRIOR_LOCAL_WEIGHT)
                / (outcomes[1] + PRIOR_LOCAL_WEIGHT);
        return Math.min(0.99, (failures[0] + serverRate * PRIOR_LOCAL_WEIGHT)
                / (outcomes[0] + PRIOR_LOCAL_WEIGHT));
    }

    /** Counts a part or a probe that was answered or failed, for its server and class and for all servers. */
    private void recordOutcome(Server server, int queryClass, boolean success) {
        server.outcomesByClass.computeIfAbsent(queryClass, c -> new DecayingCounts())
                .add(success ? 1 : 0, success ? 0 : 1, now, OUTCOME_HALF_LIFE_US);
        globalOutcomes.add(success ? 1 : 0, success ? 0 : 1, now, OUTCOME_HALF_LIFE_US);
    }

    /**
     * How many times longer than usual a part takes at this server at a given load: as learnt from outcomes
     * and probes, or more when an attempt in flight or a probe is overdue.
     */
    private double slowness(Server server) {
        double factor = Math.exp(decayedLogSlowness(server));
        for (Attempt attempt : server.inFlight) {
            factor = Math.max(factor, (now - attempt.sentAt) / nominalTime(attempt) / overdueRatio);
        }
        // An overdue probe means a server that has stalled, hangs, is cut off, or has a deep queue.
        factor *= server.probeInFlight && now - server.probedAt > probeTimeout(server)
                ? UNANSWERED_PROBE_SLOWNESS : 1;
        return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, factor));
    }

    /** Logarithm of the server's slowness, decayed from when it was set towards 0 (usual speed). */
    private double decayedLogSlowness(Server server) {
        return server.logSlowness * decayFactor(server.logSlownessAt, now, OUTCOME_HALF_LIFE_US);
    }

    /** Learns the server's slowness from the time an attempt took: a running mean of logarithms. */
    private void recordSlowness(Attempt attempt, long elapsed) {
        double ratio = Math.max(MIN_SLOWNESS * MIN_SLOWNESS,
                Math.min(MAX_SLOWNESS, elapsed / nominalTime(attempt)));
        double logRatio = Math.log(ratio);
        double previous = decayedLogSlowness(attempt.server);
        setLogSlowness(attempt.server, previous + OUTCOME_EWMA_WEIGHT * (logRatio - previous));
    }

    /** What an attempt would take on a server of ordinary speed with the load that its server had. */
    private double nominalTime(Attempt attempt) {
        return timeByLoad.predict(attempt.loadAtSend) * classTimeFactor[attempt.part.query.queryClass];
    }

    /** Sets the logarithm of the server's slowness, as of now. */
    private void setLogSlowness(Server server, double logSlowness) {
        server.logSlowness = logSlowness;
        server.logSlownessAt = now;
    }

    /** Learns past which ratio of elapsed to expected time an attempt is overdue. */
    private void updateOverdueRatio(double ratio) {
        overdueRatio = Math.max(MIN_OVERDUE_RATIO, Math.min(MAX_OVERDUE_RATIO,
                stepToQuantile(overdueRatio, ratio, OVERDUE_QUANTILE, QUANTILE_STEP)));
    }

    /**
     * Takes a load report unless it is empty or older than the last; learns the usual queue and busy rate.
     */
    private void applyReport(Server server, double[] report, long reportedAt) {
        if (report.length > 0 && reportedAt >= server.reportAt) {
            applyReport(server, reportValue(report, ReportField.QUEUE), reportedAt);
            usualQueue += MEAN_EWMA_WEIGHT
                    * (Double.isNaN(server.reportedQueue) ? 0 : server.reportedQueue - usualQueue);
            double rate = reportValue(report, ReportField.RATE);
            if (rate > 0 && rate < US_PER_SECOND) {
                busyRatePerSecond = stepToQuantile(busyRatePerSecond > 0 ? busyRatePerSecond : rate, rate,
                        BUSY_RATE_QUANTILE, QUANTILE_STEP);
            }
        }
    }

    /** A field of a load report; NaN where reports have no such field or this one is too short. */
    private double reportValue(double[] report, ReportField field) {
        int index = settings.reportFields().indexOf(field);
        return index < 0 || index >= report.length ? Double.NaN : report[index];
    }

    /** Sets a server's queue as of that time, and anew what the peers' attempts add to it. */
    private void applyReport(Server server, double queue, long reportedAt) {
        server.reportAt = reportedAt;
        server.endedSinceReport = 0;
        server.reportedQueue = Double.isFinite(queue) && queue >= 0 ? queue : Double.NaN;
        server.peerLoad = server.peerAttempts.values().stream().mapToDouble(Decide::loadOf).sum();
    }

    /**
     * Handles the end of an attempt: frees its server and part for others, learns from the outcome and, where
     * it answered the part, cancels the part's other attempts.
     */
    private void endAttempt(AttemptEnded event) {
        Part part = parts.get(event.part());
        if (part == null || event.attempt() >= part.attempts.size()
                || part.attempts.get(event.attempt()).ended) {
            return;
        }
        Attempt attempt = part.attempts.get(event.attempt());
        Server server = attempt.server;
        attempt.ended = true;
        attempt.mayHaveRun = !event.outcome().neverRan;
        attempt.neverSent = event.outcome() == Outcome.NO_CONNECTION;
        part.inFlightCount--;
        part.query.nextCheckAt = now;
        server.inFlight.remove(attempt);
        server.endedSinceReport += attempt.sentAt < server.reportAt ? 1 : 0;
        server.connectionUsedAt = now;
        server.staleIdleBucket = attempt.idleLossNotedAt != NEVER && event.outcome() != Outcome.OK
                ? attempt.idleBucket : IDLE_BUCKET_IN_USE;
        applyReport(server, event.loadReport(), now);
        learnFromAttempt(attempt, event.outcome(), now, event.elapsed());
        if (event.outcome() == Outcome.OK) {
            // An answer takes back what is left of the loss if the attempt was counted as lost.
            outcomesByIdleBucket[attempt.idleBucket + 1].add(1,
                    -decayFactor(attempt.idleLossNotedAt, now, RECENT_HALF_LIFE_US),
                    now, RECENT_HALF_LIFE_US);
            if (part.query.open && !part.closed) {
                part.answered = true;
                part.closed = true;
                part.query.anyPartAnswered = true;
            }
        }
        part.query.droppedAttempts += event.outcome() == Outcome.DROPPED ? 1 : 0;
        part.closed |= event.partClosed();
        if (part.answered) {
            part.attempts.forEach(this::cancel);
        }
        if (!part.query.open && part.inFlightCount == 0) {
            parts.remove(part.id);
        }
    }

    /**
     * Learns from the end of an attempt, our own or a peer's: about its server and about the time of parts.
     */
    private void learnFromAttempt(Attempt attempt, Outcome outcome, long endedAt, long elapsed) {
        Server server = attempt.server;
        int queryClass = attempt.part.query.queryClass;
        if (outcome == Outcome.OK) {
            double fittedTime = timeByLoad.predict(attempt.loadAtSend);
            updateOverdueRatio(elapsed / Math.max(1, attempt.expectedTime));
            recordSlowness(attempt, elapsed);
            // The line is fitted to the times of all classes and servers, so that their factors average 1.
            double cappedTime = Math.min(elapsed, MAX_OVERDUE_RATIO * nominalTime(attempt));
            timeByLoad.add(attempt.loadAtSend, cappedTime, FIT_DECAY_PER_SAMPLE, MIN_INTERCEPT_SHARE);
            classTimeFactor[queryClass] += MEAN_EWMA_WEIGHT
                    * (cappedTime / fittedTime - classTimeFactor[queryClass]);
            server.lastAnswerAt = Math.max(server.lastAnswerAt, endedAt);
            recordOutcome(server, queryClass, true);
        } else if (outcome == Outcome.CANCELLED || outcome == Outcome.TIMEOUT) {
            if (elapsed > attempt.expectedTime) {
                recordSlowness(attempt, elapsed);
                // The attempt was cut short: its full time is not known and counts as above the quantile.
                // With the time at the cut, the ratio would lower itself with each attempt it cuts short.
                updateOverdueRatio(Double.MAX_VALUE);
            }
            // An overdue attempt is a failure, unless we cancelled it: then it was slow, not lost.
            if (elapsed > overdueRatio * attempt.expectedTime && !attempt.cancelRequested) {
                recordOutcome(server, queryClass, false);
                server.failureCost += OUTCOME_EWMA_WEIGHT * (FAILURE_COST - server.failureCost);
            }
        } else if (outcome != Outcome.MOOT) {
            recordOutcome(server, queryClass, false);
            server.failureCost += OUTCOME_EWMA_WEIGHT
                    * (Math.min(FAILURE_COST, 1 + elapsed / nominalTime(attempt)) - server.failureCost);
            if (outcome == Outcome.FULL && endedAt >= server.reportAt) {
                // A refusal is like a report of a queue longer than was estimated: twice as long is assumed.
                // A refusal of a part that was sent before the last report says nothing new, so the queue is
                // not doubled again: a series of such refusals raised it to 350,000 parts.
                double longerQueue = (attempt.sentAt < server.reportAt ? 1 : 2)
                        * Math.max(usualQueue, estimatedLoad(server));
                applyReport(server, Math.min(MAX_QUEUE_MULTIPLE * usualQueue, longerQueue), endedAt);
            }
        }
    }

    // ---- attempts of peers (other instances in this process)

    /** Adds a peer's attempt to its server's load and estimates its time, as for an attempt of our own. */
    private void addPeerAttempt(PeerAttemptSent event) {
        Server server = servers.get(event.replica());
        if (server == null || event.queryClass() >= classTimeFactor.length) {
            return;
        }
        hasPeers = true;
        Attempt attempt = new Attempt();
        attempt.part = new Part();
        attempt.part.query = new Query();
        attempt.part.query.queryClass = event.queryClass();
        attempt.part.shard = event.shard();
        attempt.part.key = event.key();
        attempt.part.hint = event.hint();
        attempt.server = server;
        attempt.sentAt = event.sentAt();
        attempt.waitsUntil = event.waitsUntil();
        attempt.weight = 1 + cost(attempt.part, server);
        attempt.loadAtSend = estimatedLoad(server);
        attempt.expectedTime = expectedTime(server, event.queryClass());
        server.peerAttempts.put(event.attempt(), attempt);
        server.peerLoad += loadOf(attempt);
    }

    /**
     * Removes peer attempts whose end was not notified and that their peers no longer wait for. They are kept
     * in about the order of time, so only the first ones are checked.
     */
    private void expirePeerAttempts(Server server) {
        while (!server.peerAttempts.isEmpty()
                && server.peerAttempts.values().iterator().next().waitsUntil <= now) {
            removePeerAttempt(server, server.peerAttempts.keySet().iterator().next());
        }
    }

    /** Takes a peer attempt off its server's load; null when it is not known. */
    private Attempt removePeerAttempt(Server server, long attemptId) {
        Attempt attempt = server.peerAttempts.remove(attemptId);
        server.peerLoad = server.peerAttempts.isEmpty() ? 0
                : server.peerLoad - (attempt == null ? 0 : loadOf(attempt));
        return attempt;
    }

    /**
     * Handles the end of a peer's attempt. Its load report counts as of the time it ended; an outcome older
     * than the half-life of reports says nothing about the server any more.
     */
    private void endPeerAttempt(PeerAttemptEnded event) {
        Server server = servers.get(event.replica());
        Attempt attempt = server == null ? null : removePeerAttempt(server, event.attempt());
        if (attempt != null) {
            server.endedSinceReport += attempt.sentAt < server.reportAt ? 1 : 0;
            applyReport(server, event.loadReport(), event.endedAt());
            if (now - event.endedAt() < REPORT_HALF_LIFE_US) {
                learnFromAttempt(attempt, event.outcome(), event.endedAt(), event.elapsed());
            }
        }
    }

    /** Asks for an attempt in flight to be cancelled, once and only where cancelling is allowed. */
    private void cancel(Attempt attempt) {
        if (!attempt.ended && !attempt.cancelRequested && settings.allowed().mayCancel()) {
            attempt.cancelRequested = true;
            actions.add(new Cancel(attempt.part.id, attempt.index));
        }
    }

    // ---- checks and end of open queries

    /**
     * Checks the open queries: ends those that are answered, due or lost, then sends the parts that have no
     * attempt in flight or whose attempt should be hedged. First attempts go first, then further attempts in
     * descending order of their queries' worth per part.
     */
    private void checkQueries() {
        if (hasPeers && now >= nextPeerExpiryAt) {
            nextPeerExpiryAt = now + CHECK_INTERVAL_US;
            servers.values().forEach(this::expirePeerAttempts);
        }
        // A query is checked when a part or the end of an attempt came in, else once in each check interval:
        // more frequent checks of many parts cost too much CPU time.
        queries.values().stream().filter(query -> now >= query.nextCheckAt).toList()
                .forEach(this::finishIfDue);
        List<Part> partsToSend = new ArrayList<>();
        for (Query query : queries.values()) {
            boolean checkDue = now >= query.nextCheckAt;
            query.nextCheckAt = checkDue ? now + CHECK_INTERVAL_US : query.nextCheckAt;
            for (Part part : query.parts) {
                (checkDue && part.inFlightCount > 0 ? part.attempts : List.<Attempt>of())
                        .forEach(this::noteIdleLoss);
                if (!part.closed && part.inFlightCount == 0
                        ? now >= part.retryNotBefore && (!isSuspect(query) || part.attempts.isEmpty())
                        : !part.closed && checkDue && shouldTryElsewhere(part)) {
                    if (part.inFlightCount > 0 && !settings.allowed().mayHedge()) {
                        cancel(part.attempts.get(part.attempts.size() - 1));
                        // The cancellation has to arrive before the part is sent to another server.
                        part.retryNotBefore = now + CHECK_INTERVAL_US;
                    } else {
                        partsToSend.add(part);
                    }
                }
            }
        }
        partsToSend.sort(Comparator.comparingDouble(
                (Part part) -> part.attempts.isEmpty() ? -1e9 : -worthPerPart(part.query)));
        partsToSend.stream().filter(part -> !waitsForCanary(part.query)).forEach(this::trySend);
    }

    /**
     * Whether the query is taken to be at fault rather than the servers: connections dropped on its attempts,
     * and none of its parts was answered. It sends no part again until one is answered; a query of a single
     * part may try once more.
     */
    private boolean isSuspect(Query query) {
        return !query.anyPartAnswered && query.droppedAttempts >= (query.parts.size() > 1 ? 1 : 2);
    }

    /**
     * Whether the query's parts have to wait for its canary. While servers crash, one part goes first, so
     * that a query that crashes servers takes down one of them instead of several.
     */
    private boolean waitsForCanary(Query query) {
        if (!query.canaryFirst || query.anyPartAnswered) {
            return false;
        }
        return query.droppedAttempts > 1 || query.parts.stream().flatMap(p -> p.attempts.stream())
                .anyMatch(a -> !a.ended && now - a.sentAt < CANARY_HOLD_SHARE * a.expectedTime);
    }

    /** The worth of the query's answer for each part that is still to be answered: what a part brings. */
    private double worthPerPart(Query query) {
        return settings.classes().get(query.queryClass).worth()
                / Math.max(1, query.parts.stream().filter(p -> !p.answered).count());
    }

    /**
     * Whether the part, with an attempt in flight, should be sent to another server: there it is expected by
     * the aim and sooner, and either the attempt is overdue at a silent server, or this is the last moment
     * for a hedge. Where two attempts of a part may not be in flight at once, the first has to be cancelled
     * before. That needs more evidence: a warm server would not take so long, and this one has answered
     * nothing since the attempt was sent.
     */
    private boolean shouldTryElsewhere(Part part) {
        Attempt attempt = part.attempts.get(part.attempts.size() - 1);
        boolean mayHedge = settings.allowed().mayHedge();
        double age = now - attempt.sentAt;
        if (!mayHedge && (isCold(attempt.server) || !settings.allowed().mayCancel()) || part.inFlightCount > 1
                || attempt.ended || attempt.cancelRequested || age <= (mayHedge ? attempt.expectedTime
                : MAX_OVERDUE_RATIO * Math.max(nominalTime(attempt), attempt.expectedTime))) {
            return false;
        }
        double otherTime = holders(part).stream().filter(s -> isEligible(part, s) && slowStartWait(s) <= 0)
                .mapToDouble(s -> expectedTime(s, part.query.queryClass)).min().orElse(Double.MAX_VALUE);
        // A busy server goes on answering other parts and will come to this one: it is not given up unless it
        // is silent.
        double silence = now - Math.max(attempt.sentAt, attempt.server.lastAnswerAt);
        return (mayHedge ? age > overdueRatio * attempt.expectedTime && silence > 2 * timeByLoad.intercept
                || part.query.aimAt - now < HEDGE_TIME_LEFT_MULTIPLE * otherTime : silence >= age)
                && 2 * otherTime < age && now + otherTime < part.query.aimAt;
    }

    /**
     * Ends the query, or its first step, if it is time: with a whole answer when its parts are answered, with
     * a partial one when waiting longer earns less, and without an answer when it is lost or its time is
     * over.
     */
    private void finishIfDue(Query query) {
        QueryClass queryClass = settings.classes().get(query.queryClass);
        // A suspect query sends nothing again: once nothing of it is in flight, there is no answer to wait
        // for.
        boolean droppedTwice = query.droppedAttempts > 1;
        if (isSuspect(query) && query.parts.stream()
                .allMatch(p -> p.inFlightCount == 0 && (droppedTwice || !p.attempts.isEmpty()))) {
            if (query.key != 0 && droppedTwice) {
                suspectKeys.put(query.key, now);
            }
            refuseOrFail(query, Reason.SUSPECT);
            return;
        }
        List<Part> stepParts = query.parts.stream().filter(p -> p.step == query.step).toList();
        double answeredWeight = stepParts.stream().filter(p -> p.answered).mapToDouble(p -> p.weight).sum();
        boolean allAnswered = stepParts.stream().allMatch(p -> p.answered);
        int partCount = stepParts.size();
        boolean whole = query.step == 1
                ? allAnswered && partCount >= query.expectedParts
                        || queryClass.need() < 1 && answeredWeight >= queryClass.need() - 1e-4
                : allAnswered && partCount > 0;
        if (whole) {
            if (query.step == 1) {
                recordOverrun(query);
            }
            answer(query, query.step == 1 || query.firstStepWhole);
            return;
        }
        // The parts answered so far earn most if they reach the client by the aim; after it a whole answer
        // earns no more than the late worth. A first step leaves time for the follow-up.
        boolean arrivedBeforeAim = query.aimAt > query.arrivedAt;
        double followUpTime = query.step == 1 && queryClass.followUp() > 0
                ? overdueRatio * timeByLoad.intercept * classTimeFactor[query.queryClass] : 0;
        boolean enough = queryClass.floor() < 1 && partCount > 0
                && answeredWeight >= queryClass.floor() - 1e-4;
        // Where the parts that may still be answered are not enough, the query is lost: it ends at once,
        // which saves work.
        double attainableWeight = stepParts.stream()
                .filter(p -> p.answered || !p.closed && (p.inFlightCount > 0 || mayRepeat(p)))
                .mapToDouble(p -> p.weight).sum();
        int expectedCount = query.step == 1 ? query.expectedParts : 1;
        // A query of which no server ever had a part is refused before half of its client's time is over: a
        // later refusal costs worth.
        boolean halfTimeOver = now >= (query.arrivedAt + query.deadlineAt) / 2 - 2 * CHECK_INTERVAL_US;
        boolean neverSent = halfTimeOver
                && stepParts.stream().flatMap(p -> p.attempts.stream()).allMatch(a -> a.neverSent);
        boolean lost = partCount >= expectedCount
                && (neverSent || attainableWeight < Math.min(queryClass.need(), queryClass.floor()) - 1e-4);
        boolean due = arrivedBeforeAim && now >= query.aimAt - 2 * CHECK_INTERVAL_US - followUpTime
                && queryClass.partialWorth() * answeredWeight / queryClass.need() >= queryClass.lateWorth();
        long waitUntil = queryClass.lateWorth() > 0 || !arrivedBeforeAim ? query.deadlineAt : query.aimAt;
        if (enough && due || lost || now >= Math.min(waitUntil, query.deadlineAt - 2 * CHECK_INTERVAL_US)) {
            recordOverrun(query);
            if (enough) {
                answer(query, false);
            } else {
                refuseOrFail(query,
                        !lost ? Reason.TIME_OVER : neverSent ? Reason.NEVER_SENT : Reason.NO_ATTEMPT_LEFT);
            }
        }
    }

    /**
     * Answers the query. Where its class has a follow-up, the query stays open for the parts of that step.
     */
    private void answer(Query query, boolean whole) {
        actions.add(new Answer(query.id, whole));
        if (query.step == 1 && settings.classes().get(query.queryClass).followUp() > 0) {
            query.step = 2;
            query.firstStepWhole = whole;
            for (Part part : query.parts) {
                part.closed = true;
                part.attempts.forEach(this::cancel);
            }
            return;
        }
        close(query);
    }

    /**
     * Ends a query without an answer; only this method does. It is refused, which promises that asking again
     * does no harm, where no part of it can have had an effect: the class is safe, or no attempt may have
     * run. Otherwise it fails.
     */
    private void refuseOrFail(Query query, Reason reason) {
        Effect effect = settings.classes().get(query.queryClass).effect();
        boolean harmless = effect == Effect.SAFE || query.parts.stream()
                .allMatch(p -> p.attempts.stream().noneMatch(a -> a.mayHaveRun));
        if (query.key != 0) {
            firstTryOfGivenUp.put(List.of((long) query.queryClass, query.key), query.firstTryAt);
            firstTryOfGivenUp.entrySet().removeIf(g -> now - g.getValue()
                    > settings.classes().get(g.getKey().get(0).intValue()).deadline());
        }
        if (harmless) {
            // Advice when to retry: once queues are shorter by the time that the query would be late, if a
            // retry can then be answered by the aim; else the longest delay that may be advised.
            double lateness = query.predictedTime * overrunFactor() - (query.aimAt - now);
            boolean capacityBeforeAim = lateness > 0 && now + lateness
                    + timeByLoad.intercept * classTimeFactor[query.queryClass] < query.aimAt;
            double maxRetryAfter = settings.allowed().mayAdviseRetryAfter()
                    ? settings.allowed().maxRetryAfter() : 0;
            actions.add(new Refuse(query.id, (long) Math.min(maxRetryAfter,
                    capacityBeforeAim ? Math.max(lateness, timeByLoad.intercept) : maxRetryAfter), reason));
        } else {
            actions.add(new Fail(query.id, reason));
        }
        close(query);
    }

    /**
     * Closes the query and its parts and cancels its attempts; a part is kept until all of its attempts have
     * ended.
     */
    private void close(Query query) {
        query.open = false;
        queries.remove(query.id);
        queriesByNumber.remove(query.number, query);
        for (Part part : query.parts) {
            part.closed = true;
            part.attempts.forEach(this::cancel);
            if (part.inFlightCount == 0) {
                parts.remove(part.id);
            }
        }
    }

    // ---- probes

    /**
     * Whether the part has to wait for the answer to a probe, which this method sends where needed. Before a
     * part is sent, its server is probed unless it was heard from just now or the probe budget is used up: a
     * server that is slow, hangs or has stalled shows at once, and the part goes elsewhere.
     */
    private boolean mustAwaitProbe(Part part, Server server) {
        if (!settings.allowed().mayProbe()) {
            return false;
        }
        if (server.probeInFlight) {
            return now - server.probedAt < probeTimeout(server);
        }
        if (part.probesSent >= MAX_PROBES_PER_PART || probeTokens < 1
                || now - Math.max(server.probedAt, server.lastAnswerAt) < FRESHNESS_US) {
            return false;
        }
        probeTokens--;
        part.probesSent++;
        server.probeInFlight = true;
        server.probedAt = now;
        actions.add(new Probe(server.id));
        return true;
    }

    /** Time after which a probe is overdue, from the usual probe time in the server's zone. */
    private double probeTimeout(Server server) {
        return Math.max(CHECK_INTERVAL_US / 2.0,
                PROBE_OVERDUE_MULTIPLE * usualProbeTimeByZone.getOrDefault(server.zone, 0.0));
    }

    /** Handles the end of a probe, our own or a peer's: learns the server's slowness and takes its report. */
    private void applyProbe(long replica, Outcome outcome, long endedAt, long elapsed, double[] report) {
        Server server = servers.get(replica);
        if (server == null) {
            return;
        }
        server.probeInFlight = false;
        if (!server.listed && server.inFlight.isEmpty()) {
            servers.remove(server.id);
        }
        if (outcome == Outcome.OK) {
            // A probe that takes long indicates a slow server; one that takes far longer has waited in a
            // queue, which says nothing about speed. A quick one may have bypassed the queue, so it does not
            // lower the slowness learnt from parts. Usual times are kept by zone, or a distant server would
            // look slow.
            double probeTime = Math.max(1, elapsed);
            double usualTime = usualProbeTimeByZone.merge(server.zone, probeTime,
                    (median, seen) -> stepToQuantile(median, seen, 0.5, QUANTILE_STEP));
            double ratio = probeTime / usualTime;
            if (ratio < MAX_SLOWNESS && ratio >= MAX_HEALTHY_RATIO) {
                setLogSlowness(server, Math.max(decayedLogSlowness(server), Math.log(ratio)));
            }
            applyReport(server, report, endedAt);
        } else if (outcome.neverRan) {
            recordOutcome(server, NO_CLASS, false);
        } else {
            setLogSlowness(server, decayedLogSlowness(server) + Math.log(UNANSWERED_PROBE_SLOWNESS));
        }
    }
}
