package burlford.policy;

import static burlford.policy.Measure.follow;
import static burlford.policy.Measure.kept;
import static burlford.policy.Measure.meanWithin;
import static burlford.policy.Measure.mixed;

import burlford.policy.Measure.Line;
import burlford.policy.Measure.Tally;
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
    private static final long SECOND = 1_000_000;
    private static final int NO_CLASS = -1;

    // ---- the design's figures
    /** Weight of load is 1/delta; the paper's experiments use 0.05, the low end of its 5 to 30%. */
    static final double DELTA = 0.05;
    /** Where crossing zones has a price the cost term carries it too and weighs more, within that range. */
    private static final double DELTA_PRICED = 0.2;
    private static final double HOME_COST = 0.5;

    // ---- our own constants
    /** How often open queries are looked at; a few looks fit in any time-out worth having. */
    private static final long TICK = SECOND / 40;
    /** Before anything was observed, a part takes this share of its class's aim. */
    private static final double PRIOR_SHARE = 0.1;
    /** The line of time over load forgets at this rate (200 outcomes); it starts at this share at least. */
    private static final double FORGET = 0.995;
    private static final double LEAST_BASE = 0.25;
    /** Shared means move so far with each value; marks by so much of themselves, weighted by the quantile. */
    private static final double DRIFT = 0.02;
    private static final double STEP = 0.1;
    /** How long overruns are remembered; of a server's speed the weight of a new outcome, and bounds. */
    private static final double HALF_LIFE = 4.0 * SECOND;
    private static final double NEWEST = 0.25;
    private static final double SLOWEST = 20;
    private static final double FASTEST = 0.5;
    /** A report counts half after so long: a few parts' time, in which a queue is another. */
    private static final double REPORT_LIFE = SECOND;
    /** No queue, and for each part of ours none of others, is believed longer than so many usual ones. */
    private static final double LONGEST_QUEUE = 64;
    private static final double MOST_OTHERS = 4;
    /** Outcomes count half after so long: about as long as trouble lasts, so that few parts try it again. */
    private static final double TRUST_LIFE = 10.0 * SECOND;
    /** A part that comes to nothing costs so many times its usual time: the wait, and the query it is of. */
    static final double FAILURE_COST = 10;
    /** Share of parts that come to nothing where nothing is known; its weight and the peers' in outcomes. */
    private static final double PRIOR_RISK = 0.01;
    private static final double PRIOR_FLEET = 20;
    private static final double PRIOR_PEERS = 1;
    /** Classes of idle time, each twice the one before, from one look on. */
    private static final int IDLE_CLASSES = 12;
    private static final int IN_USE = -1;
    /** Quantile of elapsed over expected past which an attempt is overdue, and the bounds of that mark. */
    private static final double OVERDUE_QUANTILE = 0.97;
    private static final double EARLIEST = 1.5;
    private static final double LATEST = 4;
    /** A copy is worth sending while the time left holds this many times its own: most parts take less. */
    private static final double LAST_CALL = 4;
    /** What may go on probes, as a share of the result at their price; how many at most for one part. */
    private static final double PROBE_SPEND = 0.012;
    private static final int PROBES_OF_PART = 2;
    /** A server heard of in this time is not asked again. */
    private static final long FRESH = SECOND / 4;
    /** A probe is overdue after so many times its usual time; its server then counts so many times slower. */
    private static final double PROBE_PATIENCE = 8;
    private static final double UNANSWERED = 4;
    /** A probe that takes fewer times its usual time than this tells of a sound server. */
    private static final double PROBE_NOISE = 2;
    /** List calls that failed are repeated after this, doubled each time up to 16 times, with jitter. */
    private static final long LIST_RETRY = SECOND / 2;
    /** Queries with the key of one that brought servers down are turned away for so long. */
    private static final long SUSPECT_LIFE = 30 * SECOND;
    /** Where a larger share of servers died unannounced of late, a first part leads by so much of its own. */
    private static final double CRASH_SHARE = 0.03;
    private static final double LEAD = 0.5;
    /** Routers' turns at a cold server are kept so many spreads of their sum under what the rule allows. */
    private static final double SPREADS = 2;
    /** A server is never credited with serving more parts than this at once without loss. */
    private static final double MOST_LANES = 2;
    /** Of the rates reported, this quantile is what a busy server takes. */
    private static final double BUSY_QUANTILE = 0.9;
    /** Queries are taken when this share of them would end in time. */
    private static final double STRETCH_QUANTILE = 0.7;
    private static final double LONGEST_STRETCH = 10;
    /** There is room while queries are expected to take no more than this share of their aim. */
    private static final double ROOM = 0.5;

    private final Settings set;
    private final SplittableRandom random;
    private final Map<Long, Server> servers = new LinkedHashMap<>();
    private final Map<Long, Query> queries = new LinkedHashMap<>();
    private final Map<Long, Query> byNumber = new LinkedHashMap<>();
    private final Map<Long, Part> parts = new LinkedHashMap<>();
    private final List<List<Server>> holders = new ArrayList<>();
    private ArrayDeque<Long> extras = new ArrayDeque<>();
    private ArrayDeque<Long> taken = new ArrayDeque<>();
    private Map<Long, SlowStart> slowStarts = new LinkedHashMap<>();
    private final Map<List<Long>, Long> gaveUp = new LinkedHashMap<>();
    private final Map<Long, Long> suspects = new LinkedHashMap<>();
    private final List<Query> fresh = new ArrayList<>();
    private final long[] usualTry;
    private final double[] scale;
    private final Line time = new Line();
    private final Tally fleet = new Tally();
    private final Tally crashes = new Tally();
    private StartTimes starts = new StartTimes();
    private final Tally[] idle = new Tally[IDLE_CLASSES + 1];
    private double overdue = 3;
    private double stretch = 1;
    private long stretchAt = NEVER;
    private double meanHint;
    private long rounds;
    private long now = NEVER;
    private long alarmAt = NEVER;
    private long expireAt = NEVER;
    private boolean hasPeers;
    private long listCallAt = NEVER;
    private int listFailures;
    private boolean hadList;
    private double probeTokens;
    private double usualQueue = 1;
    private double usualGain;
    /** Parts a second that busy servers report; 0 where reports do not tell. */
    private double busyRate;
    private final Map<Integer, Double> usualProbe = new LinkedHashMap<>();
    private final double phase;
    private List<Action> out = new ArrayList<>();

    public Decide(Settings settings, long seed) {
        set = settings;
        random = new SplittableRandom(seed);
        scale = new double[settings.classes().size()];
        Arrays.fill(scale, 1);
        usualTry = new long[scale.length];
        phase = random.nextDouble();
        double aim = settings.classes().stream().mapToDouble(QueryClass::aim).min().orElse(SECOND);
        for (int load = 0; load < 4; load++) {
            time.add(load, aim * PRIOR_SHARE * (1 + load / 2.0), FORGET, LEAST_BASE);
        }
        Arrays.setAll(idle, i -> new Tally());
        holders.addAll(Collections.nCopies(settings.shards(), List.of()));
        listCallAt = settings.askForList() ? 0 : NEVER;
    }

    /**
     * Shares what the rules count with the module that this one replaces, which goes on with its queries:
     * permits at servers in slow start, and further attempts with what they are a share of. Both know the
     * same list.
     */
    void inherit(Decide before) {
        extras = before.extras;
        taken = before.taken;
        starts = before.starts;
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
        rounds++;
        out = new ArrayList<>();
        events.forEach(this::take);
        if (listCallAt != NEVER && listCallAt <= now) {
            out.add(new WatchList());
            listCallAt = NEVER;
        }
        fresh.stream().filter(q -> q.open).forEach(this::admit);
        fresh.clear();
        review();
        if (alarmAt <= now && (!queries.isEmpty() || listCallAt != NEVER)) {
            alarmAt = now + TICK;
            out.add(new SetAlarm(0, TICK));
        }
        return out;
    }

    private void take(Event event) {
        if (event instanceof Replicas e) {
            list(e);
        } else if (event instanceof QueryIn e) {
            query(e);
        } else if (event instanceof PartIn e) {
            part(e);
        } else if (event instanceof AttemptEnd e) {
            ended(e);
        } else if (event instanceof ClientLeft e && queries.containsKey(e.query())) {
            close(queries.get(e.query()));
        } else if (event instanceof Probed e) {
            probed(e.replica(), e.outcome(), now, e.elapsed(), e.report());
        } else if (event instanceof PeerSent e) {
            peerSent(e);
        } else if (event instanceof PeerEnd e) {
            peerEnd(e);
        } else if (event instanceof PeerProbed e && servers.containsKey(e.replica())) {
            servers.get(e.replica()).probedAt = Math.max(servers.get(e.replica()).probedAt, e.at());
            probed(e.replica(), e.outcome(), e.at(), e.elapsed(), e.report());
        } else if (event instanceof PeersLost) {
            servers.values().forEach(s -> List.copyOf(s.theirs.keySet()).forEach(a -> forget(s, a)));
        }
    }

    // ---- the list of servers

    private void list(Replicas e) {
        if (e.kind() == ListKind.FAILED) {
            long wait = LIST_RETRY << Math.min(listFailures++, 4);
            listCallAt = now + wait / 2 + random.nextLong(wait);
            return;
        }
        if (e.kind() != ListKind.CACHED) {
            listFailures = 0;
        }
        if (e.kind() != ListKind.CHANGES) {
            servers.values().forEach(s -> s.listed = false);
        }
        if (!hadList) {
            starts.first(now, e.entries().stream().mapToLong(Listed::startedAt).max().orElse(0));
        }
        for (Listed entry : e.entries()) {
            boolean known = servers.containsKey(entry.replica());
            Server s = servers.computeIfAbsent(entry.replica(), id -> new Server());
            boolean anew = known && entry.startedAt() != 0 && entry.startedAt() != s.toldStart;
            if (known && s.status == Status.READY && (anew || entry.status() == Status.GONE)) {
                crashes.add(0, 1, now, TRUST_LIFE);
            }
            if (!known || anew) {
                // A server that turns up later without a time of start has just started, for all we know.
                // What was known of one that started anew is void.
                s.id = entry.replica();
                s.toldStart = entry.startedAt();
                s.startedAt = hadList ? starts.ofNoticed(now, s.toldStart) : starts.ofFirst(s.toldStart);
                s.reportAt = NEVER;
                s.endedSince = 0;
                s.slowAt = NEVER;
                s.trust.clear();
                s.slowStart = slowStarts.computeIfAbsent(s.id, id -> new SlowStart());
                s.slowStart.debt = phase;
                s.slowStart.at = now;
            }
            s.zone = entry.zone();
            s.cell = entry.cell();
            s.status = entry.status();
            s.listed = entry.status() != Status.GONE;
        }
        hadList = true;
        for (int shard = 0; shard < set.shards(); shard++) {
            int first = shard;
            holders.set(shard, servers.values().stream().filter(s -> s.listed
                    && Math.floorMod(s.cell - first, set.cells()) < set.reach()).toList());
        }
        servers.values().removeIf(s -> !s.listed && s.out.isEmpty() && !s.probing);
        slowStarts.keySet().retainAll(servers.keySet());
    }

    // ---- queries and parts coming in

    private void query(QueryIn e) {
        if (e.queryClass() >= scale.length) {
            throw new IllegalArgumentException("query of an unknown class: " + e.queryClass());
        }
        Query q = new Query();
        QueryClass c = set.classes().get(e.queryClass());
        q.id = e.query();
        q.number = e.number();
        q.cls = e.queryClass();
        q.tenant = e.tenant();
        q.key = e.key();
        q.expected = e.parts();
        q.arrivedAt = now;
        q.endsAt = now + e.timeLeft();
        q.clientRetry = e.clientRetry();
        // A client's later try has a shorter time left than its first ones, and its aim runs from the first.
        // The usual time left is followed in small steps: one odd client must not age all first tries.
        long step = c.deadline() / 50;
        if (!e.clientRetry()) {
            long off = e.timeLeft() - usualTry[q.cls];
            usualTry[q.cls] += usualTry[q.cls] == 0 ? off : Math.max(-step, Math.min(step, off));
        }
        boolean later = (e.clientRetry() || !set.retriesMarked())
                && e.timeLeft() < usualTry[q.cls] - c.deadline() / 20;
        q.guessed = later && !e.clientRetry();
        long spent = later ? Math.max(0, c.deadline() - e.timeLeft()) : 0;
        // A marked later try of a query we gave up is known again by its key; its aim runs from the first.
        Long first = q.key == 0 || !q.clientRetry ? null : gaveUp.remove(List.of((long) q.cls, q.key));
        q.firstAt = Math.min(now - spent, first == null ? now : first);
        q.aimAt = Math.min(q.endsAt, q.firstAt + c.aim());
        queries.put(q.id, q);
        byNumber.put(q.number, q);
        fresh.add(q);
        took();
    }

    private void part(PartIn e) {
        Query q = byNumber.get(e.number());
        took();
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
            meanHint = meanHint == 0 ? e.hint() : meanHint + (e.hint() - meanHint) * DRIFT;
        }
        q.parts.add(p);
        q.lookAt = now;
        parts.put(p.id, p);
        probeTokens = Math.min(probeTokens + PROBE_SPEND / set.prices().probe(), servers.size());
    }

    private void took() {
        if (set.rules().hasBudget()) {
            taken.add(now);
        }
    }

    /**
     * Sheds at once what cannot finish by its aim. Parts that would be late are not asked at all where the
     * others are enough for an answer: shards in trouble are relieved, and the query need not wait for them.
     */
    private void admit(Query q) {
        QueryClass c = set.classes().get(q.cls);
        double longest = 1;
        double spare = 1 - c.floor();
        List<Part> late = new ArrayList<>();
        for (Part p : q.parts) {
            // A draining holder helps nobody, a cold one when our turn comes. Silence is no reason to turn
            // away, slowness by outcomes is: probes wait in deep queues too, so busy servers report none.
            double takes = holders(p).stream().filter(s -> couldStart(p, s)).mapToDouble(s -> coldWait(s) +
                    time.at(believed(s)) * scale[q.cls] * Math.exp(Math.max(0, faded(s)))).min().orElse(0);
            if (q.aimAt - now < takes * stretch() && p.weight < spare) {
                spare -= p.weight;
                late.add(p);
            } else {
                longest = Math.max(longest, takes);
            }
        }
        q.predicted = longest;
        // Overrun counts less against a query that brings more for each part than usual: it is shed last.
        usualGain += Math.min(1, DRIFT * q.parts.size()) * (gain(q) - usualGain);
        double asked = longest * (1 + (stretch() - 1) * Math.min(1, usualGain / gain(q)));
        // A short time left may be its client's way: while there is room it is served like a first try.
        if (q.guessed && asked < c.aim() * ROOM) {
            q.firstAt = now;
            q.aimAt = Math.min(q.endsAt, now + c.aim());
        }
        suspects.values().removeIf(at -> now - at > SUSPECT_LIFE);
        // With nothing out nothing is learnt: one is tried, or times learnt in a bad moment stay for good.
        if (q.aimAt - now < asked && (q.aimAt <= now || now - stretchAt <= FRESH
                || parts.values().stream().anyMatch(p -> p.out > 0)) || suspects.containsKey(q.key)) {
            giveUp(q, suspects.containsKey(q.key) ? Reason.SUSPECT : Reason.EXPECTED_LATE);
        } else {
            late.forEach(p -> p.over = true);
        }
        q.oneAhead = q.parts.size() > 1 && crashes.bad(now, TRUST_LIFE) > CRASH_SHARE * servers.size();
    }

    /** How far queries overran what was predicted when taken; fades when nothing more is seen. */
    private double stretch() {
        return 1 + (stretch - 1) * kept(stretchAt, now, HALF_LIFE);
    }

    private void overran(Query q) {
        // Bounded: queries that silent readers kept took hundreds of times as long, and all were shed.
        stretch = Math.max(1, Math.min(LONGEST_STRETCH,
                follow(stretch(), (now - q.arrivedAt) / q.predicted, STRETCH_QUANTILE, STEP)));
        stretchAt = now;
    }

    // ---- the score

    private List<Server> holders(Part p) {
        return p.shard < holders.size() ? holders.get(p.shard) : List.of();
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
        long key = p.key != 0 ? p.key : (p.query.cls + 1L) * 0x9E3779B97F4A7C15L + p.shard;
        Server home = null;
        long highest = 0;
        boolean homeNear = false;
        for (Server s : holders(p)) {
            long h = mixed(key, s.id);
            boolean near = set.prices().crossZone() > 0 && s.zone == set.zone();
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
        for (Attempt a : s.out) {
            load += inLoad(a);
        }
        return load + s.theirLoad;
    }

    private static double inLoad(Attempt a) {
        return a.sentAt >= a.server.reportAt ? a.weight : Double.isNaN(a.server.reportedQueue) ? 1 : 0;
    }

    /**
     * Exception to step 3, in its own terms: the load compared is the counter as it would be with this part
     * on it, times how much slower than its peers the server is, less the part itself. Where connections
     * are priced, one never used and one never heard of count a usual queue each: all were drawn to all.
     */
    private double felt(Server s, int cls, double weight, boolean last) {
        double call = set.callWork() > 0 && s.calledRound == rounds ? set.callWork() / time.base : 0;
        double anew = set.prices().handshake() == 0 ? 0 : (s.usedAt == NEVER ? usualQueue : 0)
                + (s.reportAt == NEVER ? usualQueue : 0);
        return (believed(s) + anew + weight - Math.min(call, weight)) * condition(s, cls, last) - weight;
    }

    /**
     * The counter as far as it can be believed: a report also counts our own parts that have ended since, and
     * one below what we have out there (late, or from a server that errs) counts no less than that. Others
     * see it too, and piled onto the server it shows idle: each is taken to have out what we have, less what
     * is known of peers; of hundreds that tells little, so all of them no more than some usual queues.
     */
    private double believed(Server s) {
        double load = load(s) - s.endedSince;
        if (s.reportAt != NEVER && !Double.isNaN(s.reportedQueue)) {
            load += (usualQueue - s.reportedQueue + s.endedSince) * (1 - kept(s.reportAt, now, REPORT_LIFE));
        }
        double each = Math.min(set.instances() - 1, MOST_OTHERS * usualQueue);
        double others = Math.max(0, each * s.out.size() - s.theirs.size());
        return Math.max(load, s.out.size() + s.theirs.size()) + others;
    }

    /**
     * DESIGN step 3 over the servers that may be sent this part; null when there is none. One that has failed
     * it already is taken only where no other is left: one that errs at once got all of its attempts in 2 ms.
     */
    private Server choose(Part p) {
        Map<Server, Double> may = new LinkedHashMap<>();
        double mostCost = 0;
        double mostLoad = 0;
        List<Server> able = holders(p).stream().filter(s -> mayStart(p, s)).toList();
        List<Server> untried = able.stream().filter(s -> p.attempts.stream()
                .noneMatch(a -> a.server == s && a.mayHaveRun)).toList();
        boolean last = p.attempts.size() + 1 >= set.allowed().attempts();
        for (Server s : untried.isEmpty() ? able : untried) {
            double cost = cost(p, s);
            double load = felt(s, p.query.cls, 1 + cost, last);
            may.put(s, load);
            mostCost = Math.max(mostCost, cost);
            mostLoad = Math.max(mostLoad, load);
        }
        Server best = null;
        double lowest = 0;
        int ties = 0;
        for (Map.Entry<Server, Double> e : may.entrySet()) {
            double score = score(cost(p, e.getKey()), mostCost, e.getValue(), mostLoad,
                    set.prices().crossZone() > 0 ? DELTA_PRICED : DELTA);
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
    private boolean mayStart(Part p, Server s) {
        return couldStart(p, s) && coldWait(s) <= 0 && (p.out == 0 || set.allowed().secondCopies());
    }

    /** It may be sent there now, or once a cold server has room for it and what is out of it is recalled. */
    private boolean couldStart(Part p, Server s) {
        // Drains: nothing new from the moment we are told, so within any grace.
        if (!s.listed || s.status != Status.READY || !p.query.open || p.in || p.over
                || now >= p.query.endsAt || !repeatable(p)) {
            return false;
        }
        return p.attempts.stream().noneMatch(a -> !a.ended && a.server == s)
                && (p.attempts.isEmpty() || budgetLeft() >= 1);
    }

    /** Its attempts so far leave another: not all used, and what may have run may run again. */
    private boolean repeatable(Part p) {
        return p.attempts.size() < set.allowed().attempts() && mayRunAgain(p, p.attempts, now);
    }

    /** None of these attempts may have run, or its class allows a further one at that time. */
    private boolean mayRunAgain(Part p, List<Attempt> before, long at) {
        QueryClass c = set.classes().get(p.query.cls);
        return before.stream().noneMatch(a -> a.mayHaveRun && (c.effect() == Effect.UNSAFE
                || c.effect() == Effect.KEYED && at - p.attempts.get(0).sentAt >= c.repeatWindow() - TICK));
    }

    /**
     * An attempt that was decided before is about to begin. Where it may, what the rules count of it counts
     * from now on.
     *
     * @return whether it may still begin: a part may be repeated for a while only, and within the budget
     */
    boolean begin(long part, int attempt, long at) {
        Part p = parts.get(part);
        if (p == null || attempt >= p.attempts.size()
                || !mayRunAgain(p, p.attempts.subList(0, attempt), at)) {
            return false;
        }
        Attempt a = p.attempts.get(attempt);
        if (attempt > 0 && set.rules().hasBudget() && !moveInBudget(a.countedAt, at)) {
            return false;
        }
        if (cold(a.server)) {
            // Its permit is worked off from now on, not from the decision.
            a.server.slowStart.debt += Math.min(scale[p.query.cls], (at - a.countedAt) / turn(a.server));
        }
        a.countedAt = at;
        return true;
    }

    /** A further attempt counts later than when it was decided; false, and uncounted, where it may not. */
    private boolean moveInBudget(long countedAt, long at) {
        extras.removeLastOccurrence(countedAt);
        if (budgetLeft(at) < 1) {
            return false;
        }
        extras.add(at);
        return true;
    }

    private double budgetLeft() {
        return budgetLeft(now);
    }

    private double budgetLeft(long at) {
        if (!set.rules().hasBudget()) {
            return Double.MAX_VALUE;
        }
        // A further attempt counts to the end of its window, what was taken to just before it. Oldest first.
        long from = at - set.rules().budgetWindow();
        for (; !extras.isEmpty() && extras.peek() < from; extras.remove()) { }
        for (; !taken.isEmpty() && taken.peek() <= from; taken.remove()) { }
        return set.rules().budgetFree() + set.rules().budgetShare() * taken.size() - extras.size();
    }

    /**
     * A cold server's budget, as the time between our parts; the ramp is linear, so its middle stands for it.
     * All routers together may send it, in the stated span, multiple times capacity times span, as if it
     * warmed up slowest. Each waits between its parts, and begins with a debt drawn from its seed, so that
     * turns fall apart. One debt for all servers: a query's parts at several are sent in one turn or in none.
     */
    private double turn(Server s) {
        Rules r = set.rules();
        // What a warm one takes: as reports tell of busy ones, else by how parts' time rises with load.
        double lanes = Math.max(1, Math.min(MOST_LANES, time.base / Math.max(1, 1.5 * time.slope)));
        double full = busyRate > 0 ? busyRate / SECOND : lanes / (time.base + set.callWork());
        double age = Math.max(0, Math.min(1, ((s.slowStart.at + now) / 2.0 - s.startedAt) / r.cold()));
        double most = r.tipMultiple() * (r.coldFrom() + (1 - r.coldFrom()) * age) * full * r.fall();
        return r.fall() * set.instances() / meanWithin(most, set.instances(), SPREADS);
    }

    private boolean cold(Server s) {
        return s.startedAt != 0 && set.rules().fall() > 0 && now - s.startedAt < set.rules().cold();
    }

    /** How long until our next part may go there: until what we sent it, in parts, is worked off by turns. */
    private double coldWait(Server s) {
        return cold(s) ? Math.max(0, s.slowStart.debt * turn(s) - (now - s.slowStart.at)) : 0;
    }

    private void send(Part p) {
        Server s = choose(p);
        // Rather a turn at a cold server soon than one that takes far longer now.
        if (s == null || holders(p).stream().anyMatch(h -> coldWait(h) > 0 && couldStart(p, h)
                && 2 * (coldWait(h) + expected(h, p.query.cls)) < expected(s, p.query.cls)) || asked(p, s)) {
            return;
        }
        Attempt a = new Attempt();
        a.part = p;
        a.index = p.attempts.size();
        a.server = s;
        a.sentAt = now;
        a.countedAt = now;
        a.weight = 1 + cost(p, s);
        a.loadAtSend = believed(s);
        a.expected = expected(s, p.query.cls);
        if (a.index > 0 && set.rules().hasBudget()) {
            extras.add(now);
        }
        connect(a);
        if (cold(s)) {
            s.slowStart.debt = coldWait(s) / turn(s) + scale[p.query.cls];
            s.slowStart.at = now;
        }
        p.attempts.add(a);
        p.out++;
        s.out.add(a);
        s.calledRound = rounds;
        out.add(new Send(p.id, s.id, 0));
    }

    /**
     * An idle connection may have been dropped unseen: what is sent on one gets no answer. Where more comes
     * to nothing after an idle time like this than on new connections, by more than their price, it is closed
     * first. Losses after shorter idle times count against it, answers after longer ones for it. Servers that
     * swallow everything, or answer late, do so on new ones too. May hurt: handshakes for seconds after.
     */
    private void connect(Attempt a) {
        Server s = a.server;
        int ticks = (int) Math.min(1 << IDLE_CLASSES, (now - s.usedAt) / TICK);
        a.idle = s.usedAt == NEVER ? 0 : !s.out.isEmpty() || ticks == 0 ? IN_USE
                : Math.min(IDLE_CLASSES - 1, 32 - Integer.numberOfLeadingZeros(ticks));
        a.idle = Math.max(a.idle, s.staleClass);
        double bound = set.prices().handshake() + FAILURE_COST * PRIOR_RISK;
        if (a.idle > 0 && lost(1, a.idle) - lost(0, 0) > bound) {
            out.add(new DropIdle(s.id));
            a.idle = 0;
        }
        s.usedAt = now;
        s.staleClass = IN_USE;
    }

    private double lost(int from, int to) {
        double bad = 0;
        double all = PRIOR_PEERS;
        for (int i = from; i < (from == 0 ? 1 : IDLE_CLASSES); i++) {
            double lost = i <= to ? idle[i + 1].bad(now, HALF_LIFE) : 0;
            bad += lost;
            all += lost + (i >= to ? idle[i + 1].good(now, HALF_LIFE) : 0);
        }
        return bad / all;
    }

    /** Notes an attempt past the mark on a server that was sound when it was sent and is silent since. */
    private void note(Attempt a) {
        boolean late = !a.ended && a.notedAt == NEVER && now - a.sentAt > overdue * a.expected;
        if (late && a.server.heardAt < a.sentAt && a.expected < PROBE_NOISE * plain(a)) {
            a.notedAt = now;
            idle[a.idle + 1].add(0, 1, now, HALF_LIFE);
        }
    }

    // ---- what is observed

    /** How long a part takes: a line through what was seen at each load, scaled by class and server. */
    private double expected(Server s, int cls) {
        return time.at(believed(s)) * scale[cls] * slowness(s);
    }

    /**
     * The one notion of a server's state that the score reads: how many times longer than usual a part of
     * this class takes there, by slowness and by the parts that come to nothing. A server that fails fast
     * looks idle, one that is silent for one class serves the others as usual. What a failure costs follows
     * how long failures take there; a part's last attempt costs the query.
     */
    private double condition(Server s, int cls, boolean last) {
        double risk = risk(s, cls);
        return slowness(s) * (1 + (last ? FAILURE_COST : s.failureCost) * risk / (1 - risk));
    }

    /** Chance that a part comes to nothing: of this class there, else of the server, else anywhere. */
    private double risk(Server s, int cls) {
        double[] bad = new double[2];
        double[] all = new double[2];
        s.trust.forEach((c, t) -> {
            for (int i = c == cls ? 0 : 1; i < 2; i++) {
                bad[i] += t.bad(now, TRUST_LIFE);
                all[i] += t.bad(now, TRUST_LIFE) + t.good(now, TRUST_LIFE);
            }
        });
        for (Attempt a : s.out) {
            int late = now - a.sentAt > overdue * a.expected ? 1 : 0;
            for (int i = a.part.query.cls == cls ? 0 : 1; i < 2; i++) {
                bad[i] += late;
                all[i] += late;
            }
        }
        double lost = fleet.bad(now, TRUST_LIFE);
        double usual = (lost + PRIOR_RISK * PRIOR_FLEET) / (lost + fleet.good(now, TRUST_LIFE) + PRIOR_FLEET);
        double server = (bad[1] + usual * PRIOR_PEERS) / (all[1] + PRIOR_PEERS);
        return Math.min(0.99, (bad[0] + server * PRIOR_PEERS) / (all[0] + PRIOR_PEERS));
    }

    private void trust(Server s, int cls, boolean served) {
        s.trust.computeIfAbsent(cls, c -> new Tally()).add(served ? 1 : 0, served ? 0 : 1, now, TRUST_LIFE);
        fleet.add(served ? 1 : 0, served ? 0 : 1, now, TRUST_LIFE);
    }

    private double slowness(Server s) {
        double known = Math.exp(faded(s));
        for (Attempt a : s.out) {
            known = Math.max(known, (now - a.sentAt) / plain(a) / overdue);
        }
        // A probe unanswered: standing still, hung, cut off, or deep in its queue.
        known *= s.probing && now - s.probedAt > patience(s) ? UNANSWERED : 1;
        return Math.min(SLOWEST, Math.max(FASTEST, known));
    }

    private double faded(Server s) {
        return s.slowLog * kept(s.slowAt, now, TRUST_LIFE);
    }

    private void observe(Attempt a, long elapsed) {
        double ratio = Math.max(FASTEST * FASTEST, Math.min(SLOWEST, elapsed / plain(a)));
        double seen = Math.log(ratio);
        double old = faded(a.server);
        slow(a.server, old + NEWEST * (seen - old));
    }

    /** What an attempt would take on a server of ordinary speed with the load it had. */
    private double plain(Attempt a) {
        return time.at(a.loadAtSend) * scale[a.part.query.cls];
    }

    private void slow(Server s, double log) {
        s.slowLog = log;
        s.slowAt = now;
    }

    private void mark(double ratio) {
        overdue = Math.max(EARLIEST, Math.min(LATEST, follow(overdue, ratio, OVERDUE_QUANTILE, STEP)));
    }

    private void report(Server s, double[] report, long at) {
        if (report.length > 0 && at >= s.reportAt) {
            report(s, value(report, Field.QUEUE), at);
            usualQueue += DRIFT * (Double.isNaN(s.reportedQueue) ? 0 : s.reportedQueue - usualQueue);
            double rate = value(report, Field.RATE);
            if (rate > 0 && rate < SECOND) {
                busyRate = follow(busyRate > 0 ? busyRate : rate, rate, BUSY_QUANTILE, STEP);
            }
        }
    }

    private double value(double[] report, Field field) {
        int i = set.reportFields().indexOf(field);
        return i < 0 || i >= report.length ? Double.NaN : report[i];
    }

    private void report(Server s, double queue, long at) {
        s.reportAt = at;
        s.endedSince = 0;
        s.reportedQueue = Double.isFinite(queue) && queue >= 0 ? queue : Double.NaN;
        s.theirLoad = s.theirs.values().stream().mapToDouble(Decide::inLoad).sum();
    }

    private void ended(AttemptEnd e) {
        Part p = parts.get(e.part());
        if (p == null || e.attempt() >= p.attempts.size() || p.attempts.get(e.attempt()).ended) {
            return;
        }
        Attempt a = p.attempts.get(e.attempt());
        Server s = a.server;
        a.ended = true;
        a.mayHaveRun = !e.outcome().neverRan;
        a.neverSent = e.outcome() == Outcome.NO_CONNECTION;
        p.out--;
        p.query.lookAt = now;
        s.out.remove(a);
        s.endedSince += a.sentAt < s.reportAt ? 1 : 0;
        s.usedAt = now;
        s.staleClass = a.notedAt != NEVER && e.outcome() != Outcome.OK ? a.idle : IN_USE;
        report(s, e.report(), now);
        learn(a, e.outcome(), now, e.elapsed());
        if (e.outcome() == Outcome.OK) {
            idle[a.idle + 1].add(1, -kept(a.notedAt, now, HALF_LIFE), now, HALF_LIFE);
            if (p.query.open && !p.over) {
                p.in = true;
                p.over = true;
                p.query.served = true;
            }
        }
        p.query.drops += e.outcome() == Outcome.DROPPED ? 1 : 0;
        p.over |= e.partOver();
        if (p.in) {
            p.attempts.forEach(this::cancel);
        }
        if (!p.query.open && p.out == 0) {
            parts.remove(p.id);
        }
    }

    /** What the end of an attempt, our own or a peer's, tells of its server and of how long parts take. */
    private void learn(Attempt a, Outcome outcome, long at, long elapsed) {
        Server s = a.server;
        int cls = a.part.query.cls;
        if (outcome == Outcome.OK) {
            double line = time.at(a.loadAtSend);
            mark(elapsed / Math.max(1, a.expected));
            observe(a, elapsed);
            // The line is fitted to what all classes and servers took, so that their factors average one.
            double plain = Math.min(elapsed, LATEST * plain(a));
            time.add(a.loadAtSend, plain, FORGET, LEAST_BASE);
            scale[cls] += DRIFT * (plain / line - scale[cls]);
            s.heardAt = Math.max(s.heardAt, at);
            trust(s, cls, true);
        } else if (outcome == Outcome.CANCELLED || outcome == Outcome.TIMEOUT) {
            if (elapsed > a.expected) {
                observe(a, elapsed);
                mark(Double.MAX_VALUE); // cut short, so above the mark: else the mark would chase itself down
            }
            if (elapsed > overdue * a.expected && !a.cancelAsked) { // recalled: slow, not lost
                trust(s, cls, false);
                s.failureCost += NEWEST * (FAILURE_COST - s.failureCost);
            }
        } else if (outcome != Outcome.MOOT) {
            trust(s, cls, false);
            s.failureCost += NEWEST * (Math.min(FAILURE_COST, 1 + elapsed / plain(a)) - s.failureCost);
            if (outcome == Outcome.FULL && at >= s.reportAt) {
                // Turned away: as good as a report that the queue is longer than believed. What was sent
                // before the last report tells nothing new; one after the other made it 350,000 parts.
                double longer = (a.sentAt < s.reportAt ? 1 : 2) * Math.max(usualQueue, believed(s));
                report(s, Math.min(LONGEST_QUEUE * usualQueue, longer), at);
            }
        }
    }

    // ---- what other instances of this process did

    private void peerSent(PeerSent e) {
        Server s = servers.get(e.replica());
        if (s == null || e.queryClass() >= scale.length) {
            return;
        }
        hasPeers = true;
        Attempt a = new Attempt();
        a.part = new Part();
        a.part.query = new Query();
        a.part.query.cls = e.queryClass();
        a.part.shard = e.shard();
        a.part.key = e.key();
        a.part.hint = e.hint();
        a.server = s;
        a.sentAt = e.at();
        a.until = e.until();
        a.weight = 1 + cost(a.part, s);
        a.loadAtSend = believed(s);
        a.expected = expected(s, e.queryClass());
        s.theirs.put(e.attempt(), a);
        s.theirLoad += inLoad(a);
    }

    /** Those whose ends were not heard of. They come about in order of time: only the first are looked at. */
    private void expire(Server s) {
        while (!s.theirs.isEmpty() && s.theirs.values().iterator().next().until <= now) {
            forget(s, s.theirs.keySet().iterator().next());
        }
    }

    private Attempt forget(Server s, long attempt) {
        Attempt a = s.theirs.remove(attempt);
        s.theirLoad = s.theirs.isEmpty() ? 0 : s.theirLoad - (a == null ? 0 : inLoad(a));
        return a;
    }

    /** Its report counts from its time. What is older than reports last is no news of its server. */
    private void peerEnd(PeerEnd e) {
        Server s = servers.get(e.replica());
        Attempt a = s == null ? null : forget(s, e.attempt());
        if (a != null) {
            s.endedSince += a.sentAt < s.reportAt ? 1 : 0;
            report(s, e.report(), e.at());
            if (now - e.at() < REPORT_LIFE) {
                learn(a, e.outcome(), e.at(), e.elapsed());
            }
        }
    }

    private void cancel(Attempt a) {
        if (!a.ended && !a.cancelAsked && set.allowed().cancel()) {
            a.cancelAsked = true;
            out.add(new Cancel(a.part.id, a.index));
        }
    }

    // ---- looking after open queries

    private void review() {
        if (hasPeers && now >= expireAt) {
            expireAt = now + TICK;
            servers.values().forEach(this::expire);
        }
        // A query is looked at when something of it came in, else once a tick: looks at many parts cost CPU.
        queries.values().stream().filter(q -> now >= q.lookAt).toList().forEach(this::finish);
        List<Part> waiting = new ArrayList<>();
        for (Query q : queries.values()) {
            boolean look = now >= q.lookAt;
            q.lookAt = look ? now + TICK : q.lookAt;
            for (Part p : q.parts) {
                (look && p.out > 0 ? p.attempts : List.<Attempt>of()).forEach(this::note);
                if (!p.over && p.out == 0 ? now >= p.againAt && (!suspect(q) || p.attempts.isEmpty())
                        : !p.over && look && late(p)) {
                    if (p.out > 0 && !set.allowed().secondCopies()) {
                        cancel(p.attempts.get(p.attempts.size() - 1));
                        p.againAt = now + TICK; // the word is there before the part is anywhere else
                    } else {
                        waiting.add(p);
                    }
                }
            }
        }
        waiting.sort(Comparator.comparingDouble((Part p) -> p.attempts.isEmpty() ? -1e9 : -gain(p.query)));
        waiting.stream().filter(p -> !held(p.query)).forEach(this::send);
    }

    /**
     * Parts of it brought down what took them, and none was answered: the query is suspect, not the servers.
     * It sends nothing again until a part is answered; a query of one part may try once more.
     */
    private boolean suspect(Query q) {
        return !q.served && q.drops >= (q.parts.size() > 1 ? 1 : 2);
    }

    /** While servers die unannounced, one part leads: a query that kills takes one server along. */
    private boolean held(Query q) {
        if (!q.oneAhead || q.served) {
            return false;
        }
        return q.drops > 1 || q.parts.stream().flatMap(p -> p.attempts.stream())
                .anyMatch(a -> !a.ended && now - a.sentAt < LEAD * a.expected);
    }

    private double gain(Query q) {
        return set.classes().get(q.cls).worth() / Math.max(1, q.parts.stream().filter(p -> !p.in).count());
    }

    /**
     * Elsewhere it would be in time and sooner: its server is silent past the mark, or it is the last
     * call. Where no two may be out it is recalled first, if a warm server would not take so long for it.
     */
    private boolean late(Part p) {
        Attempt a = p.attempts.get(p.attempts.size() - 1);
        boolean copies = set.allowed().secondCopies();
        double age = now - a.sentAt;
        if (!copies && (cold(a.server) || !set.allowed().cancel()) || p.out > 1 || a.ended || a.cancelAsked
                || age <= (copies ? a.expected : LATEST * Math.max(plain(a), a.expected))) {
            return false;
        }
        double other = holders(p).stream().filter(s -> couldStart(p, s) && coldWait(s) <= 0)
                .mapToDouble(s -> expected(s, p.query.cls)).min().orElse(Double.MAX_VALUE);
        // A busy server goes on answering others and will come to this part: only a silent one is given up.
        double silent = now - Math.max(a.sentAt, a.server.heardAt);
        return (copies ? age > overdue * a.expected && silent > 2 * time.base || p.query.aimAt - now
                < LAST_CALL * other : silent >= age) && 2 * other < age && now + other < p.query.aimAt;
    }

    private void finish(Query q) {
        QueryClass c = set.classes().get(q.cls);
        // Nothing of it is out, and nothing is sent again while it is suspect: no answer is left to wait for.
        boolean killed = q.drops > 1;
        if (suspect(q) && q.parts.stream().allMatch(p -> p.out == 0 && (killed || !p.attempts.isEmpty()))) {
            if (q.key != 0 && killed) {
                suspects.put(q.key, now);
            }
            giveUp(q, Reason.SUSPECT);
            return;
        }
        List<Part> step = q.parts.stream().filter(p -> p.step == q.step).toList();
        double stepIn = step.stream().filter(p -> p.in).mapToDouble(p -> p.weight).sum();
        boolean all = step.stream().allMatch(p -> p.in);
        int count = step.size();
        boolean whole = q.step == 1 ? all && count >= q.expected || c.need() < 1 && stepIn >= c.need() - 1e-4
                : all && count > 0;
        if (whole) {
            if (q.step == 1) {
                overran(q);
            }
            answer(q, q.step == 1 || q.firstWhole);
            return;
        }
        // What is in earns most if it reaches the client by the aim; waiting on earns the late worth at most.
        boolean inTime = q.aimAt > q.arrivedAt;
        double follows = q.step == 1 && c.followUp() > 0 ? overdue * time.base * scale[q.cls] : 0;
        boolean enough = c.floor() < 1 && count > 0 && stepIn >= c.floor() - 1e-4;
        // Without enough parts that may still come in the query is lost: it ends at once, and saves work.
        double within = step.stream().filter(p -> p.in || !p.over && (p.out > 0 || repeatable(p)))
                .mapToDouble(p -> p.weight).sum();
        int known = q.step == 1 ? q.expected : 1;
        // What no server ever had is refused before half the client's time: later that costs worth.
        boolean half = now >= (q.arrivedAt + q.endsAt) / 2 - 2 * TICK;
        boolean unsent = half && step.stream().flatMap(p -> p.attempts.stream()).allMatch(a -> a.neverSent);
        boolean lost = count >= known && (unsent || within < Math.min(c.need(), c.floor()) - 1e-4);
        boolean due = inTime && now >= q.aimAt - 2 * TICK - follows
                && c.partWorth() * stepIn / c.need() >= c.lateWorth();
        long until = c.lateWorth() > 0 || !inTime ? q.endsAt : q.aimAt;
        if (enough && due || lost || now >= Math.min(until, q.endsAt - 2 * TICK)) {
            overran(q);
            if (enough) {
                answer(q, false);
            } else {
                giveUp(q, !lost ? Reason.TIME_OVER : unsent ? Reason.NEVER_SENT : Reason.NO_ATTEMPT_LEFT);
            }
        }
    }

    private void answer(Query q, boolean whole) {
        out.add(new Answer(q.id, whole));
        if (q.step == 1 && set.classes().get(q.cls).followUp() > 0) {
            q.step = 2;
            q.firstWhole = whole;
            for (Part p : q.parts) {
                p.over = true;
                p.attempts.forEach(this::cancel);
            }
            return;
        }
        close(q);
    }

    /** The one place that ends a query without an answer: refused where that is provably harmless. */
    private void giveUp(Query q, Reason reason) {
        Effect effect = set.classes().get(q.cls).effect();
        boolean harmless = effect == Effect.SAFE || q.parts.stream()
                .allMatch(p -> p.attempts.stream().noneMatch(a -> a.mayHaveRun));
        if (q.key != 0) {
            gaveUp.put(List.of((long) q.cls, q.key), q.firstAt);
            gaveUp.entrySet().removeIf(g -> now - g.getValue()
                    > set.classes().get(g.getKey().get(0).intValue()).deadline());
        }
        if (harmless) {
            // Room is expected once queues are shorter by what it would be late, if within the aim.
            double late = q.predicted * stretch() - (q.aimAt - now);
            boolean sooner = late > 0 && now + late + time.base * scale[q.cls] < q.aimAt;
            double most = set.allowed().comeBack() ? set.allowed().longestComeBack() : 0;
            out.add(new Refuse(q.id, (long) Math.min(most, sooner ? Math.max(late, time.base) : most),
                    reason));
        } else {
            out.add(new Fail(q.id, reason));
        }
        close(q);
    }

    private void close(Query q) {
        q.open = false;
        queries.remove(q.id);
        byNumber.remove(q.number, q);
        for (Part p : q.parts) {
            p.over = true;
            p.attempts.forEach(this::cancel);
            if (p.out == 0) {
                parts.remove(p.id);
            }
        }
    }

    // ---- probes

    /**
     * Before a part is sent, its server is asked whether it answers, unless it was heard of just now: a slow,
     * hung or standing server shows at once, and the part goes elsewhere. True while the answer is awaited.
     */
    private boolean asked(Part p, Server s) {
        if (!set.allowed().probe()) {
            return false;
        }
        if (s.probing) {
            return now - s.probedAt < patience(s);
        }
        if (p.checks >= PROBES_OF_PART || probeTokens < 1 || now - Math.max(s.probedAt, s.heardAt) < FRESH) {
            return false;
        }
        probeTokens--;
        p.checks++;
        s.probing = true;
        s.probedAt = now;
        out.add(new Probe(s.id));
        return true;
    }

    private double patience(Server s) {
        return Math.max(TICK / 2.0, PROBE_PATIENCE * usualProbe.getOrDefault(s.zone, 0.0));
    }

    private void probed(long replica, Outcome outcome, long at, long elapsed, double[] report) {
        Server s = servers.get(replica);
        if (s == null) {
            return;
        }
        s.probing = false;
        if (!s.listed && s.out.isEmpty()) {
            servers.remove(s.id);
        }
        if (outcome == Outcome.OK) {
            // One that takes long tells of a slow server, one far longer has waited; a quick one may come
            // from beside the queue: what parts told stands. Distance passes for slowness but for zones.
            double took = Math.max(1, elapsed);
            double usual = usualProbe.merge(s.zone, took, (was, is) -> follow(was, is, 0.5, STEP));
            double ratio = took / usual;
            if (ratio < SLOWEST && ratio >= PROBE_NOISE) {
                slow(s, Math.max(faded(s), Math.log(ratio)));
            }
            report(s, report, at);
        } else if (outcome.neverRan) {
            trust(s, NO_CLASS, false);
        } else {
            slow(s, faded(s) + Math.log(UNANSWERED));
        }
    }
}
