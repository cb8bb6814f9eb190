package burlford.lanes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/**
 * Runs small concurrent programs over {@link AtomicLongs} in every interleaving of their steps, where a step is one
 * access to a value. Each run starts from the beginning, and a schedule decides which thread makes the next step.
 */
final class Interleavings {

    /** Programs that run concurrently, and a check that must hold after all have ended. */
    record Case(List<Runnable> programs, Runnable check) { }

    private final List<Integer> schedule = new ArrayList<>();
    private final List<Integer> choices = new ArrayList<>();
    private final Set<String> visitedStates = new HashSet<>();
    private StringBuilder[] histories = {};
    private int runCount;

    private final class SteppedLongs implements AtomicLongs {
        private final AtomicLongs values;
        private final int count;

        SteppedLongs(AtomicLongs values, int count) {
            this.values = values;
            this.count = count;
        }

        @Override
        public long get(int index) {
            awaitTurn();
            return recordResult(values.get(index));
        }

        @Override
        public boolean compareAndSet(int index, long expected, long newValue) {
            awaitTurn();
            return recordResult(values.compareAndSet(index, expected, newValue));
        }

        /** A program depends only on the results it has read, so these and the values identify the state of a run. */
        private <T> T recordResult(T result) {
            Integer program = currentProgram.get();
            if (program != null) {
                histories[program].append(result).append(',');
            }
            return result;
        }

        String state() {
            StringBuilder state = new StringBuilder();
            for (int index = 0; index < count; index++) {
                state.append(values.get(index)).append(' ');
            }
            for (StringBuilder history : histories) {
                state.append('|').append(history);
            }
            return state.toString();
        }
    }

    private final ThreadLocal<Integer> currentProgram = new ThreadLocal<>();
    private int running = -1;
    private boolean[] waiting;
    private boolean[] done;

    private void awaitTurn() {
        Integer program = currentProgram.get();
        if (program == null) {
            return; // access by the setup or the check, outside the programs
        }
        synchronized (this) {
            histories[program].append('.');
            waiting[program] = true;
            running = -1;
            notifyAll();
            while (running != program) {
                await();
            }
            waiting[program] = false;
        }
    }

    private void await() {
        try {
            wait();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Runs every interleaving, each with a new case over the given count of values. A run that reaches a state visited
     * before is not branched further, because the earlier visit covers all continuations. Returns the number of runs.
     */
    static int runAll(int count, Function<AtomicLongs, Case> caseFactory) {
        Interleavings interleavings = new Interleavings();
        do {
            SteppedLongs stepped = interleavings.new SteppedLongs(AtomicLongs.padded(count), count);
            interleavings.runOnce(caseFactory.apply(stepped), stepped);
        } while (interleavings.advanceSchedule());
        return interleavings.runCount;
    }

    private void runOnce(Case testCase, SteppedLongs values) {
        boolean visited = false;
        int programCount = testCase.programs().size();
        waiting = new boolean[programCount];
        done = new boolean[programCount];
        histories = new StringBuilder[programCount];
        Arrays.setAll(histories, p -> new StringBuilder());
        running = -1;
        Throwable[] thrown = new Throwable[1];
        List<Thread> threads = new ArrayList<>();
        for (int p = 0; p < programCount; p++) {
            int program = p;
            Thread thread = new Thread(() -> {
                currentProgram.set(program);
                try {
                    awaitTurn();
                    testCase.programs().get(program).run();
                } catch (Throwable e) {
                    thrown[0] = e;
                }
                synchronized (this) {
                    done[program] = true;
                    running = -1;
                    notifyAll();
                }
            });
            thread.start();
            threads.add(thread);
        }
        synchronized (this) {
            for (int step = 0; ; step++) {
                while (running != -1 || !allWaitingOrDone()) {
                    await();
                }
                List<Integer> runnable = new ArrayList<>();
                for (int p = 0; p < programCount; p++) {
                    if (!done[p]) {
                        runnable.add(p);
                    }
                }
                if (runnable.isEmpty()) {
                    break;
                }
                if (step == schedule.size() && !visited) {
                    visited = !visitedStates.add(values.state());
                    if (!visited) {
                        schedule.add(0);
                        choices.add(runnable.size());
                    }
                }
                running = step < schedule.size() ? runnable.get(schedule.get(step)) : runnable.get(0);
                waiting[running] = false;
                notifyAll();
            }
        }
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        runCount++;
        if (thrown[0] != null) {
            throw new AssertionError("in schedule " + schedule, thrown[0]);
        }
        try {
            testCase.check().run();
        } catch (AssertionError e) {
            throw new AssertionError("after schedule " + schedule, e);
        }
    }

    private boolean allWaitingOrDone() {
        for (int p = 0; p < done.length; p++) {
            if (!done[p] && !waiting[p]) {
                return false;
            }
        }
        return true;
    }

    /** Advances to the next schedule, depth first; false if all have run. */
    private boolean advanceSchedule() {
        while (!schedule.isEmpty()) {
            int last = schedule.size() - 1;
            if (schedule.get(last) + 1 < choices.get(last)) {
                schedule.set(last, schedule.get(last) + 1);
                return true;
            }
            schedule.remove(last);
            choices.remove(last);
        }
        return false;
    }
}
