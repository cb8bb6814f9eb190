package burlford.lab;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What all stand-in readers together see of the rules: a part with two attempts out, more attempts than allowed, a
 * part at a reader that does not hold its shard, two load probes out to one reader. Any thread may call.
 */
final class Audit {

    /** The word that gives an attempt up and the next attempt travel on two connections: the later may come first. */
    private static final long CROSSING = 50_000_000;
    /** Parts are forgotten after one to two of these: no further attempt comes so late. */
    private static final long GENERATION = 20_000_000_000L;

    private static final class Part {
        int attempts;
        int out;
        /** Since when two are out; 0: not. */
        long doubleSince;
    }

    final AtomicLong parts = new AtomicLong();
    final AtomicLong probes = new AtomicLong();
    final AtomicLong doubleProbes = new AtomicLong();
    final AtomicLong secondCopies = new AtomicLong();
    final AtomicLong overLimit = new AtomicLong();
    final AtomicLong wrongShard = new AtomicLong();
    final AtomicLong furtherAttempts = new AtomicLong();
    private final int mostAttempts;
    private volatile Map<String, Part> current = new ConcurrentHashMap<>();
    private volatile Map<String, Part> before = new ConcurrentHashMap<>();
    private volatile long turnedAt = System.nanoTime();

    Audit(int mostAttempts) {
        this.mostAttempts = mostAttempts;
    }

    /** An attempt of a part has come. */
    void recordArrival(String part, boolean held) {
        turn();
        parts.incrementAndGet();
        if (!held) {
            wrongShard.incrementAndGet();
        }
        Part p = part(part);
        synchronized (p) {
            if (++p.attempts > 1) {
                furtherAttempts.incrementAndGet();
            }
            if (p.attempts > mostAttempts) {
                overLimit.incrementAndGet();
            }
            if (++p.out == 2) {
                p.doubleSince = System.nanoTime();
            }
        }
    }

    /** An attempt of it is answered, given up, or gone with its connection. */
    void recordEnd(String part) {
        Part p = part(part);
        synchronized (p) {
            p.out--;
            if (p.doubleSince != 0 && System.nanoTime() - p.doubleSince > CROSSING) {
                secondCopies.incrementAndGet();
            }
            p.doubleSince = p.out > 1 ? p.doubleSince : 0;
        }
    }

    private Part part(String part) {
        Part p = current.get(part);
        if (p == null) {
            p = before.remove(part);
            Part fresh = p == null ? new Part() : p;
            Part other = current.putIfAbsent(part, fresh);
            p = other == null ? fresh : other;
        }
        return p;
    }

    private void turn() {
        if (System.nanoTime() - turnedAt > GENERATION) {
            synchronized (this) {
                if (System.nanoTime() - turnedAt > GENERATION) {
                    // Two copies that are out to the end would be forgotten with their part.
                    secondCopies.addAndGet(before.values().stream().filter(p -> p.doubleSince != 0).count());
                    before = current;
                    current = new ConcurrentHashMap<>();
                    turnedAt = System.nanoTime();
                }
            }
        }
    }

    /** Parts with two attempts out right now, for longer than words take to cross. */
    long countOpenSecondCopies() {
        long now = System.nanoTime();
        return java.util.stream.Stream.of(before, current).flatMap(m -> m.values().stream())
                .filter(p -> p.doubleSince != 0 && now - p.doubleSince > CROSSING).count();
    }
}
