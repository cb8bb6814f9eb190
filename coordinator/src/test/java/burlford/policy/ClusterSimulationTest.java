package burlford.policy;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.policy.Aggregator.ListEntry;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** What is harmless in one instance and ruinous when all do it. */
class ClusterSimulationTest {

    private static final long SECOND = 1000 * Fixture.MS;

    private static ClusterSimulation fleet(int instances, int cells, int each, long seed) {
        return fleet(instances, cells, each, seed, 0.01);
    }

    private static ClusterSimulation fleet(int instances, int cells, int each, long seed, double probePrice) {
        Fixture f = Fixture.withDefaults();
        f.instances = instances;
        f.reach = 1;
        f.cells = cells;
        f.mayProbe = true;
        f.probePrice = probePrice;
        f.handshakePrice = probePrice;
        f.overloadWindow = SECOND;
        f.aim = SECOND / 2;
        f.reportFields = List.of(Aggregator.ReportField.RATE, Aggregator.ReportField.QUEUE);
        ClusterSimulation fleet = new ClusterSimulation(f.settings(), seed);
        for (int i = 0; i < cells * each; i++) {
            fleet.reader(100 + i, i % cells);
        }
        fleet.deliverToAll(Fixture.listUpdate(fleet.readers.values().stream().map(r -> Fixture.server(r.id, r.cell))
                .toArray(ListEntry[]::new)));
        return fleet;
    }

    /**
     * Fourteen instances see the same late reports of four readers, one of them slow, at nine tenths of what the
     * others can do. Before others' sends were expected the fullest sound one held 15 to 18 parts: all sent to the one
     * last reported idle.
     */
    @Test
    void instancesThatSeeTheSameLateReportsDoNotPileOntoOneReader() {
        for (long seed = 1; seed <= 3; seed++) {
            ClusterSimulation fleet = fleet(14, 1, 4, seed);
            fleet.readers.get(100L).speed = at -> 0.15;
            fleet.run(15 * SECOND, 180, 1);
            assertThat(fleet.answered).isGreaterThan(2600);
            assertThat(fleet.readers.values().stream().filter(r -> r.id != 100).mapToInt(r -> r.maxInFlight).max()
                    .orElseThrow())
                    .as("most held by the fullest, seed " + seed).isLessThan(13);
        }
    }

    /**
     * A hundred instances, one of eight readers slow: each meets a reader every two seconds, so what a slow one cost is
     * remembered until then, a quick probe does not erase it, and a part that sits there is recalled. With probes that
     * erased it and parts left where they were 566 and more of 12,000 queries were refused.
     */
    @Test
    void slowReadersCostFewQueriesThoughEachInstanceMeetsThemSeldom() {
        ClusterSimulation fleet = fleet(100, 15, 4, 1, 0.08);
        fleet.readers.values().stream().filter(r -> r.id % 8 == 4).forEach(r -> r.speed = at -> 0.2);
        fleet.run(15 * SECOND, 300, 7);
        assertThat(fleet.answered).isGreaterThan(4000);
        assertThat(fleet.refused + fleet.failed).isLessThan(30);
    }

    /**
     * A hundred instances before sixty readers: one already connected to, and no busier than is usual, will do. Of
     * 6,000 connections 5,500 were opened while each instance was drawn to every reader it had not heard of.
     */
    @Test
    void hundredInstancesDoNotEachConnectToEveryReader() {
        ClusterSimulation fleet = fleet(100, 15, 4, 1, 0.08);
        fleet.run(15 * SECOND, 300, 7);
        assertThat(fleet.refused + fleet.failed).isZero();
        assertThat(fleet.connected.size()).isLessThan(4000);
        assertThat(fleet.readers.values()).allSatisfy(r -> assertThat(r.partArrivals.size()).isBetween(200, 900));
    }

