package burlford.policy;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.policy.Aggregator.ListEntry;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Tests for decisions that are harmless in one instance but cause overload when all instances make them. */
class ClusterSimulationTest {

    /** One second in microseconds. */
    private static final long SECOND = 1000 * Fixture.MS;

    private static ClusterSimulation newSimulation(int instances, int cells, int readersPerCell, long seed) {
        return newSimulation(instances, cells, readersPerCell, seed, 0.01);
    }

    private static ClusterSimulation newSimulation(int instances, int cells, int readersPerCell, long seed,
            double probePrice) {
        Fixture fixture = Fixture.withDefaults();
        fixture.instances = instances;
        fixture.reach = 1;
        fixture.cells = cells;
        fixture.mayProbe = true;
        fixture.probePrice = probePrice;
        fixture.handshakePrice = probePrice;
        fixture.overloadWindow = SECOND;
        fixture.aim = SECOND / 2;
        fixture.reportFields = List.of(Aggregator.ReportField.RATE, Aggregator.ReportField.QUEUE);
        ClusterSimulation simulation = new ClusterSimulation(fixture.settings(), seed);
        for (int i = 0; i < cells * readersPerCell; i++) {
            simulation.reader(100 + i, i % cells);
        }
        simulation.deliverToAll(Fixture.listUpdate(simulation.readers.values().stream()
                .map(r -> Fixture.readyServer(r.id, r.cell)).toArray(ListEntry[]::new)));
        return simulation;
    }

    /**
     * Guards against all instances sending to the reader that was last reported idle. Fourteen instances see the same
     * stale reports of four readers, one of which is slow, and the load is nine tenths of the capacity of the other
     * three. Before instances allowed for the sends of others, the fullest healthy reader held 15 to 18 parts.
     */
    @Test
    void instancesWithTheSameStaleReportsDoNotOverloadOneReader() {
        for (long seed = 1; seed <= 3; seed++) {
            ClusterSimulation simulation = newSimulation(14, 1, 4, seed);
            simulation.readers.get(100L).speed = time -> 0.15;
            simulation.run(15 * SECOND, 180, 1);
            assertThat(simulation.answered).isGreaterThan(2600);
            assertThat(simulation.readers.values().stream().filter(r -> r.id != 100).mapToInt(r -> r.maxInFlight).max()
                    .orElseThrow())
                    .as("parts at the fullest healthy reader, seed " + seed).isLessThan(13);
        }
    }

    /**
     * Guards against losing queries to slow readers. With a hundred instances and one in eight readers slow, an
     * instance sends to a given reader only about every two seconds. Slowness has to be remembered that long, a fast
     * probe must not erase it, and a part that waits at a slow reader has to be cancelled and sent elsewhere. When
     * probes erased it and parts were left waiting, 566 or more of 12,000 queries were refused.
     */
    @Test
    void slowReadersCostFewQueriesAlthoughEachInstanceRarelySendsToThem() {
        ClusterSimulation simulation = newSimulation(100, 15, 4, 1, 0.08);
        simulation.readers.values().stream().filter(r -> r.id % 8 == 4).forEach(r -> r.speed = time -> 0.2);
        simulation.run(15 * SECOND, 300, 7);
        assertThat(simulation.answered).isGreaterThan(4000);
        assertThat(simulation.refused + simulation.failed).isLessThan(30);
    }

    /**
     * Guards against opening connections from every instance to every reader. With a hundred instances and sixty
     * readers, a connected reader that is no busier than usual is good enough. When instances preferred readers that
     * they had no report of, 5,500 of the 6,000 possible connections were opened.
     */
    @Test
    void hundredInstancesDoNotEachConnectToEveryReader() {
        ClusterSimulation simulation = newSimulation(100, 15, 4, 1, 0.08);
        simulation.run(15 * SECOND, 300, 7);
        assertThat(simulation.refused + simulation.failed).isZero();
        assertThat(simulation.connections.size()).isLessThan(4000);
        assertThat(simulation.readers.values()).allSatisfy(r -> assertThat(r.partArrivals.size()).isBetween(200, 900));
    }

