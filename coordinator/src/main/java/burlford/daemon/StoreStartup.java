package burlford.daemon;

import burlford.store.Store;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Decides when a coordinator that starts may use what its store holds, and so when it may listen for clients: once the
 * state is current, so that settings, inventory and reader list are none that clients have seen replaced. Without a
 * majority it goes on with the last state in its own log after a while, and takes the current one when it comes.
 */
final class StoreStartup {

    private static final Logger LOG = Logger.getLogger(StoreStartup.class.getName());
    /** Longer than an election behind the loss of a leader takes. */
    static final long MAX_WAIT_US = 5_000_000;

    private final Store store;
    private final EventLoopDriver loopDriver;
    private final BooleanSupplier stopping;

    /** stopping: whether the process has been told to stop. */
    StoreStartup(Store store, EventLoopDriver loopDriver, BooleanSupplier stopping) {
        this.store = store;
        this.loopDriver = loopDriver;
        this.stopping = stopping;
    }

    /** Runs the event loop until the store's watchers have been told of the state to start with. */
    void await() {
        if (store.isCurrent()) {
            return;
        }
        long until = loopDriver.now() + MAX_WAIT_US;
        loopDriver.timers.schedule(until, () -> { }); // the loop waits no longer than until a timer is due
        while (!store.isCurrent() && loopDriver.now() < until && !stopping.getAsBoolean()) {
            loopDriver.runIteration();
        }
        if (!store.isCurrent() && !stopping.getAsBoolean()) {
            useLastKnown();
        }
    }

    private void useLastKnown() {
        LOG.log(Level.WARNING, "store: no majority within {0} ms; serves by the last state in its own log, perhaps "
                + "an old one, until there is one", MAX_WAIT_US / 1000);
        boolean[] reported = new boolean[1];
        store.reportLastKnown(() -> reported[0] = true);
        while (!reported[0] && !stopping.getAsBoolean()) {
            loopDriver.runIteration();
        }
    }
}