    /**
     * One of a hundred that has just started gets a dozen queries at once, from clients of those that are down. It took
     * each reader with one part of its own to hold ninety-nine others, and refused half of them at once.
     */
    @Test
    void freshInstanceOfAHundredTakesABurst() {
        Fixture f = Fixture.withDefaults();
        f.instances = 100;
        f.reach = 1;
        f.cells = 15;
        f.aim = SECOND / 2;
        Decide module = new Decide(f.settings(), 1);
        module.round(Fixture.START_US, List.of(Fixture.listUpdate(LongStream.range(0, 60)
                .mapToObj(i -> Fixture.server(100 + i, (int) i % 15)).toArray(ListEntry[]::new))));
        SplittableRandom random = new SplittableRandom(1);
        for (int q = 0; q < 12; q++) {
            int[] shards = random.ints(0, 15).distinct().limit(7).toArray();
            assertThat(module.round(Fixture.START_US + (1 + q) * Fixture.MS, Fixture.queryEvents(1 + 20L * q, 0, q + 1,
                    shards))).as("query " + q).noneMatch(Aggregator.Refuse.class::isInstance);
        }
    }

    /** Times learnt while all stood slow must not refuse for good: what is never tried is never learnt anew. */
    @Test
    void instancesThatLearntBadTimesTakeQueriesAgain() {
        ClusterSimulation fleet = fleet(2, 3, 4, 1);
        fleet.readers.values().forEach(r -> r.speed = at -> at < Fixture.START_US + 3 * SECOND ? 0.02 : 1);
        fleet.run(10 * SECOND, 40, 3);
        int refused = fleet.refused;
        assertThat(refused).isPositive();
        fleet.run(4 * SECOND, 40, 3);
        assertThat(fleet.refused).isEqualTo(refused);
    }

    /**
     * Six in ten readers are replaced within 7 s: all instances together keep within what the rule allows a cold
     * one, and use it all the same. 492 of 9,600 queries were refused while admission took no account of a turn that
     * comes, and a warm reader's rate was guessed from parts' times; now 23.
     */
    @Test
    void replacedReadersAreUsedWithinTheRuleByAllTogether() {
        int refused = 0;
        for (long seed = 1; seed <= 3; seed++) {
            ClusterSimulation fleet = fleet(14, 5, 4, seed);
            fleet.run(4 * SECOND, 160, 5);
            for (int i = 0; i < 12; i++) {
                fleet.replace(100 + i, 200 + i, i * 500 * Fixture.MS, 0.2, 10 * SECOND);
            }
            fleet.run(16 * SECOND, 160, 5);
            refused += fleet.refused + fleet.failed;
            assertThat(fleet.readers.values()).filteredOn(r -> r.id >= 200)
                    .allSatisfy(r -> assertThat(r.limitViolations).as("sent " + r.id).isZero());
        }
        assertThat(refused).isLessThan(150);
    }

    /** Eight times the price, an eighth of the probes at most, and what is learnt at no cost is enough for service. */
    @Test
    void probesOfAllInstancesCostNoMoreThanTheyMay() {
        for (double price : new double[] {0.01, 0.08}) {
            ClusterSimulation fleet = fleet(14, 5, 4, 1, price);
            fleet.run(8 * SECOND, 150, 5);
            int parts = fleet.readers.values().stream().mapToInt(r -> r.partArrivals.size()).sum();
            assertThat(price * fleet.probes / parts).as("price " + price).isLessThan(0.0125);
            assertThat(fleet.refused + fleet.failed).as("price " + price).isLessThan(20);
        }
    }

    /**
     * Three of four readers are replaced, the fourth is ten times slower: a part waits for its turn at a cold one, and
     * goes to the slow one only where that would not take twice as long. Sent there 416 before and 196 now, answered in
     * 12 s on three seeds 1420 and 1545.
     */
    @Test
    void turnAtAColdReaderIsWaitedForRatherThanTakingAFarSlowerOne() {
        int toSlow = 0;
        int answered = 0;
        for (long seed = 1; seed <= 3; seed++) {
            ClusterSimulation fleet = fleet(14, 1, 4, seed);
            fleet.readers.get(100L).speed = at -> 0.1;
            fleet.run(4 * SECOND, 60, 1);
            int before = fleet.readers.get(100L).partArrivals.size();
            for (int i = 1; i < 4; i++) {
                fleet.replace(100 + i, 200 + i, i * 100 * Fixture.MS, 0.2, 10 * SECOND);
            }
            fleet.run(8 * SECOND, 60, 1);
            toSlow += fleet.readers.get(100L).partArrivals.size() - before;
            answered += fleet.answered;
        }
        assertThat(toSlow).isLessThan(300);
        assertThat(answered).isGreaterThan(1480);
    }
}