    /**
     * Guards against a new instance refusing queries because it overestimates the load of the others. One of a hundred
     * instances has just started and gets a dozen queries at once, from clients of instances that are down. It assumed
     * 99 parts of others at each reader that held one of its own, and refused half of the queries at once.
     */
    @Test
    void newInstanceAmongAHundredAcceptsABurst() {
        Fixture fixture = Fixture.withDefaults();
        fixture.instances = 100;
        fixture.reach = 1;
        fixture.cells = 15;
        fixture.aim = SECOND / 2;
        Decide module = new Decide(fixture.settings(), 1);
        module.round(Fixture.START_US, List.of(Fixture.listUpdate(LongStream.range(0, 60)
                .mapToObj(i -> Fixture.readyServer(100 + i, (int) i % 15)).toArray(ListEntry[]::new))));
        SplittableRandom random = new SplittableRandom(1);
        for (int q = 0; q < 12; q++) {
            int[] shards = random.ints(0, 15).distinct().limit(7).toArray();
            assertThat(module.round(Fixture.START_US + (1 + q) * Fixture.MS,
                    Fixture.queryEvents(1 + 20L * q, 0, q + 1, shards)))
                    .as("query " + q).noneMatch(Aggregator.Refuse.class::isInstance);
        }
    }

    /**
     * Guards against refusing queries for good because of times measured while all readers were slow: if nothing is
     * sent any more, no new times are measured.
     */
    @Test
    void queriesAreAcceptedAgainAfterAllReadersWereSlow() {
        ClusterSimulation simulation = newSimulation(2, 3, 4, 1);
        simulation.readers.values().forEach(r -> r.speed = time -> time < Fixture.START_US + 3 * SECOND ? 0.02 : 1);
        simulation.run(10 * SECOND, 40, 3);
        int refused = simulation.refused;
        assertThat(refused).isPositive();
        simulation.run(4 * SECOND, 40, 3);
        assertThat(simulation.refused).isEqualTo(refused);
    }

    /**
     * Guards against both overloading and avoiding readers in slow start when six in ten readers are replaced within
     * 7 s: all instances together have to keep to the overload rule and still use the new readers. 492 of 9,600 queries
     * were refused when admission did not count on the next permitted send to a reader in slow start and the rate of a
     * warm reader was estimated from the times of parts; now 23 are.
     */
    @Test
    void replacementReadersAreUsedWithinTheOverloadRule() {
        int refused = 0;
        for (long seed = 1; seed <= 3; seed++) {
            ClusterSimulation simulation = newSimulation(14, 5, 4, seed);
            simulation.run(4 * SECOND, 160, 5);
            for (int i = 0; i < 12; i++) {
                simulation.replace(100 + i, 200 + i, i * 500 * Fixture.MS, 0.2, 10 * SECOND);
            }
            simulation.run(16 * SECOND, 160, 5);
            refused += simulation.refused + simulation.failed;
            assertThat(simulation.readers.values()).filteredOn(r -> r.id >= 200).allSatisfy(r ->
                    assertThat(r.limitViolations).as("violations of the overload rule at reader " + r.id).isZero());
        }
        assertThat(refused).isLessThan(150);
    }

    /**
     * Guards against probes that cost more than their share of the result: at eight times the price at most an eighth
     * as many may be sent. What instances learn from answers has to suffice for serving the queries.
     */
    @Test
    void probesOfAllInstancesStayWithinTheirBudget() {
        for (double price : new double[] {0.01, 0.08}) {
            ClusterSimulation simulation = newSimulation(14, 5, 4, 1, price);
            simulation.run(8 * SECOND, 150, 5);
            int parts = simulation.readers.values().stream().mapToInt(r -> r.partArrivals.size()).sum();
            assertThat(price * simulation.probeCount / parts).as("price " + price).isLessThan(0.0125);
            assertThat(simulation.refused + simulation.failed).as("price " + price).isLessThan(20);
        }
    }

    /**
     * Guards against sending parts to a very slow reader because readers in slow start may not take them yet. Three of
     * four readers are replaced and the fourth is ten times slower: a part waits until it may be sent to a new reader,
     * unless the slow one would take less than twice as long. On three seeds this changed the parts sent to the slow
     * reader from 416 to 196, and the queries answered in 12 s from 1420 to 1545.
     */
    @Test
    void partWaitsForAReaderInSlowStartRatherThanUseAFarSlowerOne() {
        int sentToSlowReader = 0;
        int answered = 0;
        for (long seed = 1; seed <= 3; seed++) {
            ClusterSimulation simulation = newSimulation(14, 1, 4, seed);
            simulation.readers.get(100L).speed = time -> 0.1;
            simulation.run(4 * SECOND, 60, 1);
            int sentBefore = simulation.readers.get(100L).partArrivals.size();
            for (int i = 1; i < 4; i++) {
                simulation.replace(100 + i, 200 + i, i * 100 * Fixture.MS, 0.2, 10 * SECOND);
            }
            simulation.run(8 * SECOND, 60, 1);
            sentToSlowReader += simulation.readers.get(100L).partArrivals.size() - sentBefore;
            answered += simulation.answered;
        }
        assertThat(sentToSlowReader).isLessThan(300);
        assertThat(answered).isGreaterThan(1480);
    }
}
