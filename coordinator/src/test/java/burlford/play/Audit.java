package burlford.play;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * What clients and stand-in readers saw of one run, and which rules the coordinator broke by it. Safe for threads; all
 * times are System.nanoTime. Tolerances cover the threads of a test on a busy machine, on top of what the rules allow.
 */
final class Audit {

    /** What sending a part of a class twice does. */
    enum Effect { RETRYABLE, DEDUP, FRAGILE }

    /** A request as its client saw it. */
    record Request(String id, Effect effect, long sentAt, int deadlineMs) { }

    /** How a request ended. */
    record CompletedRequest(Request request, SoakClient.Outcome outcome, long endedAt, String body) { }

    /** A frame with a part that reached a reader. */
    static final class Attempt {
        final String part;
        final String reader;
        final long arrivedAt;
        final long timeLeftMs;
        /** When it was answered, cancelled, or its connection ended. */
        volatile long endedAt = Long.MAX_VALUE;
        /** The reader turned it away unseen. */
        volatile boolean neverRan;

        Attempt(String part, String reader, long arrivedAt, long timeLeftMs) {
            this.part = part;
            this.reader = reader;
            this.arrivedAt = arrivedAt;
            this.timeLeftMs = timeLeftMs;
        }

        String query() {
            return part.substring(0, part.lastIndexOf('.'));
        }

        @Override
        public String toString() {
            return part + " at " + reader + " with " + timeLeftMs + " ms left";
        }
    }

    /** A time for which the test had the process stand still. */
    private record Pause(long from, long to) { }

    private static final long MS = 1_000_000;
    /** Between its clock and its write a coordinator may be held up for this long, and no rule is broken by that. */
    private static final long HELD_UP_MS = 150;
    /** Of a client's time the coordinator leaves this much for the way; a frame tells whole milliseconds. */
    private static final long ON_THE_WAY_MS = 5;
    private static final long TOLERANCE_MS = 250;
    /** An attempt may begin this long after its client has left. */
    private static final long LATE_ATTEMPT_MS = 100;
    private static final long DEADLINE_SLACK_MS = 150;
    private static final long LATE_ANSWER_MS = 500;
    static final int BUDGET_WINDOW_MS = 1_000;
    private static final int ENTRIES_OF_A_REQUEST = 3;
    /** The figures of slow start of the test's configuration; a stand-in reader takes 30 ms a part, two at a time. */
    private static final double COLD_MULTIPLE = 2.5;
    private static final double COLD_SHARE = 0.27;
    private static final double READER_PARTS_PER_S = 2 / 0.03;
    private static final long FALL_NS = 1_000 * MS;

    private final Map<String, Request> requests = new ConcurrentHashMap<>();
    private final List<CompletedRequest> endings = new CopyOnWriteArrayList<>();
    private final Map<String, List<Attempt>> attempts = new ConcurrentHashMap<>();
    /** By reader: since when it takes nothing new, as discovery has written to the coordinator. */
    private final Map<String, Long> drainingSince = new ConcurrentHashMap<>();
    /** By reader: when it started anew, as discovery has written to the coordinator. */
    private final Map<String, Long> startedAt = new ConcurrentHashMap<>();
    private final List<Pause> pauses = new CopyOnWriteArrayList<>();
    /** Pauses that have explained a late frame already. */
    private final Set<Pause> heldUp = ConcurrentHashMap.newKeySet();
    private final long dedupWindowMs;
    private final long drainGraceMs;
    private int mostExtras = Integer.MAX_VALUE;
    private double extraShare;

    Audit(long dedupWindowMs, long drainGraceMs) {
        this.dedupWindowMs = dedupWindowMs;
        this.drainGraceMs = drainGraceMs;
    }

    /** Further attempts within any window: so many, and so many for each request of that window. */
    void limitFurtherAttempts(int most, double share) {
        mostExtras = most;
        extraShare = share;
    }

    void recordPause(long from, long to) {
        pauses.add(new Pause(from, to));
    }

    void recordRestartNotified(String reader) {
        startedAt.putIfAbsent(reader, System.nanoTime());
    }

    void recordRequest(Request request) {
        requests.put(request.id(), request);
    }

    void recordCompletion(CompletedRequest ending) {
        endings.add(ending);
    }

    List<CompletedRequest> completedRequests() {
        return endings;
    }

    Attempt recordArrival(String part, String reader, long timeLeftMs) {
        Attempt attempt = new Attempt(part, reader, System.nanoTime(), timeLeftMs);
        attempts.computeIfAbsent(part, p -> new CopyOnWriteArrayList<>()).add(attempt);
        return attempt;
    }

    /** The attempt of a part that is out at a reader is over. */
    void cancelled(String part, String reader) {
        attempts.getOrDefault(part, List.of()).stream()
                .filter(a -> a.reader.equals(reader) && a.endedAt == Long.MAX_VALUE)
                .forEach(a -> a.endedAt = System.nanoTime());
    }

    /** Discovery has told that the reader drains. */
    void recordDrainNotified(String reader) {
        drainingSince.putIfAbsent(reader, System.nanoTime());
    }

    /** The parts of a query that reached a reader. */
    List<Attempt> attemptsOf(String query) {
        return attempts.values().stream().flatMap(List::stream).filter(a -> a.query().equals(query)).toList();
    }

    /** A line for each broken rule. */
    List<String> violations() {
        List<String> broken = new ArrayList<>();
        endings.forEach(e -> checkAnswer(e, broken));
        attempts.values().forEach(all -> {
            all.forEach(a -> checkAttempt(a, broken));
            checkRepeats(all, broken);
        });
        checkExtras(broken);
        startedAt.forEach((reader, at) -> checkSlowStart(reader, at, broken));
        return broken;
    }

