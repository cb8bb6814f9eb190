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
 * Simulates many module instances that send to the same readers, in virtual time and from one seed. Each reader has two
 * cores and serves parts in the order of their arrival. Probes are answered with load snapshots, which readers take
 * periodically and which are therefore out of date. Instances share no state. All times are microseconds.
 */
final class ClusterSimulation {

    /** One millisecond in microseconds. */
    static final long MS = Fixture.MS;
    private static final int CORES = 2;
    /** Mean time that a warm core takes for a part. */
    static final long MEAN_WORK_US = 30 * MS;
    /** Interval at which a reader takes a snapshot of its load. */
    static final long SNAPSHOT_INTERVAL_US = 600 * MS;
    /** Time after which a snapshot is used to answer probes. */
    private static final long SNAPSHOT_DELAY_US = 200 * MS;
    /** Network delay in one direction. */
    private static final long ONE_WAY_DELAY_US = MS;

    final class Reader {
        final long id;
        final int cell;
        private final long[] coreFreeAt = new long[CORES];
        /** Speed as a function of time; 1: as fast as a warm reader. */
        LongToDoubleFunction speed = time -> 1;
        int inFlight;
        int maxInFlight;
        private double[] visibleLoad = {};
        private int servedSinceSnapshot;
        /** Times at which parts arrived. */
        final List<Long> partArrivals = new ArrayList<>();
        /** Number of parts at whose arrival more had arrived within the overload window than the rule allows. */
        int limitViolations;

        Reader(long id, int cell) {
            this.id = id;
            this.cell = cell;
            schedule(now + random.nextLong(SNAPSHOT_INTERVAL_US), this::takeSnapshot);
        }

        private void takeSnapshot() {
            double[] load = {servedSinceSnapshot * 1e6 / SNAPSHOT_INTERVAL_US, inFlight};
            servedSinceSnapshot = 0;
            schedule(now + SNAPSHOT_DELAY_US, () -> visibleLoad = load);
            schedule(now + SNAPSHOT_INTERVAL_US, this::takeSnapshot);
        }

        private void receive(int instance, Aggregator.Send send, int attempt) {
            partArrivals.add(now);
            connections.add(List.of((long) instance, id));
            double limit = rules.overloadMultiple() * speed.applyAsDouble(now) * CORES * rules.overloadWindow()
                    / MEAN_WORK_US;
            limitViolations += partArrivals.stream().filter(t -> t > now - rules.overloadWindow()).count() > limit
                    ? 1 : 0;
            inFlight++;
            maxInFlight = Math.max(maxInFlight, inFlight);
            int core = coreFreeAt[0] <= coreFreeAt[1] ? 0 : 1;
            long workUs = (long) (MEAN_WORK_US * (0.5 + random.nextDouble()) / speed.applyAsDouble(now));
            coreFreeAt[core] = Math.max(now, coreFreeAt[core]) + workUs;
            long sentAt = now;
            sentAtByAttempt.put(List.of((long) instance, send.part(), (long) attempt), now);
            schedule(coreFreeAt[core] + ONE_WAY_DELAY_US, () -> {
                inFlight--;
                servedSinceSnapshot++;
                if (sentAtByAttempt.remove(List.of((long) instance, send.part(), (long) attempt)) == null) {
                    return; // cancelled meanwhile; the reader has done the work all the same
                }
                deliver(instance, Fixture.attemptEnded(send.part(), attempt, id, Outcome.OK, now - sentAt));
            });
        }
    }

    long now = Fixture.START_US;
    final SplittableRandom random;
    final Map<Long, Reader> readers = new TreeMap<>();
    private final List<Decide> modules = new ArrayList<>();
    private final List<List<Event>> pendingEvents = new ArrayList<>();
    private final List<Map<Long, Integer>> attemptCounts = new ArrayList<>();
    private final TreeMap<Long, List<Runnable>> scheduledTasks = new TreeMap<>();
    private final int cells;
    private final Aggregator.Rules rules;
    private long nextId = 1;
    int answered;
    int refused;
    int failed;
    int probeCount;
    /** Pairs of an instance and a reader between which parts were sent, so that they have been connected. */
    final Set<List<Long>> connections = new HashSet<>();
    /** Send times of attempts in flight, by instance, part and attempt number. */
    private final Map<List<Long>, Long> sentAtByAttempt = new HashMap<>();

