package burlford.lanes;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.policy.Aggregator.Outcome;
import burlford.policy.Word;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** What lanes hold together: one id, one probe, one limit; words that are lost; orders that are not. */
class LaneShareTest {

    private static final int OPEN = 40;
    private long now = 1_000_000;
    private final Ground ground = new Ground(2, OPEN, 1000, 160);
    private final List<Runnable> posted = new ArrayList<>();
    private final LaneShare a = share(0);
    private final LaneShare b = share(1);

    private LaneShare share(int lane) {
        LaneShare s = new LaneShare(ground, lane, posted::add, () -> now);
        s.join(() -> { }, () -> { }, () -> { });
        return s;
    }

    private void runPosted() {
        List<Runnable> all = List.copyOf(posted);
        posted.clear();
        all.forEach(Runnable::run);
    }

    private void probed(String reader) {
        a.probed(reader, Outcome.OK, 0, 1, new double[0]);
    }

    @Test
    void ofTwoLanesAskedTheSameIdAtOnceOneHasIt() throws Exception {
        int ids = 50_000;
        AtomicInteger won = new AtomicInteger();
        AtomicInteger both = new AtomicInteger();
        AtomicInteger[] holders = new AtomicInteger[ids];
        java.util.Arrays.setAll(holders, i -> new AtomicInteger());
        CyclicBarrier barrier = new CyclicBarrier(2);
        List<Thread> threads = new ArrayList<>();
        for (LaneShare lane : List.of(a, b)) {
            Thread t = new Thread(() -> {
                try {
                    for (int i = 0; i < ids; i++) {
                        if (i % 100 == 0) {
                            barrier.await();
                        }
                        if (lane.claim("id-" + i)) {
                            won.incrementAndGet();
                            both.addAndGet(holders[i].incrementAndGet() - 1);
                        }
                    }
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            t.start();
            threads.add(t);
        }
        for (Thread t : threads) {
            t.join();
        }
        assertThat(won.get()).isEqualTo(ids);
        assertThat(both.get()).isZero();
        a.close();
        b.close();
        assertThat(ground.openIds()).isZero();
    }

    /** Threads for lanes take and leave room as fast as they can, one dies with all it has: never over, nothing lost. */
    @Test
    void roomIsNeverExceededAndAllComesBack() throws Exception {
        AtomicLong used = new AtomicLong();
        AtomicLong over = new AtomicLong();
        AtomicLong taken = new AtomicLong();
        List<Thread> threads = new ArrayList<>();
        for (LaneShare lane : List.of(a, b)) {
            Thread t = new Thread(() -> {
                java.util.Random random = new java.util.Random(lane == a ? 1 : 2);
                java.util.ArrayDeque<Integer> mine = new java.util.ArrayDeque<>();
                for (int i = 0; i < 300_000; i++) {
                    int units = 1 + random.nextInt(6);
                    if (random.nextBoolean() && lane.enter(units, OPEN)) {
                        over.addAndGet(used.addAndGet(units) > OPEN ? 1 : 0);
                        taken.incrementAndGet();
                        mine.add(units);
                    } else if (!mine.isEmpty()) {
                        int back = mine.poll();
                        used.addAndGet(-back);
                        lane.leave(back);
                    }
                }
                used.addAndGet(-mine.stream().mapToInt(u -> u).sum());
                lane.close();
            });
            t.start();
            threads.add(t);
        }
        for (Thread t : threads) {
            t.join();
        }
        assertThat(over.get()).isZero();
        assertThat(taken.get()).isGreaterThan(1000);
        assertThat(ground.room()).isEqualTo(OPEN);
    }

    @Test
    void oneLaneMayUseAllThatTheOtherLeavesIdle() {
        assertThat(a.enter(1, OPEN)).isTrue(); // takes a chunk into its store
        assertThat(b.enter(OPEN - 1, OPEN)).isTrue();
        assertThat(a.enter(1, OPEN)).isFalse();
        b.leave(OPEN - 1);
        assertThat(a.enter(OPEN - 1, OPEN)).isTrue();
    }

    @Test
    void oneProbeIsOutToAReaderWhicheverLaneAsks() {
        assertThat(a.mayProbe("r")).isTrue();
        assertThat(b.mayProbe("r")).isFalse();
        assertThat(a.mayProbe("r")).isFalse();
        assertThat(b.mayProbe("s")).isTrue();
        probed("r");
        assertThat(b.heard()).hasSize(1);
        assertThat(b.mayProbe("r")).isTrue();
        // A lane that is given up with a question out: the others may ask.
        b.giveUp();
        assertThat(a.mayProbe("r")).isTrue();
        assertThat(a.mayProbe("s")).isTrue();
    }

    @Test
    void aFullQueueDropsTheOldestWordsAndSaysSoAndKeepsOrders() {
        List<String> ordered = new ArrayList<>();
        for (int i = 0; i < 3 * WordQueue.CAPACITY; i++) {
            int n = i;
            probed("r" + i);
            a.flush();
            b.order(() -> ordered.add("list " + n));
            b.tell(i + 1);
        }
        b.catchUp();
        assertThat(ordered).hasSize(3 * WordQueue.CAPACITY).startsWith("list 0").endsWith("list " + (ordered.size() - 1));
        List<Word> heard = b.heard();
        assertThat(heard.get(0)).isInstanceOf(Word.Lost.class);
        assertThat(heard).hasSize(1 + WordQueue.CAPACITY);
        assertThat(heard.get(heard.size() - 1)).extracting("reader").isEqualTo("r" + (ordered.size() - 1));
        probed("last");
        a.flush();
        assertThat(b.heard()).hasSize(1); // the loss was told once
        assertThat(b.dropped()).isEqualTo(2 * WordQueue.CAPACITY);
    }

    @Test
    void anOrderCountsFromTheMomentItIsToldToAllAndBeforeWhatIsDecidedNext() {
        List<String> log = new ArrayList<>();
        a.order(() -> log.add("a"));
        b.order(() -> log.add("b"));
        a.catchUp();
        assertThat(log).isEmpty(); // not told yet: the other might not know
        a.tell(1);
        b.tell(1);
        b.catchUp();
        a.catchUp();
        assertThat(log).containsExactly("b", "a");
        assertThat(a.taken()).isEqualTo(1);
        runPosted(); // what was posted to wake them finds nothing more
        assertThat(log).hasSize(2);
    }

    @Test
    void whatALaneThatStoodStillReadsIsAsOldAsItsSilence() {
        a.ask(now, () -> { });
        now += 300_000;
        assertThat(a.stoodStill()).isEqualTo(300_000);
        runPosted();
        assertThat(a.stoodStill()).isZero();
        a.ask(now, () -> { });
        now += 20_000;
        assertThat(a.stoodStill()).isZero(); // the ordinary lag of a loop at work
    }

    @Test
    void connectionsToAReaderAreBoundedForAllLanesAndEachMayHaveOne() {
        ground.readers(10); // 160 descriptors: 50 for readers, 5 for each
        int opened = 0;
        while (a.census().mayOpen("r", opened)) {
            a.census().opened("r");
            opened++;
        }
        assertThat(opened).isEqualTo(5);
        assertThat(b.census().mayOpen("r", 0)).isTrue();
        assertThat(b.census().mayOpen("r", 1)).isFalse();
        a.close();
        assertThat(b.census().mayOpen("r", 1)).isTrue();
        assertThat(ground.readerConnections()).isZero();
    }

    @Test
    void noQueryNumberIsGivenTwice() {
        java.util.Set<Long> seen = new java.util.HashSet<>();
        for (int i = 0; i < 5 * Ground.NUMBERS; i++) {
            assertThat(seen.add(a.number())).isTrue();
            assertThat(seen.add(b.number())).isTrue();
        }
        assertThat(seen).doesNotContain(0L);
    }
}
