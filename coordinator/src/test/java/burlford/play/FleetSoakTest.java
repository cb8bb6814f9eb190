package burlford.play;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Two dozen real processes at once, each started as deployed with the least memory that the pages name, each under
 * faults of its own that overlap with the others' and beside bad clients. {@code -Dsoak.fleets=50 -Dsoak.first=1} for
 * more.
 */
class FleetSoakTest {

    private static final int FLEETS = Integer.getInteger("soak.fleets", 2);
    private static final int FIRST = Integer.getInteger("soak.first", 1);
    private static final int PROCESSES = 24;
    private static final int CLIENTS = 3;
    private static final int SEEDS_PER_FLEET = 1_000;
    /** The pages let one coordinator in ten refuse all that it gets. */
    private static final int MAX_WITHOUT_ANSWER = PROCESSES / 10;
    /** Within which the processes of a fleet start, so that one is killed while another begins. */
    private static final int START_SPREAD_MS = 4_000;

    /** Guards against rules broken, memory passed and processes ended under faults and bad clients that overlap. */
    @Test
    void noRuleIsBrokenInAFleet() throws Exception {
        List<String> broken = new ArrayList<>();
        for (int fleet = FIRST; fleet < FIRST + FLEETS; fleet++) {
            broken.addAll(run(fleet));
        }
        assertThat(broken).isEmpty();
    }

    private static List<String> run(int fleet) throws Exception {
        ExecutorService runs = Executors.newFixedThreadPool(PROCESSES);
        List<Future<SoakRun.Result>> results = new ArrayList<>();
        for (int i = 0; i < PROCESSES; i++) {
            int seed = fleet * SEEDS_PER_FLEET + i;
            results.add(runs.submit(() -> runOne(seed)));
        }
        List<String> broken = new ArrayList<>();
        int withoutAnswer = 0;
        for (Future<SoakRun.Result> result : results) {
            broken.addAll(result.get().violations());
            withoutAnswer += result.get().answeredAny() ? 0 : 1;
        }
        if (withoutAnswer > MAX_WITHOUT_ANSWER) {
            broken.add("fleet " + fleet + ": " + withoutAnswer + " processes have answered nothing");
        }
        runs.shutdown();
        runs.awaitTermination(1, TimeUnit.SECONDS);
        return broken;
    }

    private static SoakRun.Result runOne(int seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        Thread.sleep(random.nextInt(START_SPREAD_MS));
        Misbehaviour misbehaviour = Misbehaviour.values()[random.nextInt(Misbehaviour.values().length)];
        FaultPlan plan = FaultPlan.fromSeed(seed);
        SoakRun.Result result = SoakRun.deployed(CLIENTS, misbehaviour).play(plan, random);
        return new SoakRun.Result(result.violations().stream()
                .map(line -> "seed " + seed + ", " + misbehaviour + ", " + plan + ": " + line).toList(),
                result.answeredAny());
    }
}