    private void checkAnswer(CompletedRequest e, List<String> broken) {
        List<Attempt> forwarded = attemptsOf(e.request().id());
        long late = (e.endedAt() - e.request().sentAt()) / MS - e.request().deadlineMs();
        if (e.outcome() == SoakClient.Outcome.TIMED_OUT || e.outcome() != SoakClient.Outcome.LEFT
                && e.outcome() != SoakClient.Outcome.CLOSED && late > LATE_ANSWER_MS + TOLERANCE_MS) {
            broken.add("lost: no answer in time: " + e);
        } else if (e.outcome() == SoakClient.Outcome.CLOSED && !forwarded.isEmpty()) {
            broken.add("lost: closed without an answer: " + e);
        } else if (e.outcome() == SoakClient.Outcome.FAILED && e.body().contains("409 Conflict")) {
            broken.add("in conflict with itself: " + e);
        } else if (e.outcome() == SoakClient.Outcome.ANSWERED
                && !(e.body().contains(SoakReader.value(e.request().id() + ".0"))
                && e.body().contains(SoakReader.value(e.request().id() + ".1")))) {
            broken.add("partial: answered with other values: " + e);
        } else if (e.outcome() == SoakClient.Outcome.REFUSED && e.request().effect() == Effect.FRAGILE
                && forwarded.stream().anyMatch(a -> !a.neverRan)) {
            broken.add("duplicate: refused what may have run: " + e);
        }
        forwarded.stream().filter(a -> (a.arrivedAt - e.endedAt()) / MS > LATE_ATTEMPT_MS + TOLERANCE_MS)
                .filter(a -> !tookThePauseOf(a, e.request()))
                .forEach(a -> broken.add("lost: sent after its end: " + a + ", " + e));
    }

    /**
     * Whether a pause longer than the rules reckon with came between the last look and the write. The time that the
     * frame tells shows when it was made: before the pause. One thread writes, so a pause can hold up one frame only.
     */
    private boolean tookThePauseOf(Attempt a, Request request) {
        long madeAt = request.sentAt() + (request.deadlineMs() - ON_THE_WAY_MS - a.timeLeftMs - 1) * MS;
        return pauses.stream().anyMatch(p -> (p.to() - p.from()) / MS > HELD_UP_MS && madeAt <= p.from()
                && a.arrivedAt >= p.to() && (a.arrivedAt - p.to()) / MS <= TOLERANCE_MS && heldUp.add(p));
    }

    private void checkAttempt(Attempt a, List<String> broken) {
        Request request = requests.get(a.query());
        if (request != null) {
            long left = request.deadlineMs() - (a.arrivedAt - request.sentAt()) / MS;
            if (a.timeLeftMs > Math.max(0, left) + DEADLINE_SLACK_MS + TOLERANCE_MS) {
                broken.add("deadline: told more than the " + left + " ms that the client has left: " + a);
            }
        }
        Long draining = drainingSince.get(a.reader);
        if (draining != null && (a.arrivedAt - draining) / MS > drainGraceMs + TOLERANCE_MS) {
            broken.add("drain: sent to a draining reader: " + a);
        }
    }

    /** Windows differ between here and there by what a part is on its way. */
    private void checkExtras(List<String> broken) {
        List<Long> extras = attempts.values().stream().flatMap(all -> all.stream().skip(1)).map(a -> a.arrivedAt)
                .sorted().toList();
        for (long at : extras) {
            long count = extras.stream().filter(e -> e <= at && (at - e) / MS < BUDGET_WINDOW_MS - TOLERANCE_MS)
                    .count();
            long taken = requests.values().stream().map(Request::sentAt)
                    .filter(r -> r <= at && (at - r) / MS < BUDGET_WINDOW_MS + TOLERANCE_MS).count();
            // The wire counts a query and each of its parts.
            if (count > mostExtras + extraShare * taken * ENTRIES_OF_A_REQUEST) {
                broken.add("budget: " + count + " further attempts for " + taken + " requests in the window");
                return;
            }
        }
    }

    private void checkSlowStart(String reader, long startedAt, List<String> broken) {
        double allowed = COLD_MULTIPLE * COLD_SHARE * READER_PARTS_PER_S;
        double most = allowed + 2 * Math.sqrt(allowed) + 2;
        List<Long> arrivals = attempts.values().stream().flatMap(List::stream)
                .filter(a -> a.reader.equals(reader) && (a.arrivedAt - startedAt) / MS > TOLERANCE_MS)
                .map(a -> a.arrivedAt).sorted().toList();
        for (long at : arrivals) {
            long count = arrivals.stream().filter(a -> a >= at && a - at < FALL_NS).count();
            if (count > most) {
                broken.add("slow start: " + count + " parts within 1 s at " + reader + ", at most " + (int) most);
                return;
            }
        }
    }

    private void checkRepeats(List<Attempt> all, List<String> broken) {
        for (int i = 1; i < all.size(); i++) {
            Attempt next = all.get(i);
            Request request = requests.get(next.query());
            for (Attempt before : all.subList(0, i)) {
                if ((before.endedAt - next.arrivedAt) / MS > TOLERANCE_MS) {
                    broken.add("duplicate: two attempts out: " + before + ", " + next);
                }
            }
            boolean mayHaveRun = all.subList(0, i).stream().anyMatch(a -> !a.neverRan);
            long since = (next.arrivedAt - all.get(0).arrivedAt) / MS;
            if (request != null && mayHaveRun && (request.effect() == Effect.FRAGILE
                    || request.effect() == Effect.DEDUP && since > dedupWindowMs + DEADLINE_SLACK_MS + TOLERANCE_MS)) {
                broken.add("duplicate: sent again " + since + " ms after the first: " + next + ", " + request);
            }
        }
    }
}