    ClusterSimulation(Aggregator.Settings settings, long seed) {
        random = new SplittableRandom(seed);
        cells = settings.cells();
        rules = settings.rules();
        for (int i = 0; i < settings.instances(); i++) {
            modules.add(new Decide(settings, random.nextLong()));
            pendingEvents.add(new ArrayList<>());
            attemptCounts.add(new HashMap<>());
        }
    }

    /** Returns the reader with the id; adds it if it is new. */
    Reader reader(long id, int cell) {
        return readers.computeIfAbsent(id, i -> new Reader(i, cell));
    }

    void schedule(long time, Runnable task) {
        scheduledTasks.computeIfAbsent(time, t -> new ArrayList<>()).add(task);
    }

    void deliver(int instance, Event event) {
        pendingEvents.get(instance).add(event);
    }

    void deliverToAll(Event event) {
        pendingEvents.forEach(i -> i.add(event));
    }

    /**
     * Replaces a reader by a new one, which starts after the given delay at its initial speed and becomes as fast as a
     * warm reader by the end of its slow start. Each instance is notified at a random time within 400 ms that the new
     * reader is ready and the old one drains.
     */
    void replace(long oldId, long newId, long delay, double initialSpeed, long slowStartDuration) {
        schedule(now + delay, () -> {
            long startedAt = now;
            Reader replacement = reader(newId, readers.get(oldId).cell);
            replacement.speed = time -> initialSpeed
                    + (1 - initialSpeed) * Math.min(1, (time - startedAt) / (double) slowStartDuration);
            for (int i = 0; i < modules.size(); i++) {
                int instance = i;
                schedule(now + random.nextLong(400 * MS), () -> deliver(instance, new Aggregator.ListUpdate(
                        Aggregator.ListKind.CHANGES,
                        List.of(listEntry(oldId, replacement.cell, Aggregator.Status.DRAINING, 0),
                                listEntry(newId, replacement.cell, Aggregator.Status.READY, startedAt)))));
            }
        });
    }

    private static Aggregator.ListEntry listEntry(long id, int cell, Aggregator.Status status, long startedAt) {
        return new Aggregator.ListEntry(id, 0, cell, status, 1, startedAt);
    }

    /**
     * Runs the simulation for the given time.
     *
     * @param queriesPerSecond mean rate of queries at all instances together
     * @param partCount parts of each query, which need different shards
     */
    void run(long duration, double queriesPerSecond, int partCount) {
        for (long end = now + duration; now < end; now += MS) {
            while (!scheduledTasks.isEmpty() && scheduledTasks.firstKey() <= now) {
                scheduledTasks.pollFirstEntry().getValue().forEach(Runnable::run);
            }
            if (random.nextDouble() < queriesPerSecond * MS / 1_000_000) {
                int[] shards = random.ints(0, cells).distinct().limit(partCount).toArray();
                long queryId = nextId;
                nextId += 1 + partCount;
                pendingEvents.get(random.nextInt(modules.size()))
                        .addAll(Fixture.queryEvents(queryId, 0, random.nextLong(), shards));
            }
            for (int i = 0; i < modules.size(); i++) {
                if (!pendingEvents.get(i).isEmpty()) {
                    List<Event> events = List.copyOf(pendingEvents.get(i));
                    pendingEvents.get(i).clear();
                    execute(i, modules.get(i).round(now, events));
                }
            }
        }
    }

    private void execute(int instance, List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Aggregator.Send send) {
                int attempt = attemptCounts.get(instance).merge(send.part(), 1, Integer::sum) - 1;
                readers.get(send.replica()).receive(instance, send, attempt);
            } else if (action instanceof Aggregator.Probe probe) {
                Reader reader = readers.get(probe.replica());
                probeCount++;
                long sentAt = now;
                schedule(now + 2 * ONE_WAY_DELAY_US, () -> deliver(instance,
                        new Aggregator.ProbeEnded(reader.id, Outcome.OK, now - sentAt, reader.visibleLoad)));
            } else if (action instanceof Aggregator.Cancel cancel) {
                Long sentAt = sentAtByAttempt.remove(List.of((long) instance, cancel.part(), (long) cancel.attempt()));
                if (sentAt != null) {
                    deliver(instance, Fixture.attemptEnded(cancel.part(), cancel.attempt(), 0, Outcome.CANCELLED,
                            now - sentAt));
                }
            } else if (action instanceof Aggregator.SetAlarm alarm) {
                schedule(now + alarm.delay(), () -> deliver(instance, new Aggregator.Alarm(alarm.tag())));
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
