package burlford.lanes;

import burlford.core.Census;
import burlford.core.Commons;
import burlford.core.Crowd;
import burlford.policy.Aggregator.Outcome;
import burlford.policy.Dispatcher.Part;
import burlford.policy.Dispatcher.Send;
import burlford.policy.Word;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

/**
 * One lane's part in what the process holds together. What the lane has taken is noted here, so that it can all be
 * given back when the lane fails. Its {@link Commons}, {@link Census} and {@link Crowd} are the lane's thread's;
 * methods said to be so are for any thread.
 */
public final class LaneShare implements Commons {

    /** Shorter than this a loop's being late is its ordinary work, not standing still (microseconds). */
    static final long STILL = 50_000;

    private final Ground ground;
    private final int lane;
    private final Executor loop;
    private final LongSupplier clock;
    final WordQueue words = new WordQueue();
    private final ConcurrentLinkedQueue<Runnable> orders = new ConcurrentLinkedQueue<>();
    private volatile long told;
    private volatile long taken;
    private boolean taking;
    private volatile boolean givenUp;
    private Runnable onGivenUp = () -> { };
    private Runnable makeRoom = () -> { };
    private Runnable onHeard = () -> { };

    private List<Word> said = new ArrayList<>();
    private final Set<String> ids = new HashSet<>();
    private final Set<String> asks = new HashSet<>();
    private final Map<String, Integer> readers = new HashMap<>();
    private volatile int used;
    private long held;
    private long number;
    private long numbersEnd;

    private final AtomicInteger connections = new AtomicInteger();
    private volatile long longestWaiting = Long.MAX_VALUE;
    private volatile long askedAt;
    private volatile long answeredAt;

    /** loop: runs what it is given on the lane's thread. clock: microseconds, the process's. */
    public LaneShare(Ground ground, int lane, Executor loop, LongSupplier clock) {
        this.ground = ground;
        this.lane = lane;
        this.loop = loop;
        this.clock = clock;
    }

    /**
     * From now on others are heard. onGivenUp: what to do should the lane find itself given up. makeRoom: closes the
     * client connection that waits longest. onHeard: looks at what a probe that was waited for told.
     */
    public void join(Runnable onGivenUp, Runnable makeRoom, Runnable onHeard) {
        this.onGivenUp = onGivenUp;
        this.makeRoom = makeRoom;
        this.onHeard = onHeard;
        ground.shares.add(this);
    }

    // ---- orders: what is told to all lanes

    /** Any one thread: adds an order; it counts from {@link #tell} on. */
    public void order(Runnable order) {
        orders.add(order);
    }

    /** What was ordered counts from now on: before its next decision the lane takes it. */
    public void tell(long generation) {
        told = generation;
        post(this::catchUp);
    }

    /** A lane that has ended meanwhile does nothing any more. */
    private void post(Runnable action) {
        try {
            loop.execute(action);
        } catch (RejectedExecutionException e) {
            // it has ended
        }
    }

    /** Any thread: the generation of what the lane has taken. */
    public long taken() {
        return taken;
    }

    /** Any thread: from now on the lane decides nothing and answers nothing but failure. */
    public void giveUp() {
        givenUp = true;
        ground.probes.left(this); // nobody would be told of them
        ground.room.reclaim(lane);
        ground.bytes.reclaim(lane);
    }

    public boolean isGivenUp() {
        return givenUp;
    }

    @Override
    public void catchUp() {
        if (givenUp) {
            onGivenUp.run();
            return;
        }
        if (taking) {
            return; // one order is over before the next begins
        }
        taking = true;
        try {
            while (taken != told) {
                long upTo = told;
                for (Runnable order = orders.poll(); order != null; order = orders.poll()) {
                    order.run();
                }
                taken = upTo;
            }
        } finally {
            taking = false;
        }
    }

    // ---- rules of the process

    @Override
    public boolean claim(String id) {
        if (!ground.ids.claim(id, this)) {
            return false;
        }
        ids.add(id);
        return true;
    }

    @Override
    public void release(String id) {
        if (ids.remove(id)) {
            ground.ids.release(id, this);
        }
    }

    @Override
    public boolean enter(int units, int most) {
        if (!ground.room.take(lane, units)) {
            return false;
        }
        used = used + units;
        return true;
    }

    @Override
    public void leave(int units) {
        used = used - units;
        ground.room.give(lane, units);
    }

    @Override
    public long number() {
        if (number == numbersEnd) {
            number = ground.numbers.getAndAdd(Ground.NUMBERS);
            numbersEnd = number + Ground.NUMBERS;
        }
        return ++number;
    }

    @Override
    public boolean mayProbe(String reader) {
        if (asks.contains(reader) || !ground.probes.ask(reader, this)) {
            return false;
        }
        asks.add(reader);
        return true;
    }

    // ---- what lanes tell each other

    @Override
    public void sent(Send send, Part part, int queryClass, long at, long until) {
        said.add(new Word.Sent(send, part, queryClass, at, until));
    }

