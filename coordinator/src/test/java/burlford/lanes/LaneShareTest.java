package burlford.lanes;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.policy.Aggregator.Outcome;
import burlford.policy.PeerUpdate;
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
    private final ProcessResources ground = new ProcessResources(2, OPEN, 1000, 160);
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
        a.notifyProbed(reader, Outcome.OK, 0, 1, new double[0]);
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
                        if (lane.claimId("id-" + i)) {
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

    /**
     * Threads for lanes take and leave room as fast as they can, one dies with all it has: never over, nothing lost.
     */
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
                    if (random.nextBoolean() && lane.tryAcquireCapacity(units, OPEN)) {
                        over.addAndGet(used.addAndGet(units) > OPEN ? 1 : 0);
                        taken.incrementAndGet();
                        mine.add(units);
                    } else if (!mine.isEmpty()) {
                        int back = mine.poll();
                        used.addAndGet(-back);
                        lane.releaseCapacity(back);
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
        assertThat(ground.freeQueryCapacity()).isEqualTo(OPEN);
    }

    @Test
    void oneLaneMayUseAllThatTheOtherLeavesIdle() {
        assertThat(a.tryAcquireCapacity(1, OPEN)).isTrue(); // takes a chunk into its store
        assertThat(b.tryAcquireCapacity(OPEN - 1, OPEN)).isTrue();
        assertThat(a.tryAcquireCapacity(1, OPEN)).isFalse();
        b.releaseCapacity(OPEN - 1);
        assertThat(a.tryAcquireCapacity(OPEN - 1, OPEN)).isTrue();
    }

    @Test
    void oneProbeIsOutToAReaderWhicheverLaneAsks() {
        assertThat(a.claimProbe("r")).isTrue();
        assertThat(b.claimProbe("r")).isFalse();
        assertThat(a.claimProbe("r")).isFalse();
        assertThat(b.claimProbe("s")).isTrue();
        probed("r");
        assertThat(b.pollPeerUpdates()).hasSize(1);
        assertThat(b.claimProbe("r")).isTrue();
        // A lane that is given up with a question out: the others may ask.
        b.fence();
        assertThat(a.claimProbe("r")).isTrue();
        assertThat(a.claimProbe("s")).isTrue();
    }

    @Test
    void aFullQueueDropsTheOldestWordsAndSaysSoAndKeepsOrders() {
        List<String> ordered = new ArrayList<>();
        for (int i = 0; i < 3 * PeerUpdateQueue.CAPACITY; i++) {
            int n = i;
            probed("r" + i);
            a.flushPeerUpdates();
            b.stageBroadcast(() -> ordered.add("list " + n));
            b.publishBroadcasts(i + 1);
        }
        b.applyBroadcasts();
        assertThat(ordered).hasSize(3 * PeerUpdateQueue.CAPACITY).startsWith("list 0")
                .endsWith("list " + (ordered.size() - 1));
        List<PeerUpdate> heard = b.pollPeerUpdates();
        assertThat(heard.get(0)).isInstanceOf(PeerUpdate.UpdatesLost.class);
        assertThat(heard).hasSize(1 + PeerUpdateQueue.CAPACITY);
        assertThat(heard.get(heard.size() - 1)).extracting("reader").isEqualTo("r" + (ordered.size() - 1));
        probed("last");
        a.flushPeerUpdates();
        assertThat(b.pollPeerUpdates()).hasSize(1); // the loss was told once
        assertThat(b.droppedBatches()).isEqualTo(2 * PeerUpdateQueue.CAPACITY);
    }

    @Test
    void anOrderCountsFromTheMomentItIsToldToAllAndBeforeWhatIsDecidedNext() {
        List<String> log = new ArrayList<>();
        a.stageBroadcast(() -> log.add("a"));
        b.stageBroadcast(() -> log.add("b"));
        a.applyBroadcasts();
        assertThat(log).isEmpty(); // not told yet: the other might not know
        a.publishBroadcasts(1);
        b.publishBroadcasts(1);
        b.applyBroadcasts();
        a.applyBroadcasts();
        assertThat(log).containsExactly("b", "a");
        assertThat(a.appliedGeneration()).isEqualTo(1);
        runPosted(); // what was posted to wake them finds nothing more
        assertThat(log).hasSize(2);
    }

    @Test
    void whatALaneThatStoodStillReadsIsAsOldAsItsSilence() {
        a.sendHeartbeat(now, () -> { });
        now += 300_000;
        assertThat(a.stallUs()).isEqualTo(300_000);
        runPosted();
        assertThat(a.stallUs()).isZero();
        a.sendHeartbeat(now, () -> { });
        now += 20_000;
        assertThat(a.stallUs()).isZero(); // the ordinary lag of a loop at work
    }

    @Test
    void connectionsToAReaderAreBoundedForAllLanesAndEachMayHaveOne() {
        ground.setReaderCount(10); // 160 descriptors: 50 for readers, 5 for each
        int opened = 0;
        while (a.readerConnectionLimits().mayOpen("r", opened)) {
            a.readerConnectionLimits().opened("r");
            opened++;
        }
        assertThat(opened).isEqualTo(5);
        assertThat(b.readerConnectionLimits().mayOpen("r", 0)).isTrue();
        assertThat(b.readerConnectionLimits().mayOpen("r", 1)).isFalse();
        a.close();
        assertThat(b.readerConnectionLimits().mayOpen("r", 1)).isTrue();
        assertThat(ground.readerConnections()).isZero();
    }

    @Test
    void noQueryNumberIsGivenTwice() {
        java.util.Set<Long> seen = new java.util.HashSet<>();
        for (int i = 0; i < 5 * ProcessResources.QUERY_NUMBER_BLOCK; i++) {
            assertThat(seen.add(a.nextQueryNumber())).isTrue();
            assertThat(seen.add(b.nextQueryNumber())).isTrue();
        }
        assertThat(seen).doesNotContain(0L);
    }
}
