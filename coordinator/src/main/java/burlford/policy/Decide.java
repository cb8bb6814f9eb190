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
 * The decision module: all decisions and all tuned values. Interface: Aggregator.java. Fields: State.java.
 *
 * <p>The ordinary path is rule D+S of the paper: each part goes to the replica of its shard with the lowest
 * score, which is its normalised cost (lower at the key's home replica) minus 1/delta times its spare share
 * of load. Everything else is a guard for the rules or an exception in the language of that score.
 */
public final class Decide implements Aggregator {

    static final long NEVER = Long.MIN_VALUE / 4;
    private static final long US_PER_SECOND = 1_000_000;
    private static final int NO_CLASS = -1;

    // ---- the design's figures
    /** Weight of load is 1/delta; the paper's experiments use 0.05, the low end of its 5 to 30%. */
    static final double DELTA = 0.05;
    /** Where crossing zones has a price the cost term carries it too and weighs more, within that range. */
    private static final double DELTA_WITH_ZONE_PRICE = 0.2;
    private static final double HOME_COST = 0.5;

    // ---- our own constants
    /** How often open queries are looked at; a few looks fit in any time-out worth having. */
    private static final long CHECK_INTERVAL_US = US_PER_SECOND / 40;
    /** Before anything was observed, a part takes this share of its class's aim. */
    private static final double PRIOR_TIME_SHARE_OF_AIM = 0.1;
    /** The line of time over load forgets at this rate (200 outcomes); it starts at this share at least. */
    private static final double FIT_DECAY_PER_SAMPLE = 0.995;
    private static final double MIN_INTERCEPT_SHARE = 0.25;
    /** Shared means move so far with each value; marks by so much of themselves, weighted by the quantile. */
    private static final double MEAN_EWMA_WEIGHT = 0.02;
    private static final double QUANTILE_STEP = 0.1;
    /** How long overruns are remembered; of a server's speed the weight of a new outcome, and bounds. */
    private static final double RECENT_HALF_LIFE_US = 4.0 * US_PER_SECOND;
    private static final double OUTCOME_EWMA_WEIGHT = 0.25;
    private static final double MAX_SLOWNESS = 20;
    private static final double MIN_SLOWNESS = 0.5;
    /** A report counts half after so long: a few parts' time, in which a queue is another. */
    private static final double REPORT_HALF_LIFE_US = US_PER_SECOND;
    /** No queue, and for each part of ours none of others, is believed longer than so many usual ones. */
    private static final double MAX_QUEUE_MULTIPLE = 64;
    private static final double MAX_OTHERS_QUEUE_MULTIPLE = 4;
    /** Outcomes count half after so long: about as long as trouble lasts, so that few parts try it again. */
    private static final double OUTCOME_HALF_LIFE_US = 10.0 * US_PER_SECOND;
    /** A part that comes to nothing costs so many times its usual time: the wait, and the query it is of. */
    static final double FAILURE_COST = 10;
    /** Share of parts that come to nothing where nothing is known; its weight and the peers' in outcomes. */
    private static final double PRIOR_FAILURE_RATE = 0.01;
    private static final double PRIOR_GLOBAL_WEIGHT = 20;
    private static final double PRIOR_LOCAL_WEIGHT = 1;
    /** Classes of idle time, each twice the one before, from one look on. */
    private static final int IDLE_TIME_BUCKETS = 12;
    private static final int IDLE_BUCKET_IN_USE = -1;
    /** Quantile of elapsed over expected past which an attempt is overdue, and the bounds of that mark. */
    private static final double OVERDUE_QUANTILE = 0.97;
    private static final double MIN_OVERDUE_RATIO = 1.5;
    private static final double MAX_OVERDUE_RATIO = 4;
    /** A copy is worth sending while the time left holds this many times its own: most parts take less. */
    private static final double HEDGE_TIME_LEFT_MULTIPLE = 4;
    /** What may go on probes, as a share of the result at their price; how many at most for one part. */
    private static final double PROBE_BUDGET_SHARE = 0.012;
    private static final int MAX_PROBES_PER_PART = 2;
    /** A server heard of in this time is not asked again. */
    private static final long FRESHNESS_US = US_PER_SECOND / 4;
    /** A probe is overdue after so many times its usual time; its server then counts so many times slower. */
    private static final double PROBE_OVERDUE_MULTIPLE = 8;
    private static final double UNANSWERED_PROBE_SLOWNESS = 4;
    /** A probe that takes fewer times its usual time than this tells of a sound server. */
    private static final double MAX_HEALTHY_RATIO = 2;
    /** List calls that failed are repeated after this, doubled each time up to 16 times, with jitter. */
    private static final long LIST_RETRY_DELAY_US = US_PER_SECOND / 2;
    /** Queries with the key of one that brought servers down are turned away for so long. */
    private static final long SUSPECT_KEY_TTL_US = 30 * US_PER_SECOND;
    /** Where a larger share of servers died unannounced of late, a first part leads by so much of its own. */
    private static final double CRASH_SHARE_THRESHOLD = 0.03;
    private static final double CANARY_HOLD_SHARE = 0.5;
    /** Routers' turns at a cold server are kept so many spreads of their sum under what the rule allows. */
    private static final double SLOW_START_MARGIN_STDDEVS = 2;
    /** A server is never credited with serving more parts than this at once without loss. */
    private static final double MAX_SERVER_PARALLELISM = 2;
    /** Of the rates reported, this quantile is what a busy server takes. */
    private static final double BUSY_RATE_QUANTILE = 0.9;
    /** Queries are taken when this share of them would end in time. */
    private static final double OVERRUN_QUANTILE = 0.7;
    private static final double MAX_OVERRUN_FACTOR = 10;
    /** There is room while queries are expected to take no more than this share of their aim. */
    private static final double SPARE_CAPACITY_AIM_SHARE = 0.5;

    private final Settings settings;
    private final SplittableRandom random;
    private final Map<Long, Server> servers = new LinkedHashMap<>();
    private final Map<Long, Query> queries = new LinkedHashMap<>();
    private final Map<Long, Query> queriesByNumber = new LinkedHashMap<>();
    private final Map<Long, Part> parts = new LinkedHashMap<>();
    private final List<List<Server>> holdersByShard = new ArrayList<>();
    private ArrayDeque<Long> furtherAttemptTimes = new ArrayDeque<>();
    private ArrayDeque<Long> arrivalTimes = new ArrayDeque<>();
    private Map<Long, SlowStart> slowStarts = new LinkedHashMap<>();
    private final Map<List<Long>, Long> firstTryOfGivenUp = new LinkedHashMap<>();
    private final Map<Long, Long> suspectKeys = new LinkedHashMap<>();
    private final List<Query> newQueries = new ArrayList<>();
    private final long[] usualTimeLeft;
    private final double[] classTimeFactor;
    private final LinearFit timeByLoad = new LinearFit();
    private final DecayingCounts globalOutcomes = new DecayingCounts();
    private final DecayingCounts crashes = new DecayingCounts();
    private StartTimes startTimes = new StartTimes();
    private final DecayingCounts[] outcomesByIdleBucket = new DecayingCounts[IDLE_TIME_BUCKETS + 1];
    private double overdueRatio = 3;
    private double overrunFactor = 1;
    private long overrunUpdatedAt = NEVER;
    private double meanHint;
    private long roundCount;
    private long now = NEVER;
    private long alarmAt = NEVER;
    private long nextPeerExpiryAt = NEVER;
    private boolean hasPeers;
    private long watchListAt = NEVER;
    private int listFailures;
    private boolean listReceived;
    private double probeTokens;
    private double usualQueue = 1;
    private double usualWorthPerPart;
    /** Parts a second that busy servers report; 0 where reports do not tell. */
    private double busyRatePerSecond;
    private final Map<Integer, Double> usualProbeTimeByZone = new LinkedHashMap<>();
    private final double initialBacklogParts;
    private List<Action> actions = new ArrayList<>();

    public Decide(Settings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        classTimeFactor = new double[settings.classes().size()];
        Arrays.fill(classTimeFactor, 1);
        usualTimeLeft = new long[classTimeFactor.length];
        initialBacklogParts = random.nextDouble();
        double aim = settings.classes().stream().mapToDouble(QueryClass::aim).min().orElse(US_PER_SECOND);
        for (int load = 0; load < 4; load++) {
            timeByLoad.add(load, aim * PRIOR_TIME_SHARE_OF_AIM * (1 + load / 2.0), FIT_DECAY_PER_SAMPLE,
                    MIN_INTERCEPT_SHARE);
        }
        Arrays.setAll(outcomesByIdleBucket, i -> new DecayingCounts());
        holdersByShard.addAll(Collections.nCopies(settings.shards(), List.of()));
        watchListAt = settings.watchesList() ? 0 : NEVER;
    }

    /**
     * Shares what the rules count with the module that this one replaces, which goes on with its queries:
     * permits at servers in slow start, and further attempts with what they are a share of. Both know the
     * same list.
     */
    void shareBudgetsWith(Decide before) {
        furtherAttemptTimes = before.furtherAttemptTimes;
        arrivalTimes = before.arrivalTimes;
        startTimes = before.startTimes;
        slowStarts = before.slowStarts;
        for (Server s : servers.values()) {
            Server known = before.servers.get(s.id);
            if (known != null) {
                s.startedAt = known.startedAt;
                s.slowStart = known.slowStart;
            }
        }
    }

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
            servers.values().forEach(s -> List.copyOf(s.peerAttempts.keySet())
                    .forEach(a -> removePeerAttempt(s, a)));
        }
    }

    // ---- the list of servers

    private void applyListUpdate(ListUpdate e) {
        if (e.kind() == ListKind.FAILED) {
            long wait = LIST_RETRY_DELAY_US << Math.min(listFailures++, 4);
            watchListAt = now + wait / 2 + random.nextLong(wait);
            return;
        }
        if (e.kind() != ListKind.CACHED) {
            listFailures = 0;
        }
        if (e.kind() != ListKind.CHANGES) {
            servers.values().forEach(s -> s.listed = false);
        }
        if (!listReceived) {
            startTimes.recordFirstList(now, e.entries().stream().mapToLong(ListEntry::startedAt).max()
                    .orElse(0));
        }
        for (ListEntry entry : e.entries()) {
            boolean known = servers.containsKey(entry.replica());
            Server s = servers.computeIfAbsent(entry.replica(), id -> new Server());
            boolean anew = known && entry.startedAt() != 0 && entry.startedAt() != s.listedStartedAt;
            if (known && s.status == Status.READY && (anew || entry.status() == Status.GONE)) {
                crashes.add(0, 1, now, OUTCOME_HALF_LIFE_US);
            }
            if (!known || anew) {
                // A server that turns up later without a time of start has just started, for all we know.
                // What was known of one that started anew is void.
                s.id = entry.replica();
                s.listedStartedAt = entry.startedAt();
                s.startedAt = listReceived ? startTimes.startWhenNoticed(now, s.listedStartedAt)
                        : startTimes.startInFirstList(s.listedStartedAt);
                s.reportAt = NEVER;
                s.endedSinceReport = 0;
                s.logSlownessAt = NEVER;
                s.outcomesByClass.clear();
                s.slowStart = slowStarts.computeIfAbsent(s.id, id -> new SlowStart());
                s.slowStart.backlogParts = initialBacklogParts;
                s.slowStart.backlogAt = now;
            }
            s.zone = entry.zone();
            s.cell = entry.cell();
            s.status = entry.status();
            s.listed = entry.status() != Status.GONE;
        }
        listReceived = true;
        for (int shard = 0; shard < settings.shards(); shard++) {
            int first = shard;
            holdersByShard.set(shard, servers.values().stream().filter(s -> s.listed
                    && Math.floorMod(s.cell - first, settings.cells()) < settings.reach()).toList());
        }
        servers.values().removeIf(s -> !s.listed && s.inFlight.isEmpty() && !s.probeInFlight);
        slowStarts.keySet().retainAll(servers.keySet());
    }

    // ---- queries and parts coming in

    private void addQuery(QueryArrived e) {
        if (e.queryClass() >= classTimeFactor.length) {
            throw new IllegalArgumentException("query of an unknown class: " + e.queryClass());
        }
        Query q = new Query();
        QueryClass c = settings.classes().get(e.queryClass());
        q.id = e.query();
        q.number = e.number();
        q.queryClass = e.queryClass();
        q.tenant = e.tenant();
        q.key = e.key();
        q.expectedParts = e.partCount();
        q.arrivedAt = now;
        q.deadlineAt = now + e.timeLeft();
        q.clientRetry = e.clientRetry();
        // A client's later try has a shorter time left than its first ones, and its aim runs from the first.
        // The usual time left is followed in small steps: one odd client must not age all first tries.
        long step = c.deadline() / 50;
        if (!e.clientRetry()) {
            long off = e.timeLeft() - usualTimeLeft[q.queryClass];
            usualTimeLeft[q.queryClass] += usualTimeLeft[q.queryClass] == 0 ? off : Math.max(-step,
                    Math.min(step, off));
        }
        boolean later = (e.clientRetry() || !settings.clientsMarkRetries())
                && e.timeLeft() < usualTimeLeft[q.queryClass] - c.deadline() / 20;
        q.retryGuessed = later && !e.clientRetry();
        long spent = later ? Math.max(0, c.deadline() - e.timeLeft()) : 0;
        // A marked later try of a query we gave up is known again by its key; its aim runs from the first.
        Long first = q.key == 0 || !q.clientRetry ? null
                : firstTryOfGivenUp.remove(List.of((long) q.queryClass, q.key));
        q.firstTryAt = Math.min(now - spent, first == null ? now : first);
        q.aimAt = Math.min(q.deadlineAt, q.firstTryAt + c.aim());
        queries.put(q.id, q);
        queriesByNumber.put(q.number, q);
        newQueries.add(q);
        countArrival();
    }

    private void addPart(PartArrived e) {
        Query q = queriesByNumber.get(e.number());
        countArrival();
        if (q == null || !q.open) {
            return;
        }
        Part p = new Part();
        p.id = e.part();
        p.query = q;
        p.shard = e.shard();
        p.weight = e.weight();
        p.key = e.key();
        p.step = q.step;
        p.hint = e.hint();
        if (e.hint() > 0) {
            meanHint = meanHint == 0 ? e.hint() : meanHint + (e.hint() - meanHint) * MEAN_EWMA_WEIGHT;
        }
        q.parts.add(p);
        q.nextCheckAt = now;
        parts.put(p.id, p);
        probeTokens = Math.min(probeTokens + PROBE_BUDGET_SHARE / settings.prices().probe(), servers.size());
    }

    private void countArrival() {
        if (settings.rules().hasBudget()) {
            arrivalTimes.add(now);
        }
    }

    /**
     * Sheds at once what cannot finish by its aim. Parts that would be late are not asked at all where the
     * others are enough for an answer: shards in trouble are relieved, and the query need not wait for them.
     */
    private void admit(Query q) {
        QueryClass c = settings.classes().get(q.queryClass);
        double longest = 1;
        double spare = 1 - c.floor();
        List<Part> late = new ArrayList<>();
        for (Part p : q.parts) {
            // A draining holder helps nobody, a cold one when our turn comes. Silence is no reason to turn
            // away, slowness by outcomes is: probes wait in deep queues too, so busy servers report none.
            double takes = holders(p).stream().filter(s -> isEligible(p, s)).mapToDouble(s -> coldWait(s) +
                    timeByLoad.predict(estimatedLoad(s)) * classTimeFactor[q.queryClass]
                    * Math.exp(Math.max(0, decayedLogSlowness(s)))).min().orElse(0);
            if (q.aimAt - now < takes * overrunFactor() && p.weight < spare) {
                spare -= p.weight;
                late.add(p);
            } else {
                longest = Math.max(longest, takes);
            }
        }
        q.predictedTime = longest;
        // Overrun counts less against a query that brings more for each part than usual: it is shed last.
        usualWorthPerPart += Math.min(1, MEAN_EWMA_WEIGHT * q.parts.size()) * (worthPerPart(q)
                - usualWorthPerPart);
        double asked = longest * (1 + (overrunFactor() - 1) * Math.min(1,
                usualWorthPerPart / worthPerPart(q)));
        // A short time left may be its client's way: while there is room it is served like a first try.
        if (q.retryGuessed && asked < c.aim() * SPARE_CAPACITY_AIM_SHARE) {
            q.firstTryAt = now;
            q.aimAt = Math.min(q.deadlineAt, now + c.aim());
        }
        suspectKeys.values().removeIf(at -> now - at > SUSPECT_KEY_TTL_US);
        // With nothing out nothing is learnt: one is tried, or times learnt in a bad moment stay for good.
        if (q.aimAt - now < asked && (q.aimAt <= now || now - overrunUpdatedAt <= FRESHNESS_US
                || parts.values().stream().anyMatch(p -> p.inFlightCount > 0))
                || suspectKeys.containsKey(q.key)) {
            giveUp(q, suspectKeys.containsKey(q.key) ? Reason.SUSPECT : Reason.EXPECTED_LATE);
        } else {
            late.forEach(p -> p.closed = true);
        }
        q.canaryFirst = q.parts.size() > 1 && crashes.failures(now, OUTCOME_HALF_LIFE_US)
                > CRASH_SHARE_THRESHOLD * servers.size();
    }

    /** How far queries overran what was predicted when taken; fades when nothing more is seen. */
    private double overrunFactor() {
        return 1 + (overrunFactor - 1) * decayFactor(overrunUpdatedAt, now, RECENT_HALF_LIFE_US);
    }

    private void recordOverrun(Query q) {
        // Bounded: queries that silent readers kept took hundreds of times as long, and all were shed.
        overrunFactor = Math.max(1, Math.min(MAX_OVERRUN_FACTOR,
                stepToQuantile(overrunFactor(), (now - q.arrivedAt) / q.predictedTime, OVERRUN_QUANTILE,
                QUANTILE_STEP)));
        overrunUpdatedAt = now;
    }

    // ---- the score

    private List<Server> holders(Part p) {
        return p.shard < holdersByShard.size() ? holdersByShard.get(p.shard) : List.of();
    }

    /** DESIGN step 2: half at the key's home replica, one elsewhere, times the hint (over its mean). */
    private double cost(Part p, Server s) {
        double hint = p.hint > 0 && meanHint > 0 ? p.hint / meanHint : 1;
        return (home(p) == s ? HOME_COST : 1) * hint;
    }

    /**
     * The holder whose id hashes highest with the key (or class and shard): one leaves, other homes stay.
     * Where crossing zones has a price it is sought among the holders of our zone, if there are any.
     */
    private Server home(Part p) {
        long key = p.key != 0 ? p.key : (p.query.queryClass + 1L) * 0x9E3779B97F4A7C15L + p.shard;
        Server home = null;
        long highest = 0;
        boolean homeNear = false;
        for (Server s : holders(p)) {
            long h = mixHash(key, s.id);
            boolean near = settings.prices().crossZone() > 0 && s.zone == settings.zone();
            if (home == null || (near == homeNear ? h > highest : near)) {
                home = s;
                highest = h;
                homeNear = near;
            }
        }
        return home;
    }

    /**
     * DESIGN step 1: the queue last reported, else (a report without one) our own parts in flight, else
     * nought, plus our own parts sent since and still out, each weighted one plus its cost. Instances of one
     * process are one broker in this: what peers have out counts like our own.
     */
    static double load(Server s) {
        double load = s.reportAt == NEVER || Double.isNaN(s.reportedQueue) ? 0 : s.reportedQueue;
        for (Attempt a : s.inFlight) {
            load += loadOf(a);
        }
        return load + s.peerLoad;
    }

    private static double loadOf(Attempt a) {
        return a.sentAt >= a.server.reportAt ? a.weight : Double.isNaN(a.server.reportedQueue) ? 1 : 0;
    }

    /**
     * Exception to step 3, in its own terms: the load compared is the counter as it would be with this part
     * on it, times how much slower than its peers the server is, less the part itself. Where connections
     * are priced, one never used and one never heard of count a usual queue each: all were drawn to all.
     */
    private double effectiveLoad(Server s, int cls, double weight, boolean last) {
        double call = settings.callWork() > 0 && s.lastSendRound == roundCount
                ? settings.callWork() / timeByLoad.intercept : 0;
        double anew = settings.prices().handshake() == 0 ? 0 : (s.connectionUsedAt == NEVER ? usualQueue : 0)
                + (s.reportAt == NEVER ? usualQueue : 0);
        return (estimatedLoad(s) + anew + weight - Math.min(call, weight)) * penaltyFactor(s, cls, last)
                - weight;
    }

    /**
     * The counter as far as it can be believed: a report also counts our own parts that have ended since, and
     * one below what we have out there (late, or from a server that errs) counts no less than that. Others
     * see it too, and piled onto the server it shows idle: each is taken to have out what we have, less what
     * is known of peers; of hundreds that tells little, so all of them no more than some usual queues.
     */
    private double estimatedLoad(Server s) {
        double load = load(s) - s.endedSinceReport;
        if (s.reportAt != NEVER && !Double.isNaN(s.reportedQueue)) {
            load += (usualQueue - s.reportedQueue + s.endedSinceReport) * (1 - decayFactor(s.reportAt, now,
                    REPORT_HALF_LIFE_US));
        }
        double each = Math.min(settings.instances() - 1, MAX_OTHERS_QUEUE_MULTIPLE * usualQueue);
        double others = Math.max(0, each * s.inFlight.size() - s.peerAttempts.size());
        return Math.max(load, s.inFlight.size() + s.peerAttempts.size()) + others;
    }

    /**
     * DESIGN step 3 over the servers that may be sent this part; null when there is none. One that has failed
     * it already is taken only where no other is left: one that errs at once got all of its attempts in 2 ms.
     */
    private Server chooseServer(Part p) {
        Map<Server, Double> may = new LinkedHashMap<>();
        double mostCost = 0;
        double mostLoad = 0;
        List<Server> able = holders(p).stream().filter(s -> maySendNow(p, s)).toList();
        List<Server> untried = able.stream().filter(s -> p.attempts.stream()
                .noneMatch(a -> a.server == s && a.mayHaveRun)).toList();
        boolean last = p.attempts.size() + 1 >= settings.allowed().maxAttempts();
        for (Server s : untried.isEmpty() ? able : untried) {
            double cost = cost(p, s);
            double load = effectiveLoad(s, p.query.queryClass, 1 + cost, last);
            may.put(s, load);
            mostCost = Math.max(mostCost, cost);
            mostLoad = Math.max(mostLoad, load);
        }
        Server best = null;
        double lowest = 0;
        int ties = 0;
        for (Map.Entry<Server, Double> e : may.entrySet()) {
            double score = score(cost(p, e.getKey()), mostCost, e.getValue(), mostLoad,
                    settings.prices().crossZone() > 0 ? DELTA_WITH_ZONE_PRICE : DELTA);
            if (best == null || score < lowest - 1e-9) {
                best = e.getKey();
                lowest = score;
                ties = 1;
            } else if (score < lowest + 1e-9 && random.nextInt(++ties) == 0) {
                best = e.getKey();
            }
        }
        return best;
    }

    static double score(double cost, double mostCost, double load, double mostLoad, double delta) {
        return (mostCost == 0 ? 0 : cost / mostCost) - (1 - (mostLoad == 0 ? 0 : load / mostLoad)) / delta;
    }

    // ---- the gate and the send

    /** Every send passes here: the rules hold whatever else is decided. */
    private boolean maySendNow(Part p, Server s) {
        return isEligible(p, s) && coldWait(s) <= 0 && (p.inFlightCount == 0 || settings.allowed()
                .mayHedge());
    }

    /** It may be sent there now, or once a cold server has room for it and what is out of it is recalled. */
    private boolean isEligible(Part p, Server s) {
        // Drains: nothing new from the moment we are told, so within any grace.
        if (!s.listed || s.status != Status.READY || !p.query.open || p.answered || p.closed
                || now >= p.query.deadlineAt || !mayRepeat(p)) {
            return false;
        }
        return p.attempts.stream().noneMatch(a -> !a.ended && a.server == s)
                && (p.attempts.isEmpty() || budgetLeft() >= 1);
    }

    /** Its attempts so far leave another: not all used, and what may have run may run again. */
    private boolean mayRepeat(Part p) {
        return p.attempts.size() < settings.allowed().maxAttempts() && mayRunAgain(p, p.attempts, now);
    }

    /** None of these attempts may have run, or its class allows a further one at that time. */
    private boolean mayRunAgain(Part p, List<Attempt> before, long at) {
        QueryClass c = settings.classes().get(p.query.queryClass);
        return before.stream().noneMatch(a -> a.mayHaveRun && (c.effect() == Effect.UNSAFE
                || c.effect() == Effect.KEYED && at - p.attempts.get(0).sentAt >= c.repeatWindow()
                - CHECK_INTERVAL_US));
    }

    /**
     * An attempt that was decided before is about to begin. Where it may, what the rules count of it counts
     * from now on.
     *
     * @return whether it may still begin: a part may be repeated for a while only, and within the budget
     */
    boolean tryBegin(long part, int attempt, long at) {
        Part p = parts.get(part);
        if (p == null || attempt >= p.attempts.size()
                || !mayRunAgain(p, p.attempts.subList(0, attempt), at)) {
            return false;
        }
        Attempt a = p.attempts.get(attempt);
        if (attempt > 0 && settings.rules().hasBudget() && !moveInBudget(a.countedAt, at)) {
            return false;
        }
        if (isCold(a.server)) {
            // Its permit is worked off from now on, not from the decision.
            a.server.slowStart.backlogParts += Math.min(classTimeFactor[p.query.queryClass],
                    (at - a.countedAt) / slowStartInterval(a.server));
        }
        a.countedAt = at;
        return true;
    }

    /** A further attempt counts later than when it was decided; false, and uncounted, where it may not. */
    private boolean moveInBudget(long countedAt, long at) {
        furtherAttemptTimes.removeLastOccurrence(countedAt);
        if (budgetLeft(at) < 1) {
            return false;
        }
        furtherAttemptTimes.add(at);
        return true;
    }

    private double budgetLeft() {
        return budgetLeft(now);
    }

    private double budgetLeft(long at) {
        if (!settings.rules().hasBudget()) {
            return Double.MAX_VALUE;
        }
        // A further attempt counts to the end of its window, what was taken to just before it. Oldest first.
        long from = at - settings.rules().budgetWindow();
        for (; !furtherAttemptTimes.isEmpty() && furtherAttemptTimes.peek() < from;
                furtherAttemptTimes.remove()) { }
        for (; !arrivalTimes.isEmpty() && arrivalTimes.peek() <= from; arrivalTimes.remove()) { }
        return settings.rules().budgetBase() + settings.rules().budgetShare() * arrivalTimes.size()
                - furtherAttemptTimes.size();
    }

    /**
     * A cold server's budget, as the time between our parts; the ramp is linear, so its middle stands for it.
     * All routers together may send it, in the stated span, multiple times capacity times span, as if it
     * warmed up slowest. Each waits between its parts, and begins with a debt drawn from its seed, so that
     * turns fall apart. One debt for all servers: a query's parts at several are sent in one turn or in none.
     */
    private double slowStartInterval(Server s) {
        Rules r = settings.rules();
        // What a warm one takes: as reports tell of busy ones, else by how parts' time rises with load.
        double lanes = Math.max(1, Math.min(MAX_SERVER_PARALLELISM, timeByLoad.intercept / Math.max(1,
                1.5 * timeByLoad.slope)));
        double full = busyRatePerSecond > 0 ? busyRatePerSecond / US_PER_SECOND
                : lanes / (timeByLoad.intercept + settings.callWork());
        double age = Math.max(0,
                Math.min(1, ((s.slowStart.backlogAt + now) / 2.0 - s.startedAt) / r.slowStartDuration()));
        double most = r.overloadMultiple() * (r.slowStartInitialCapacity()
                + (1 - r.slowStartInitialCapacity()) * age) * full * r.overloadWindow();
        return r.overloadWindow() * settings.instances() / maxMeanWithin(most, settings.instances(),
                SLOW_START_MARGIN_STDDEVS);
    }

    private boolean isCold(Server s) {
        return s.startedAt != 0 && settings.rules().overloadWindow() > 0
                && now - s.startedAt < settings.rules().slowStartDuration();
    }

    /** How long until our next part may go there: until what we sent it, in parts, is worked off by turns. */
    private double coldWait(Server s) {
        return isCold(s) ? Math.max(0, s.slowStart.backlogParts * slowStartInterval(s)
                - (now - s.slowStart.backlogAt)) : 0;
    }

    private void trySend(Part p) {
        Server s = chooseServer(p);
        // Rather a turn at a cold server soon than one that takes far longer now.
        if (s == null || holders(p).stream().anyMatch(h -> coldWait(h) > 0 && isEligible(p, h)
                && 2 * (coldWait(h) + expectedTime(h, p.query.queryClass)) < expectedTime(s,
                p.query.queryClass)) || mustAwaitProbe(p, s)) {
            return;
        }
        Attempt a = new Attempt();
        a.part = p;
        a.index = p.attempts.size();
        a.server = s;
        a.sentAt = now;
        a.countedAt = now;
        a.weight = 1 + cost(p, s);
        a.loadAtSend = estimatedLoad(s);
        a.expectedTime = expectedTime(s, p.query.queryClass);
        if (a.index > 0 && settings.rules().hasBudget()) {
            furtherAttemptTimes.add(now);
        }
        checkIdleConnection(a);
        if (isCold(s)) {
            s.slowStart.backlogParts = coldWait(s) / slowStartInterval(s)
                    + classTimeFactor[p.query.queryClass];
            s.slowStart.backlogAt = now;
        }
        p.attempts.add(a);
        p.inFlightCount++;
        s.inFlight.add(a);
        s.lastSendRound = roundCount;
        actions.add(new Send(p.id, s.id, 0));
    }

    /**
     * An idle connection may have been dropped unseen: what is sent on one gets no answer. Where more comes
     * to nothing after an idle time like this than on new connections, by more than their price, it is closed
     * first. Losses after shorter idle times count against it, answers after longer ones for it. Servers that
     * swallow everything, or answer late, do so on new ones too. May hurt: handshakes for seconds after.
     */
    private void checkIdleConnection(Attempt a) {
        Server s = a.server;
        int ticks = (int) Math.min(1 << IDLE_TIME_BUCKETS, (now - s.connectionUsedAt) / CHECK_INTERVAL_US);
        a.idleBucket = s.connectionUsedAt == NEVER ? 0 : !s.inFlight.isEmpty() || ticks == 0
                ? IDLE_BUCKET_IN_USE : Math.min(IDLE_TIME_BUCKETS - 1,
                32 - Integer.numberOfLeadingZeros(ticks));
        a.idleBucket = Math.max(a.idleBucket, s.staleIdleBucket);
        double bound = settings.prices().handshake() + FAILURE_COST * PRIOR_FAILURE_RATE;
        if (a.idleBucket > 0 && idleLossRate(1, a.idleBucket) - idleLossRate(0, 0) > bound) {
            actions.add(new CloseIdleConnections(s.id));
            a.idleBucket = 0;
        }
        s.connectionUsedAt = now;
        s.staleIdleBucket = IDLE_BUCKET_IN_USE;
    }

    private double idleLossRate(int from, int to) {
        double bad = 0;
        double all = PRIOR_LOCAL_WEIGHT;
        for (int i = from; i < (from == 0 ? 1 : IDLE_TIME_BUCKETS); i++) {
            double lost = i <= to ? outcomesByIdleBucket[i + 1].failures(now, RECENT_HALF_LIFE_US) : 0;
            bad += lost;
            all += lost + (i >= to ? outcomesByIdleBucket[i + 1].successes(now, RECENT_HALF_LIFE_US) : 0);
        }
        return bad / all;
    }

    /** Notes an attempt past the mark on a server that was sound when it was sent and is silent since. */
    private void noteIdleLoss(Attempt a) {
        boolean late = !a.ended && a.idleLossNotedAt == NEVER && now - a.sentAt > overdueRatio
                * a.expectedTime;
        if (late && a.server.lastAnswerAt < a.sentAt && a.expectedTime < MAX_HEALTHY_RATIO * nominalTime(a)) {
            a.idleLossNotedAt = now;
            outcomesByIdleBucket[a.idleBucket + 1].add(0, 1, now, RECENT_HALF_LIFE_US);
        }
    }

    // ---- what is observed

    /** How long a part takes: a line through what was seen at each load, scaled by class and server. */
    private double expectedTime(Server s, int cls) {
        return timeByLoad.predict(estimatedLoad(s)) * classTimeFactor[cls] * slowness(s);
    }

    /**
     * The one notion of a server's state that the score reads: how many times longer than usual a part of
     * this class takes there, by slowness and by the parts that come to nothing. A server that fails fast
     * looks idle, one that is silent for one class serves the others as usual. What a failure costs follows
     * how long failures take there; a part's last attempt costs the query.
     */
    private double penaltyFactor(Server s, int cls, boolean last) {
        double risk = failureProbability(s, cls);
        return slowness(s) * (1 + (last ? FAILURE_COST : s.failureCost) * risk / (1 - risk));
    }

    /** Chance that a part comes to nothing: of this class there, else of the server, else anywhere. */
    private double failureProbability(Server s, int cls) {
        double[] bad = new double[2];
        double[] all = new double[2];
        s.outcomesByClass.forEach((c, t) -> {
            for (int i = c == cls ? 0 : 1; i < 2; i++) {
                bad[i] += t.failures(now, OUTCOME_HALF_LIFE_US);
                all[i] += t.failures(now, OUTCOME_HALF_LIFE_US) + t.successes(now, OUTCOME_HALF_LIFE_US);
            }
        });
        for (Attempt a : s.inFlight) {
            int late = now - a.sentAt > overdueRatio * a.expectedTime ? 1 : 0;
            for (int i = a.part.query.queryClass == cls ? 0 : 1; i < 2; i++) {
                bad[i] += late;
                all[i] += late;
            }
        }
        double lost = globalOutcomes.failures(now, OUTCOME_HALF_LIFE_US);
        double usual = (lost + PRIOR_FAILURE_RATE * PRIOR_GLOBAL_WEIGHT) / (lost
                + globalOutcomes.successes(now, OUTCOME_HALF_LIFE_US) + PRIOR_GLOBAL_WEIGHT);
        double server = (bad[1] + usual * PRIOR_LOCAL_WEIGHT) / (all[1] + PRIOR_LOCAL_WEIGHT);
        return Math.min(0.99, (bad[0] + server * PRIOR_LOCAL_WEIGHT) / (all[0] + PRIOR_LOCAL_WEIGHT));
    }

    private void recordOutcome(Server s, int cls, boolean served) {
        s.outcomesByClass.computeIfAbsent(cls, c -> new DecayingCounts()).add(served ? 1 : 0, served ? 0 : 1,
                now, OUTCOME_HALF_LIFE_US);
        globalOutcomes.add(served ? 1 : 0, served ? 0 : 1, now, OUTCOME_HALF_LIFE_US);
    }

    private double slowness(Server s) {
        double known = Math.exp(decayedLogSlowness(s));
        for (Attempt a : s.inFlight) {
            known = Math.max(known, (now - a.sentAt) / nominalTime(a) / overdueRatio);
        }
        // A probe unanswered: standing still, hung, cut off, or deep in its queue.
        known *= s.probeInFlight && now - s.probedAt > probeTimeout(s) ? UNANSWERED_PROBE_SLOWNESS : 1;
        return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, known));
    }

    private double decayedLogSlowness(Server s) {
        return s.logSlowness * decayFactor(s.logSlownessAt, now, OUTCOME_HALF_LIFE_US);
    }

    private void recordSlowness(Attempt a, long elapsed) {
        double ratio = Math.max(MIN_SLOWNESS * MIN_SLOWNESS,
                Math.min(MAX_SLOWNESS, elapsed / nominalTime(a)));
        double seen = Math.log(ratio);
        double old = decayedLogSlowness(a.server);
        setLogSlowness(a.server, old + OUTCOME_EWMA_WEIGHT * (seen - old));
    }

    /** What an attempt would take on a server of ordinary speed with the load it had. */
    private double nominalTime(Attempt a) {
        return timeByLoad.predict(a.loadAtSend) * classTimeFactor[a.part.query.queryClass];
    }

    private void setLogSlowness(Server s, double log) {
        s.logSlowness = log;
        s.logSlownessAt = now;
    }

    private void updateOverdueRatio(double ratio) {
        overdueRatio = Math.max(MIN_OVERDUE_RATIO, Math.min(MAX_OVERDUE_RATIO, stepToQuantile(overdueRatio,
                ratio, OVERDUE_QUANTILE, QUANTILE_STEP)));
    }

    private void applyReport(Server s, double[] report, long at) {
        if (report.length > 0 && at >= s.reportAt) {
            applyReport(s, reportValue(report, ReportField.QUEUE), at);
            usualQueue += MEAN_EWMA_WEIGHT * (Double.isNaN(s.reportedQueue) ? 0 : s.reportedQueue
                    - usualQueue);
            double rate = reportValue(report, ReportField.RATE);
            if (rate > 0 && rate < US_PER_SECOND) {
                busyRatePerSecond = stepToQuantile(busyRatePerSecond > 0 ? busyRatePerSecond : rate, rate,
                        BUSY_RATE_QUANTILE, QUANTILE_STEP);
            }
        }
    }

    private double reportValue(double[] report, ReportField field) {
        int i = settings.reportFields().indexOf(field);
        return i < 0 || i >= report.length ? Double.NaN : report[i];
    }

    private void applyReport(Server s, double queue, long at) {
        s.reportAt = at;
        s.endedSinceReport = 0;
        s.reportedQueue = Double.isFinite(queue) && queue >= 0 ? queue : Double.NaN;
        s.peerLoad = s.peerAttempts.values().stream().mapToDouble(Decide::loadOf).sum();
    }

    private void endAttempt(AttemptEnded e) {
        Part p = parts.get(e.part());
        if (p == null || e.attempt() >= p.attempts.size() || p.attempts.get(e.attempt()).ended) {
            return;
        }
        Attempt a = p.attempts.get(e.attempt());
        Server s = a.server;
        a.ended = true;
        a.mayHaveRun = !e.outcome().neverRan;
        a.neverSent = e.outcome() == Outcome.NO_CONNECTION;
        p.inFlightCount--;
        p.query.nextCheckAt = now;
        s.inFlight.remove(a);
        s.endedSinceReport += a.sentAt < s.reportAt ? 1 : 0;
        s.connectionUsedAt = now;
        s.staleIdleBucket = a.idleLossNotedAt != NEVER && e.outcome() != Outcome.OK ? a.idleBucket
                : IDLE_BUCKET_IN_USE;
        applyReport(s, e.loadReport(), now);
        learn(a, e.outcome(), now, e.elapsed());
        if (e.outcome() == Outcome.OK) {
            outcomesByIdleBucket[a.idleBucket + 1].add(1, -decayFactor(a.idleLossNotedAt, now,
                    RECENT_HALF_LIFE_US), now, RECENT_HALF_LIFE_US);
            if (p.query.open && !p.closed) {
                p.answered = true;
                p.closed = true;
                p.query.anyPartAnswered = true;
            }
        }
        p.query.droppedAttempts += e.outcome() == Outcome.DROPPED ? 1 : 0;
        p.closed |= e.partClosed();
        if (p.answered) {
            p.attempts.forEach(this::cancel);
        }
        if (!p.query.open && p.inFlightCount == 0) {
            parts.remove(p.id);
        }
    }

    /** What the end of an attempt, our own or a peer's, tells of its server and of how long parts take. */
    private void learn(Attempt a, Outcome outcome, long at, long elapsed) {
        Server s = a.server;
        int cls = a.part.query.queryClass;
        if (outcome == Outcome.OK) {
            double line = timeByLoad.predict(a.loadAtSend);
            updateOverdueRatio(elapsed / Math.max(1, a.expectedTime));
            recordSlowness(a, elapsed);
            // The line is fitted to what all classes and servers took, so that their factors average one.
            double plain = Math.min(elapsed, MAX_OVERDUE_RATIO * nominalTime(a));
            timeByLoad.add(a.loadAtSend, plain, FIT_DECAY_PER_SAMPLE, MIN_INTERCEPT_SHARE);
            classTimeFactor[cls] += MEAN_EWMA_WEIGHT * (plain / line - classTimeFactor[cls]);
            s.lastAnswerAt = Math.max(s.lastAnswerAt, at);
            recordOutcome(s, cls, true);
        } else if (outcome == Outcome.CANCELLED || outcome == Outcome.TIMEOUT) {
            if (elapsed > a.expectedTime) {
                recordSlowness(a, elapsed);
                // cut short, so above the mark: else the mark would chase itself down
                updateOverdueRatio(Double.MAX_VALUE);
            }
            if (elapsed > overdueRatio * a.expectedTime && !a.cancelRequested) { // recalled: slow, not lost
                recordOutcome(s, cls, false);
                s.failureCost += OUTCOME_EWMA_WEIGHT * (FAILURE_COST - s.failureCost);
            }
        } else if (outcome != Outcome.MOOT) {
            recordOutcome(s, cls, false);
            s.failureCost += OUTCOME_EWMA_WEIGHT * (Math.min(FAILURE_COST, 1 + elapsed / nominalTime(a))
                    - s.failureCost);
            if (outcome == Outcome.FULL && at >= s.reportAt) {
                // Turned away: as good as a report that the queue is longer than believed. What was sent
                // before the last report tells nothing new; one after the other made it 350,000 parts.
                double longer = (a.sentAt < s.reportAt ? 1 : 2) * Math.max(usualQueue, estimatedLoad(s));
                applyReport(s, Math.min(MAX_QUEUE_MULTIPLE * usualQueue, longer), at);
            }
        }
    }

    // ---- what other instances of this process did

    private void addPeerAttempt(PeerAttemptSent e) {
        Server s = servers.get(e.replica());
        if (s == null || e.queryClass() >= classTimeFactor.length) {
            return;
        }
        hasPeers = true;
        Attempt a = new Attempt();
        a.part = new Part();
        a.part.query = new Query();
        a.part.query.queryClass = e.queryClass();
        a.part.shard = e.shard();
        a.part.key = e.key();
        a.part.hint = e.hint();
        a.server = s;
        a.sentAt = e.sentAt();
        a.waitsUntil = e.waitsUntil();
        a.weight = 1 + cost(a.part, s);
        a.loadAtSend = estimatedLoad(s);
        a.expectedTime = expectedTime(s, e.queryClass());
        s.peerAttempts.put(e.attempt(), a);
        s.peerLoad += loadOf(a);
    }

    /** Those whose ends were not heard of. They come about in order of time: only the first are looked at. */
    private void expirePeerAttempts(Server s) {
        while (!s.peerAttempts.isEmpty() && s.peerAttempts.values().iterator().next().waitsUntil <= now) {
            removePeerAttempt(s, s.peerAttempts.keySet().iterator().next());
        }
    }

    private Attempt removePeerAttempt(Server s, long attempt) {
        Attempt a = s.peerAttempts.remove(attempt);
        s.peerLoad = s.peerAttempts.isEmpty() ? 0 : s.peerLoad - (a == null ? 0 : loadOf(a));
        return a;
    }

    /** Its report counts from its time. What is older than reports last is no news of its server. */
    private void endPeerAttempt(PeerAttemptEnded e) {
        Server s = servers.get(e.replica());
        Attempt a = s == null ? null : removePeerAttempt(s, e.attempt());
        if (a != null) {
            s.endedSinceReport += a.sentAt < s.reportAt ? 1 : 0;
            applyReport(s, e.loadReport(), e.endedAt());
            if (now - e.endedAt() < REPORT_HALF_LIFE_US) {
                learn(a, e.outcome(), e.endedAt(), e.elapsed());
            }
        }
    }

    private void cancel(Attempt a) {
        if (!a.ended && !a.cancelRequested && settings.allowed().mayCancel()) {
            a.cancelRequested = true;
            actions.add(new Cancel(a.part.id, a.index));
        }
    }

    // ---- looking after open queries

    private void checkQueries() {
        if (hasPeers && now >= nextPeerExpiryAt) {
            nextPeerExpiryAt = now + CHECK_INTERVAL_US;
            servers.values().forEach(this::expirePeerAttempts);
        }
        // A query is looked at when something of it came in, else once a tick: looks at many parts cost CPU.
        queries.values().stream().filter(q -> now >= q.nextCheckAt).toList().forEach(this::finishIfDue);
        List<Part> waiting = new ArrayList<>();
        for (Query q : queries.values()) {
            boolean look = now >= q.nextCheckAt;
            q.nextCheckAt = look ? now + CHECK_INTERVAL_US : q.nextCheckAt;
            for (Part p : q.parts) {
                (look && p.inFlightCount > 0 ? p.attempts : List.<Attempt>of()).forEach(this::noteIdleLoss);
                if (!p.closed && p.inFlightCount == 0 ? now >= p.retryNotBefore
                        && (!isSuspect(q) || p.attempts.isEmpty())
                        : !p.closed && look && shouldTryElsewhere(p)) {
                    if (p.inFlightCount > 0 && !settings.allowed().mayHedge()) {
                        cancel(p.attempts.get(p.attempts.size() - 1));
                        // the word is there before the part is anywhere else
                        p.retryNotBefore = now + CHECK_INTERVAL_US;
                    } else {
                        waiting.add(p);
                    }
                }
            }
        }
        waiting.sort(Comparator.comparingDouble((Part p) -> p.attempts.isEmpty() ? -1e9
                : -worthPerPart(p.query)));
        waiting.stream().filter(p -> !waitsForCanary(p.query)).forEach(this::trySend);
    }

    /**
     * Parts of it brought down what took them, and none was answered: the query is suspect, not the servers.
     * It sends nothing again until a part is answered; a query of one part may try once more.
     */
    private boolean isSuspect(Query q) {
        return !q.anyPartAnswered && q.droppedAttempts >= (q.parts.size() > 1 ? 1 : 2);
    }

    /** While servers die unannounced, one part leads: a query that kills takes one server along. */
    private boolean waitsForCanary(Query q) {
        if (!q.canaryFirst || q.anyPartAnswered) {
            return false;
        }
        return q.droppedAttempts > 1 || q.parts.stream().flatMap(p -> p.attempts.stream())
                .anyMatch(a -> !a.ended && now - a.sentAt < CANARY_HOLD_SHARE * a.expectedTime);
    }

    private double worthPerPart(Query q) {
        return settings.classes().get(q.queryClass).worth() / Math.max(1, q.parts.stream()
                .filter(p -> !p.answered).count());
    }

    /**
     * Elsewhere it would be in time and sooner: its server is silent past the mark, or it is the last
     * call. Where no two may be out it is recalled first, if a warm server would not take so long for it.
     */
    private boolean shouldTryElsewhere(Part p) {
        Attempt a = p.attempts.get(p.attempts.size() - 1);
        boolean copies = settings.allowed().mayHedge();
        double age = now - a.sentAt;
        if (!copies && (isCold(a.server) || !settings.allowed().mayCancel()) || p.inFlightCount > 1 || a.ended
                || a.cancelRequested || age <= (copies ? a.expectedTime : MAX_OVERDUE_RATIO
                * Math.max(nominalTime(a), a.expectedTime))) {
            return false;
        }
        double other = holders(p).stream().filter(s -> isEligible(p, s) && coldWait(s) <= 0)
                .mapToDouble(s -> expectedTime(s, p.query.queryClass)).min().orElse(Double.MAX_VALUE);
        // A busy server goes on answering others and will come to this part: only a silent one is given up.
        double silent = now - Math.max(a.sentAt, a.server.lastAnswerAt);
        return (copies ? age > overdueRatio * a.expectedTime && silent > 2 * timeByLoad.intercept
                || p.query.aimAt - now < HEDGE_TIME_LEFT_MULTIPLE * other : silent >= age) && 2 * other < age
                && now + other < p.query.aimAt;
    }

    private void finishIfDue(Query q) {
        QueryClass c = settings.classes().get(q.queryClass);
        // Nothing of it is out, and nothing is sent again while it is suspect: no answer is left to wait for.
        boolean killed = q.droppedAttempts > 1;
        if (isSuspect(q) && q.parts.stream().allMatch(p -> p.inFlightCount == 0
                && (killed || !p.attempts.isEmpty()))) {
            if (q.key != 0 && killed) {
                suspectKeys.put(q.key, now);
            }
            giveUp(q, Reason.SUSPECT);
            return;
        }
        List<Part> step = q.parts.stream().filter(p -> p.step == q.step).toList();
        double stepIn = step.stream().filter(p -> p.answered).mapToDouble(p -> p.weight).sum();
        boolean all = step.stream().allMatch(p -> p.answered);
        int count = step.size();
        boolean whole = q.step == 1 ? all && count >= q.expectedParts || c.need() < 1 && stepIn >= c.need()
                - 1e-4 : all && count > 0;
        if (whole) {
            if (q.step == 1) {
                recordOverrun(q);
            }
            answer(q, q.step == 1 || q.firstStepWhole);
            return;
        }
        // What is in earns most if it reaches the client by the aim; waiting on earns the late worth at most.
        boolean inTime = q.aimAt > q.arrivedAt;
        double follows = q.step == 1 && c.followUp() > 0 ? overdueRatio * timeByLoad.intercept
                * classTimeFactor[q.queryClass] : 0;
        boolean enough = c.floor() < 1 && count > 0 && stepIn >= c.floor() - 1e-4;
        // Without enough parts that may still come in the query is lost: it ends at once, and saves work.
        double within = step.stream().filter(p -> p.answered || !p.closed
                && (p.inFlightCount > 0 || mayRepeat(p))).mapToDouble(p -> p.weight).sum();
        int known = q.step == 1 ? q.expectedParts : 1;
        // What no server ever had is refused before half the client's time: later that costs worth.
        boolean half = now >= (q.arrivedAt + q.deadlineAt) / 2 - 2 * CHECK_INTERVAL_US;
        boolean unsent = half && step.stream().flatMap(p -> p.attempts.stream()).allMatch(a -> a.neverSent);
        boolean lost = count >= known && (unsent || within < Math.min(c.need(), c.floor()) - 1e-4);
        boolean due = inTime && now >= q.aimAt - 2 * CHECK_INTERVAL_US - follows
                && c.partialWorth() * stepIn / c.need() >= c.lateWorth();
        long until = c.lateWorth() > 0 || !inTime ? q.deadlineAt : q.aimAt;
        if (enough && due || lost || now >= Math.min(until, q.deadlineAt - 2 * CHECK_INTERVAL_US)) {
            recordOverrun(q);
            if (enough) {
                answer(q, false);
            } else {
                giveUp(q, !lost ? Reason.TIME_OVER : unsent ? Reason.NEVER_SENT : Reason.NO_ATTEMPT_LEFT);
            }
        }
    }

    private void answer(Query q, boolean whole) {
        actions.add(new Answer(q.id, whole));
        if (q.step == 1 && settings.classes().get(q.queryClass).followUp() > 0) {
            q.step = 2;
            q.firstStepWhole = whole;
            for (Part p : q.parts) {
                p.closed = true;
                p.attempts.forEach(this::cancel);
            }
            return;
        }
        close(q);
    }

    /** The one place that ends a query without an answer: refused where that is provably harmless. */
    private void giveUp(Query q, Reason reason) {
        Effect effect = settings.classes().get(q.queryClass).effect();
        boolean harmless = effect == Effect.SAFE || q.parts.stream()
                .allMatch(p -> p.attempts.stream().noneMatch(a -> a.mayHaveRun));
        if (q.key != 0) {
            firstTryOfGivenUp.put(List.of((long) q.queryClass, q.key), q.firstTryAt);
            firstTryOfGivenUp.entrySet().removeIf(g -> now - g.getValue()
                    > settings.classes().get(g.getKey().get(0).intValue()).deadline());
        }
        if (harmless) {
            // Room is expected once queues are shorter by what it would be late, if within the aim.
            double late = q.predictedTime * overrunFactor() - (q.aimAt - now);
            boolean sooner = late > 0 && now + late + timeByLoad.intercept * classTimeFactor[q.queryClass]
                    < q.aimAt;
            double most = settings.allowed().mayAdviseRetryAfter() ? settings.allowed().maxRetryAfter() : 0;
            actions.add(new Refuse(q.id, (long) Math.min(most, sooner ? Math.max(late, timeByLoad.intercept)
                    : most), reason));
        } else {
            actions.add(new Fail(q.id, reason));
        }
        close(q);
    }

    private void close(Query q) {
        q.open = false;
        queries.remove(q.id);
        queriesByNumber.remove(q.number, q);
        for (Part p : q.parts) {
            p.closed = true;
            p.attempts.forEach(this::cancel);
            if (p.inFlightCount == 0) {
                parts.remove(p.id);
            }
        }
    }

    // ---- probes

    /**
     * Before a part is sent, its server is asked whether it answers, unless it was heard of just now: a slow,
     * hung or standing server shows at once, and the part goes elsewhere. True while the answer is awaited.
     */
    private boolean mustAwaitProbe(Part p, Server s) {
        if (!settings.allowed().mayProbe()) {
            return false;
        }
        if (s.probeInFlight) {
            return now - s.probedAt < probeTimeout(s);
        }
        if (p.probesSent >= MAX_PROBES_PER_PART || probeTokens < 1 || now - Math.max(s.probedAt,
                s.lastAnswerAt) < FRESHNESS_US) {
            return false;
        }
        probeTokens--;
        p.probesSent++;
        s.probeInFlight = true;
        s.probedAt = now;
        actions.add(new Probe(s.id));
        return true;
    }

    private double probeTimeout(Server s) {
        return Math.max(CHECK_INTERVAL_US / 2.0, PROBE_OVERDUE_MULTIPLE * usualProbeTimeByZone.getOrDefault(
                s.zone, 0.0));
    }

    private void applyProbe(long replica, Outcome outcome, long at, long elapsed, double[] report) {
        Server s = servers.get(replica);
        if (s == null) {
            return;
        }
        s.probeInFlight = false;
        if (!s.listed && s.inFlight.isEmpty()) {
            servers.remove(s.id);
        }
        if (outcome == Outcome.OK) {
            // One that takes long tells of a slow server, one far longer has waited; a quick one may come
            // from beside the queue: what parts told stands. Distance passes for slowness but for zones.
            double took = Math.max(1, elapsed);
            double usual = usualProbeTimeByZone.merge(s.zone, took, (was, is) -> stepToQuantile(was, is, 0.5,
                    QUANTILE_STEP));
            double ratio = took / usual;
            if (ratio < MAX_SLOWNESS && ratio >= MAX_HEALTHY_RATIO) {
                setLogSlowness(s, Math.max(decayedLogSlowness(s), Math.log(ratio)));
            }
            applyReport(s, report, at);
        } else if (outcome.neverRan) {
            recordOutcome(s, NO_CLASS, false);
        } else {
            setLogSlowness(s, decayedLogSlowness(s) + Math.log(UNANSWERED_PROBE_SLOWNESS));
        }
    }
}
