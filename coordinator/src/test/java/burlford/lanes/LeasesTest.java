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

/**
 * Guards against leases that grant more than the total, lose units, or refuse an acquisition while another lane's units
 * are unused. Such faults come about when acquire, release, reclaim and resize of several threads interleave.
 */
class LeasesTest {

    private static final int LANES = 3;

    /** One step. Kinds: 0 acquire, 1 release the oldest acquisition, 2 lane failure, 3 resize, 4 reclaim. */
    record Step(int kind, int lane, long amount) { }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Integer> kinds = Arbitraries.frequency(net.jqwik.api.Tuple.of(8, 0), net.jqwik.api.Tuple.of(6, 1),
                net.jqwik.api.Tuple.of(1, 2), net.jqwik.api.Tuple.of(1, 3), net.jqwik.api.Tuple.of(1, 4));
        return Combinators.combine(kinds, Arbitraries.integers().between(0, LANES - 1),
                Arbitraries.longs().between(0, 60)).as(Step::new).list().ofMaxSize(200);
    }

    @Property(tries = 2000)
    void acquireReleaseFailureAndResizePreserveTheTotal(@ForAll("steps") List<Step> steps) {
        long total = 100;
        Leases leases = new Leases(AtomicLongs.padded(LANES + 1), LANES, total);
        List<java.util.ArrayDeque<Long>> acquired = IntStream.range(0, LANES)
                .mapToObj(i -> new java.util.ArrayDeque<Long>()).toList();
        for (Step step : steps) {
            java.util.ArrayDeque<Long> acquiredByLane = acquired.get(step.lane());
            long used = acquired.stream().flatMap(java.util.Collection::stream).mapToLong(l -> l).sum();
            switch (step.kind()) {
                case 0 -> {
                    boolean granted = leases.tryAcquire(step.lane(), step.amount());
                    // Without concurrency a request is granted exactly if enough is unused, in whichever reserve.
                    assertThat(granted).isEqualTo(used + step.amount() <= total || step.amount() == 0);
                    if (granted) {
                        acquiredByLane.add(step.amount());
                    }
                }
                case 1 -> {
                    if (!acquiredByLane.isEmpty()) {
                        leases.release(step.lane(), acquiredByLane.poll());
                    }
                }
                case 2 -> {
                    leases.release(step.lane(), acquiredByLane.stream().mapToLong(l -> l).sum());
                    acquiredByLane.clear();
                    leases.reclaim(step.lane());
                }
                case 3 -> {
                    leases.resize(total, 50 + step.amount());
                    total = 50 + step.amount();
                }
                default -> leases.reclaim(step.lane());
            }
            used = acquired.stream().flatMap(java.util.Collection::stream).mapToLong(l -> l).sum();
            assertThat(leases.unused() + used).isEqualTo(total);
        }
    }

    /** Two lanes acquire and release at the same time: the units in use never exceed the total. */
    @Test
    void noInterleavingAcquiresMoreThanTheTotal() {
        int runs = Interleavings.runAll(3, amounts -> {
            Leases leases = new Leases(amounts, 2, 3);
            AtomicLong used = new AtomicLong();
            Runnable[] lanes = new Runnable[2];
            for (int lane = 0; lane < 2; lane++) {
                int self = lane;
                lanes[lane] = () -> {
                    if (leases.tryAcquire(self, 2)) {
                        assertThat(used.addAndGet(2)).isLessThanOrEqualTo(3);
                        used.addAndGet(-2);
                        leases.release(self, 2);
                    }
                };
            }
            return new Interleavings.Case(Arrays.asList(lanes), () -> assertThat(leases.unused()).isEqualTo(3));
        });
        assertThat(runs).isGreaterThan(100);
    }

    /** A lane acquires while another thread reclaims its reserve: no unit is duplicated or lost. */
    @Test
    void noInterleavingReclaimsAcquiredUnits() {
        int runs = Interleavings.runAll(3, amounts -> {
            Leases leases = new Leases(amounts, 2, 40);
            assertThat(leases.tryAcquire(0, 1)).isTrue();
            boolean[] granted = new boolean[1];
            return new Interleavings.Case(List.of(() -> granted[0] = leases.tryAcquire(0, 2), () -> leases.reclaim(0)),
                    () -> {
                        assertThat(granted[0]).isTrue();
                        assertThat(leases.unused()).isEqualTo(37);
                    });
        });
        assertThat(runs).isGreaterThan(10);
    }

    /** The total is reduced while a lane acquires: afterwards nothing is granted until enough was released. */
    @Test
    void reducedTotalLimitsLaterAcquisitionsInEveryInterleaving() {
        Interleavings.runAll(3, amounts -> {
            Leases leases = new Leases(amounts, 2, 4);
            assertThat(leases.tryAcquire(0, 2)).isTrue();
            boolean[] granted = new boolean[1];
            return new Interleavings.Case(List.of(() -> granted[0] = leases.tryAcquire(1, 2),
                    () -> leases.resize(4, 2)),
                    () -> {
                long used = granted[0] ? 4 : 2;
                assertThat(leases.unused()).isEqualTo(2 - used);
                assertThat(leases.tryAcquire(0, 1)).isFalse();
                assertThat(leases.tryAcquire(1, 1)).isFalse();
                leases.release(0, 2);
                assertThat(leases.tryAcquire(0, 1)).isEqualTo(used < 4);
            });
        });
    }

    /** Two lanes acquire the last unit at the same time: one of them gets it, or in some interleavings none. */
    @Test
    void noInterleavingGrantsTheLastUnitTwice() {
        int[] runsByGrantCount = new int[3];
        Interleavings.runAll(3, amounts -> {
            Leases leases = new Leases(amounts, 2, 1);
            boolean[] granted = new boolean[2];
            return new Interleavings.Case(List.of(() -> granted[0] = leases.tryAcquire(0, 1),
                    () -> granted[1] = leases.tryAcquire(1, 1)), () -> {
                        runsByGrantCount[(granted[0] ? 1 : 0) + (granted[1] ? 1 : 0)]++;
                        assertThat(leases.unused()).isEqualTo(granted[0] || granted[1] ? 0 : 1);
                    });
        });
        assertThat(runsByGrantCount[2]).isZero();
        assertThat(runsByGrantCount[1]).isPositive();
    }
}