    @Override
    public void ended(Send send, Outcome outcome, long at, long elapsed, double[] load) {
        said.add(new Word.Ended(send, outcome, at, elapsed, load));
    }

    @Override
    public void probed(String reader, Outcome outcome, long at, long elapsed, double[] load) {
        said.add(new Word.Probed(reader, outcome, at, elapsed, load));
        if (asks.remove(reader)) {
            ground.probes.answered(reader, this);
            // Others may be waiting for it.
            flush();
            for (LaneShare other : ground.shares) {
                if (other != this) {
                    other.post(other.onHeard);
                }
            }
        }
    }

    /** At the end of each turn: what was said in it goes to the others. */
    public void flush() {
        if (!said.isEmpty()) {
            ground.say(this, said);
            said = new ArrayList<>();
        }
    }

    @Override
    public List<Word> heard() {
        if (words.isEmpty()) {
            return List.of();
        }
        List<Word> all = new ArrayList<>();
        for (List<Word> next = words.poll(); next != null; next = words.poll()) {
            all.addAll(next);
        }
        if (words.lost()) {
            all.add(0, new Word.Lost());
        }
        return all;
    }

    /** Any thread: turns' worth of words that were dropped since the lane was too slow to hear them. */
    public long dropped() {
        return words.dropped();
    }

    // ---- does it turn?

    /** The supervisor's thread: asks the lane whether it turns; then is what the lane does on hearing it. */
    public void ask(long now, Runnable then) {
        askedAt = now;
        post(() -> {
            answeredAt = clock.getAsLong();
            askedAt = 0;
            then.run();
        });
    }

    /** Any thread: when the lane answered last; 0: not yet. */
    public long answeredAt() {
        return answeredAt;
    }

    /** As measured from outside: while the loop stood still, so did every clock of its own. */
    @Override
    public long stoodStill() {
        long asked = askedAt;
        long silent = asked == 0 ? 0 : clock.getAsLong() - asked;
        return silent < STILL ? 0 : silent;
    }

    // ---- connections

    /** Any thread: a client's connection is on its way to this lane. */
    public void placed() {
        connections.incrementAndGet();
        ground.clients.incrementAndGet();
    }

    /** Any thread: one that was placed here is gone. */
    public void gone() {
        connections.decrementAndGet();
        ground.clients.decrementAndGet();
    }

    public int connections() {
        return connections.get();
    }

    /** Any thread: queries and parts open here. */
    public int open() {
        return used;
    }

    /** Since when the connection here has waited that would go first to make room; Long.MAX_VALUE: none may go. */
    public void longestWaiting(long since) {
        longestWaiting = since;
    }

    long longestWaiting() {
        return longestWaiting;
    }

    public Crowd crowd() {
        return new Crowd() {
            @Override
            public void opened() {
                // Counted when it was placed: until it is here it must not look as if there were room.
            }

            @Override
            public void closed() {
                gone();
            }

            @Override
            public int open() {
                return ground.clients.get();
            }

            @Override
            public boolean closeOwn() {
                LaneShare longest = ground.longestWaiting();
                if (longest == null || longest == LaneShare.this) {
                    return true;
                }
                longest.post(longest.makeRoom);
                return false;
            }

            @Override
            public boolean hold(int bytes) {
                if (!ground.bytes.take(lane, bytes)) {
                    return false;
                }
                held += bytes;
                return true;
            }

            @Override
            public void release(int bytes) {
                held -= bytes;
                ground.bytes.give(lane, bytes);
            }
        };
    }

    public Census census() {
        return new Census() {
            @Override
            public void opened(String reader) {
                ground.readerConnections.incrementAndGet();
                readers.merge(reader, 1, Integer::sum);
                ground.byReader.merge(reader, 1, Integer::sum);
            }

            @Override
            public void closed(String reader) {
                ground.readerConnections.decrementAndGet();
                readers.merge(reader, -1, Integer::sum);
                ground.byReader.computeIfPresent(reader, (r, n) -> n == 1 ? null : n - 1);
            }

            @Override
            public int open() {
                return ground.readerConnections.get();
            }

            @Override
            public boolean mayOpen(String reader, int own) {
                return own == 0 || ground.byReader.getOrDefault(reader, 0) < ground.mostForOne();
            }
        };
    }

    /** The lane has ended: all it took and did not give back is given back, and nobody tells it anything more. */
    public void close() {
        ground.shares.remove(this);
        List.copyOf(ids).forEach(this::release);
        ground.probes.left(this);
        asks.clear();
        leave(used);
        ground.bytes.give(lane, held);
        held = 0;
        Census census = census();
        Map.copyOf(readers).forEach((reader, n) -> {
            for (int i = 0; i < n; i++) {
                census.closed(reader);
            }
        });
        ground.room.reclaim(lane);
        ground.bytes.reclaim(lane);
    }
}
