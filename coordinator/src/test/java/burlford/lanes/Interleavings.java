package burlford.lanes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/**
 * Runs small programs over {@link AtomicLongs} in every order in which their steps can fall: one step is one access to
 * a cell. Each order is played from the start, with the threads taking turns as a schedule says.
 */
final class Interleavings {

    /** What runs at once, and what must hold when all has run. */
    record Case(List<Runnable> programs, Runnable check) { }

    private final List<Integer> schedule = new ArrayList<>();
    private final List<Integer> choices = new ArrayList<>();
    private final Set<String> met = new HashSet<>();
    private StringBuilder[] histories = {};
    private int played;

    private final class SteppedLongs implements AtomicLongs {
        private final AtomicLongs cells;
        private final int count;

        SteppedLongs(AtomicLongs cells, int count) {
            this.cells = cells;
            this.count = count;
        }

        @Override
        public long get(int cell) {
            turn();
            return seen(cells.get(cell));
        }

        @Override
        public boolean compareAndSet(int cell, long expected, long to) {
            turn();
            return seen(cells.compareAndSet(cell, expected, to));
        }

        /** What a program saw so far is all it goes by: with the cells it says where the whole stands. */
        private <T> T seen(T result) {
            Integer me = self.get();
            if (me != null) {
                histories[me].append(result).append(',');
            }
            return result;
        }

        String state() {
            StringBuilder state = new StringBuilder();
            for (int cell = 0; cell < count; cell++) {
                state.append(cells.get(cell)).append(' ');
            }
            for (StringBuilder h : histories) {
                state.append('|').append(h);
            }
            return state.toString();
        }
    }

    private final ThreadLocal<Integer> self = new ThreadLocal<>();
    private int running = -1;
    private boolean[] waits;
    private boolean[] done;

    private void turn() {
        Integer me = self.get();
        if (me == null) {
            return; // set up and checked outside the programs
        }
        synchronized (this) {
            histories[me].append('.');
            waits[me] = true;
            running = -1;
            notifyAll();
            while (running != me) {
                await();
            }
            waits[me] = false;
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
     * Plays all orders, the case made anew for each over so many cells; where one comes to a state that another was
     * in, what can follow has been played or will be. Returns how many were played.
     */
    static int runAll(int cells, Function<AtomicLongs, Case> make) {
        Interleavings i = new Interleavings();
        do {
            SteppedLongs stepped = i.new SteppedLongs(AtomicLongs.padded(cells), cells);
            i.play(make.apply(stepped), stepped);
        } while (i.next());
        return i.played;
    }

    private void play(Case c, SteppedLongs cells) {
        boolean known = false;
        int n = c.programs().size();
        waits = new boolean[n];
        done = new boolean[n];
        histories = new StringBuilder[n];
        Arrays.setAll(histories, p -> new StringBuilder());
        running = -1;
        Throwable[] thrown = new Throwable[1];
        List<Thread> threads = new ArrayList<>();
        for (int p = 0; p < n; p++) {
            int me = p;
            Thread t = new Thread(() -> {
                self.set(me);
                try {
                    turn();
                    c.programs().get(me).run();
                } catch (Throwable e) {
                    thrown[0] = e;
                }
                synchronized (this) {
                    done[me] = true;
                    running = -1;
                    notifyAll();
                }
            });
            t.start();
            threads.add(t);
        }
        synchronized (this) {
            for (int step = 0; ; step++) {
                while (running != -1 || !allAtRest()) {
                    await();
                }
                List<Integer> able = new ArrayList<>();
                for (int p = 0; p < n; p++) {
                    if (!done[p]) {
                        able.add(p);
                    }
                }
                if (able.isEmpty()) {
                    break;
                }
                if (step == schedule.size() && !known) {
                    known = !met.add(cells.state());
                    if (!known) {
                        schedule.add(0);
                        choices.add(able.size());
                    }
                }
                running = step < schedule.size() ? able.get(schedule.get(step)) : able.get(0);
                waits[running] = false;
                notifyAll();
            }
        }
        for (Thread t : threads) {
            try {
                t.join();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        played++;
        if (thrown[0] != null) {
            throw new AssertionError("in order " + schedule, thrown[0]);
        }
        try {
            c.check().run();
        } catch (AssertionError e) {
            throw new AssertionError("after order " + schedule, e);
        }
    }

    private boolean allAtRest() {
        for (int p = 0; p < done.length; p++) {
            if (!done[p] && !waits[p]) {
                return false;
            }
        }
        return true;
    }

    /** The next order, depth first; false when all were played. */
    private boolean next() {
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
