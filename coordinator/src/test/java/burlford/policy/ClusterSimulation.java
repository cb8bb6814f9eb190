package burlford.policy;

import burlford.policy.Aggregator.Action;
import burlford.policy.Aggregator.Event;
import burlford.policy.Aggregator.Outcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.LongToDoubleFunction;

/**
 * Many instances of the module before the same readers, in virtual time and from one seed: readers of two cores
 * that serve in turn, load snapshots as old as readers take them, instances that share nothing.
 */
final class ClusterSimulation {

    static final long MS = Fixture.MS;
    private static final int CORES = 2;
    /** Work of a part, and how often a reader takes the snapshot of its load that probes are answered with. */
    static final long WORK = 30 * MS;
    static final long SNAPSHOT = 600 * MS;
    private static final long DELAY = 200 * MS;
    private static final long WAY = MS;

    final class Reader {
        final long id;
        final int cell;
        private final long[] free = new long[CORES];
        /** Its speed at a time; 1 is a warm one's. */
        LongToDoubleFunction speed = at -> 1;
        int held;
        int maxInFlight;
        private double[] reported = {};
        private int served;
        /** When parts came; and at how many times more had come within a second than the rule allows. */
        final List<Long> partArrivals = new ArrayList<>();
        int limitViolations;

        Reader(long id, int cell) {
            this.id = id;
            this.cell = cell;
            at(now + random.nextLong(SNAPSHOT), this::snapshot);
        }

        private void snapshot() {
            double[] load = {served * 1e6 / SNAPSHOT, held};
            served = 0;
            at(now + DELAY, () -> reported = load);
            at(now + SNAPSHOT, this::snapshot);
        }

        private void take(int instance, Aggregator.Send s, int attempt) {
            partArrivals.add(now);
            connected.add(List.of((long) instance, id));
            double most = rules.overloadMultiple() * speed.applyAsDouble(now) * CORES * rules.overloadWindow() / WORK;
            limitViolations += partArrivals.stream().filter(t -> t > now - rules.overloadWindow()).count() > most ? 1
                    : 0;
            held++;
            maxInFlight = Math.max(maxInFlight, held);
            int core = free[0] <= free[1] ? 0 : 1;
            long work = (long) (WORK * (0.5 + random.nextDouble()) / speed.applyAsDouble(now));
            free[core] = Math.max(now, free[core]) + work;
            long sentAt = now;
            waiting.put(List.of((long) instance, s.part(), (long) attempt), now);
            at(free[core] + WAY, () -> {
                held--;
                served++;
                if (waiting.remove(List.of((long) instance, s.part(), (long) attempt)) == null) {
                    return; // recalled: its work was done all the same
                }
                tell(instance, Fixture.attemptEnded(s.part(), attempt, id, Outcome.OK, now - sentAt));
            });
        }
    }

    long now = Fixture.START_US;
    final SplittableRandom random;
    final Map<Long, Reader> readers = new TreeMap<>();
    private final List<Decide> instances = new ArrayList<>();
    private final List<List<Event>> inbox = new ArrayList<>();
    private final List<Map<Long, Integer>> attempts = new ArrayList<>();
    private final TreeMap<Long, List<Runnable>> due = new TreeMap<>();
    private final int cells;
    private final Aggregator.Rules rules;
    private long ids = 1;
    int answered;
    int refused;
    int failed;
    int probes;
    /** Instances and readers that have had a connection between them: parts went there. */
    final Set<List<Long>> connected = new HashSet<>();
    /** Attempts out, by instance, part and number: when they were sent. */
    private final Map<List<Long>, Long> waiting = new HashMap<>();

    ClusterSimulation(Aggregator.Settings settings, long seed) {
        random = new SplittableRandom(seed);
        cells = settings.cells();
        rules = settings.rules();
        for (int i = 0; i < settings.instances(); i++) {
            instances.add(new Decide(settings, random.nextLong()));
            inbox.add(new ArrayList<>());
            attempts.add(new HashMap<>());
        }
    }

