package burlford.play;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The faults of one run, drawn by its seed; each may come with any other.
 *
 * @param pauseCount how often the process stands still
 * @param pauseMs for how long each time
 * @param hang a reader answers nothing for a while
 * @param hangAtEnd it answers nothing again through the shutdown
 * @param drain another one drains
 * @param restart a third one starts anew
 * @param limitsFurtherAttempts further attempts are limited
 * @param signals what the process is told, in this order, at the end
 */
record FaultPlan(int seed, int deadlineMs, boolean socketsScarce, int pauseCount, int pauseMs, boolean hang,
        boolean hangAtEnd, boolean drain, boolean restart, boolean limitsFurtherAttempts, boolean probing,
        List<String> signals) {

    private static final int[] DEADLINES_MS = {250, 300, 600, 1500};
    private static final List<List<String>> SIGNALS = List.of(List.of("TERM"), List.of("HUP", "TERM"),
            List.of("TERM", "HUP"), List.of("TERM", "TERM"), List.of("HUP", "HUP", "TERM", "HUP"));
    private static final int MOST_PAUSES = 3;
    private static final int SHORTEST_PAUSE_MS = 50;
    private static final int LONGEST_PAUSE_MS = 700;
    private static final int STEP_MS = 150;
    /** Behind the last fault, for the process to serve again. */
    private static final int QUIET_MS = 700;

    static FaultPlan fromSeed(int seed) {
        SplittableRandom random = new SplittableRandom(seed * 7919L);
        return new FaultPlan(seed, DEADLINES_MS[random.nextInt(DEADLINES_MS.length)], random.nextInt(4) == 0,
                random.nextInt(MOST_PAUSES + 1), random.nextInt(SHORTEST_PAUSE_MS, LONGEST_PAUSE_MS),
                random.nextBoolean(), random.nextBoolean(), random.nextBoolean(), random.nextBoolean(),
                random.nextBoolean(), random.nextBoolean(), SIGNALS.get(random.nextInt(SIGNALS.size())));
    }

    /** One without faults but those that readers and clients draw themselves. */
    static FaultPlan withoutInjectedFaults(int deadlineMs, boolean crowd) {
        return new FaultPlan(0, deadlineMs, crowd, 0, 0, false, false, false, false, false, false, List.of("TERM"));
    }

    /** Plays all but the signals, one fault after the other in an order of the seed's. onQuiet: run behind the last. */
    void injectFaults(CoordinatorProcess program, List<SoakReader> readers, SoakDiscovery discovery, Audit audit,
            Runnable onQuiet) throws Exception {
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < pauseCount; i++) {
            faults.add(() -> pause(program, audit));
        }
        if (hang) {
            faults.add(() -> readers.get(0).hang());
        }
        if (drain) {
            faults.add(() -> discovery.drain(1));
        }
        if (restart) {
            faults.add(() -> discovery.restart(2));
        }
        SplittableRandom random = new SplittableRandom(seed);
        while (!faults.isEmpty()) {
            Thread.sleep(random.nextInt(STEP_MS));
            faults.remove(random.nextInt(faults.size())).inject();
        }
        readers.get(0).resume();
        onQuiet.run();
        Thread.sleep(QUIET_MS);
        if (hangAtEnd) {
            readers.get(0).hang();
        }
    }

    private void pause(CoordinatorProcess program, Audit audit) throws Exception {
        program.signal("STOP");
        long from = System.nanoTime();
        Thread.sleep(pauseMs);
        long to = System.nanoTime();
        program.signal("CONT");
        audit.recordPause(from, to);
    }

    private interface Fault {
        void inject() throws Exception;
    }
}
