package burlford.lanes;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Never more than there is, nothing lost, and none turned away while another's share lies idle. */
class LeasesTest {

    private static final int LANES = 3;

    /** What one lane does: kind 0 takes, 1 gives back what it took first, 2 dies, 3 resizes, 4 is reclaimed from. */
    record Step(int kind, int lane, long amount) { }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Integer> kinds = Arbitraries.frequency(net.jqwik.api.Tuple.of(8, 0), net.jqwik.api.Tuple.of(6, 1),
                net.jqwik.api.Tuple.of(1, 2), net.jqwik.api.Tuple.of(1, 3), net.jqwik.api.Tuple.of(1, 4));
        return Combinators.combine(kinds, Arbitraries.integers().between(0, LANES - 1),
                Arbitraries.longs().between(0, 60)).as(Step::new).list().ofMaxSize(200);
    }

    @Property(tries = 2000)
    void everyOrderOfBorrowReturnDeathAndResizeKeepsTheSum(@ForAll("steps") List<Step> steps) {
        long total = 100;
        Leases leases = new Leases(AtomicLongs.padded(LANES + 1), LANES, total);
        List<java.util.ArrayDeque<Long>> taken = IntStream.range(0, LANES)
                .mapToObj(i -> new java.util.ArrayDeque<Long>()).toList();
        for (Step s : steps) {
            java.util.ArrayDeque<Long> mine = taken.get(s.lane());
            long used = taken.stream().flatMap(java.util.Collection::stream).mapToLong(l -> l).sum();
            switch (s.kind()) {
                case 0 -> {
                    boolean got = leases.tryAcquire(s.lane(), s.amount());
                    // Alone at work, it is given exactly where there is so much, wherever it lies.
                    assertThat(got).isEqualTo(used + s.amount() <= total || s.amount() == 0);
                    if (got) {
                        mine.add(s.amount());
                    }
                }
                case 1 -> {
                    if (!mine.isEmpty()) {
                        leases.release(s.lane(), mine.poll());
                    }
                }
                case 2 -> {
                    leases.release(s.lane(), mine.stream().mapToLong(l -> l).sum());
                    mine.clear();
                    leases.reclaim(s.lane());
                }
                case 3 -> {
                    leases.resize(total, 50 + s.amount());
                    total = 50 + s.amount();
                }
                default -> leases.reclaim(s.lane());
            }
            used = taken.stream().flatMap(java.util.Collection::stream).mapToLong(l -> l).sum();
            assertThat(leases.unused() + used).isEqualTo(total);
        }
    }

    /** Both take, give back, and take all: what is in use never passes the total, at any step of any order. */
    @Test
    void inEveryInterleavingNoMoreIsInUseThanThereIs() {
        int orders = Interleavings.runAll(3, cells -> {
            Leases leases = new Leases(cells, 2, 3);
            AtomicLong used = new AtomicLong();
            Runnable[] lanes = new Runnable[2];
            for (int lane = 0; lane < 2; lane++) {
                int me = lane;
                lanes[lane] = () -> {
                    if (leases.tryAcquire(me, 2)) {
                        assertThat(used.addAndGet(2)).isLessThanOrEqualTo(3);
                        used.addAndGet(-2);
                        leases.release(me, 2);
                    }
                };
            }
            return new Interleavings.Case(Arrays.asList(lanes), () -> assertThat(leases.unused()).isEqualTo(3));
        });
        assertThat(orders).isGreaterThan(100);
    }

    /** One lane takes while another thread takes back what it holds unused: neither is doubled nor lost. */
    @Test
    void inEveryInterleavingAReclaimTakesOnlyWhatIsUnused() {
        int orders = Interleavings.runAll(3, cells -> {
            Leases leases = new Leases(cells, 2, 40);
            assertThat(leases.tryAcquire(0, 1)).isTrue();
            boolean[] got = new boolean[1];
            return new Interleavings.Case(List.of(() -> got[0] = leases.tryAcquire(0, 2), () -> leases.reclaim(0)),
                    () -> {
                        assertThat(got[0]).isTrue();
                        assertThat(leases.unused()).isEqualTo(37);
                    });
        });
        assertThat(orders).isGreaterThan(10);
    }

    /** The total is cut while a lane takes: once both are done, nothing more is given out until enough came back. */
    @Test
    void inEveryInterleavingACutHoldsForWhatIsTakenAfterIt() {
        Interleavings.runAll(3, cells -> {
            Leases leases = new Leases(cells, 2, 4);
            assertThat(leases.tryAcquire(0, 2)).isTrue();
            boolean[] got = new boolean[1];
            return new Interleavings.Case(List.of(() -> got[0] = leases.tryAcquire(1, 2), () -> leases.resize(4, 2)),
                    () -> {
                long used = got[0] ? 4 : 2;
                assertThat(leases.unused()).isEqualTo(2 - used);
                assertThat(leases.tryAcquire(0, 1)).isFalse();
                assertThat(leases.tryAcquire(1, 1)).isFalse();
                leases.release(0, 2);
                assertThat(leases.tryAcquire(0, 1)).isEqualTo(used < 4);
            });
        });
    }

    /** Two that take at once from what suffices for one: one gets it or, in passing, none; never both. */
    @Test
    void inEveryInterleavingTheLastIsGivenOnce() {
        int[] both = new int[3];
        Interleavings.runAll(3, cells -> {
            Leases leases = new Leases(cells, 2, 1);
            boolean[] got = new boolean[2];
            return new Interleavings.Case(List.of(() -> got[0] = leases.tryAcquire(0, 1),
                    () -> got[1] = leases.tryAcquire(1, 1)), () -> {
                        both[(got[0] ? 1 : 0) + (got[1] ? 1 : 0)]++;
                        assertThat(leases.unused()).isEqualTo(got[0] || got[1] ? 0 : 1);
                    });
        });
        assertThat(both[2]).isZero();
        assertThat(both[1]).isPositive();
    }
}