    Reader reader(long id, int cell) {
        return readers.computeIfAbsent(id, i -> new Reader(i, cell));
    }

    void at(long time, Runnable what) {
        due.computeIfAbsent(time, t -> new ArrayList<>()).add(what);
    }

    void tell(int instance, Event e) {
        inbox.get(instance).add(e);
    }

    void deliverToAll(Event e) {
        inbox.forEach(i -> i.add(e));
    }

    /**
     * A reader is replaced by another, that is cold when it starts, so long from now. Each instance hears of it at a
     * moment of its own; the old one drains at the same time.
     */
    void replace(long old, long by, long after, double coldFrom, long coldFor) {
        at(now + after, () -> {
            long startedAt = now;
            Reader r = reader(by, readers.get(old).cell);
            r.speed = at -> coldFrom + (1 - coldFrom) * Math.min(1, (at - startedAt) / (double) coldFor);
            for (int i = 0; i < instances.size(); i++) {
                int to = i;
                at(now + random.nextLong(400 * MS), () -> tell(to, new Aggregator.ListUpdate(
                        Aggregator.ListKind.CHANGES, List.of(listed(old, r.cell, Aggregator.Status.DRAINING, 0),
                                listed(by, r.cell, Aggregator.Status.READY, startedAt)))));
            }
        });
    }

    private static Aggregator.ListEntry listed(long id, int cell, Aggregator.Status status, long startedAt) {
        return new Aggregator.ListEntry(id, 0, cell, status, 1, startedAt);
    }

    /** Queries of one part for each shard of a few, so many a second at all instances together. */
    void run(long span, double queriesPerSecond, int parts) {
        for (long end = now + span; now < end; now += MS) {
            while (!due.isEmpty() && due.firstKey() <= now) {
                due.pollFirstEntry().getValue().forEach(Runnable::run);
            }
            if (random.nextDouble() < queriesPerSecond * MS / 1_000_000) {
                int[] shards = random.ints(0, cells).distinct().limit(parts).toArray();
                long id = ids;
                ids += 1 + parts;
                inbox.get(random.nextInt(instances.size())).addAll(Fixture.queryEvents(id, 0, random.nextLong(),
                        shards));
            }
            for (int i = 0; i < instances.size(); i++) {
                if (!inbox.get(i).isEmpty()) {
                    List<Event> events = List.copyOf(inbox.get(i));
                    inbox.get(i).clear();
                    carryOut(i, instances.get(i).round(now, events));
                }
            }
        }
    }

    private void carryOut(int instance, List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Aggregator.Send s) {
                int attempt = attempts.get(instance).merge(s.part(), 1, Integer::sum) - 1;
                readers.get(s.replica()).take(instance, s, attempt);
            } else if (action instanceof Aggregator.Probe p) {
                Reader r = readers.get(p.replica());
                probes++;
                long sentAt = now;
                at(now + 2 * WAY, () -> tell(instance, new Aggregator.ProbeEnded(r.id, Outcome.OK, now - sentAt,
                        r.reported)));
            } else if (action instanceof Aggregator.Cancel c) {
                Long sentAt = waiting.remove(List.of((long) instance, c.part(), (long) c.attempt()));
                if (sentAt != null) {
                    tell(instance, Fixture.attemptEnded(c.part(), c.attempt(), 0, Outcome.CANCELLED, now - sentAt));
                }
            } else if (action instanceof Aggregator.SetAlarm a) {
                at(now + a.delay(), () -> tell(instance, new Aggregator.Alarm(a.tag())));
            } else if (action instanceof Aggregator.Answer) {
                answered++;
            } else if (action instanceof Aggregator.Refuse) {
                refused++;
            } else if (action instanceof Aggregator.Fail) {
                failed++;
            }
        }
    }
}
