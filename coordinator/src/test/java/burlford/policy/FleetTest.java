package burlford.policy;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.policy.Aggregator.Listed;
import org.junit.jupiter.api.Test;

/** What is harmless in one instance and ruinous when all do it. */
class FleetTest {

    private static final long SECOND = 1000 * Fixture.MS;

    private static Fleet fleet(int instances, int cells, int each, long seed) {
        Fixture f = Fixture.plain();
        f.instances = instances;
        f.reach = 1;
        f.cells = cells;
        f.probe = true;
        f.coldSpan = SECOND;
        Fleet fleet = new Fleet(f.settings(), seed);
        for (int i = 0; i < cells * each; i++) {
            fleet.reader(100 + i, i % cells);
        }
        fleet.tellAll(Fixture.list(fleet.readers.values().stream().map(r -> Fixture.server(r.id, r.cell))
                .toArray(Listed[]::new)));
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
            Fleet fleet = fleet(14, 1, 4, seed);
            fleet.readers.get(100L).speed = at -> 0.15;
            fleet.run(15 * SECOND, 180, 1);
            assertThat(fleet.answered).isGreaterThan(2600);
            assertThat(fleet.readers.values().stream().filter(r -> r.id != 100).mapToInt(r -> r.mostHeld).max()
                    .orElseThrow())
                    .as("most held by the fullest, seed " + seed).isLessThan(13);
        }
    }
}
