package burlford.policy;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.policy.Aggregator.ListKind;
import burlford.policy.Aggregator.Status;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** New settings while the module serves: what the rules count goes on. */
class ReconfigurationTest {

    private static final long SECOND = 1_000_000;
    private static final long STEP = 5_000;
    private static final long ANSWERED_AFTER = 30_000;
    private static final long TIME_LEFT = 6 * SECOND;
    private static final List<Dispatcher.Part> PARTS = List.of(new Dispatcher.Part(0, 1, 0, 7));

    private final Fixture fixture = Fixture.withDefaults();
    private long number;

    private Dispatcher dispatcher(long seed) {
        return new Dispatcher(fixture.settings(), seed);
    }

    private static void list(Dispatcher d, long now, long startedAt) {
        d.report(now, ListKind.CACHED, List.of(new Dispatcher.Reader("s0", 0, 0, Status.READY, 1, startedAt)));
    }

    /** When a query that comes at a time is sent; it is answered at once. */
    private long sentAt(Dispatcher d, long from) {
        number++;
        Dispatcher.Decisions decisions = d.submit(from, number, 0, 0, 7, false, TIME_LEFT, PARTS);
        long now = from;
        while (decisions.sends().isEmpty()) {
            now += STEP;
            assertThat(now - from).as("never sent").isLessThan(TIME_LEFT);
            decisions = d.tick(now);
        }
        d.report(now, decisions.sends().get(0), Aggregator.Outcome.OK, ANSWERED_AFTER, true, new double[0]);
        return now;
    }

    /** Guards against a further turn at a reader in slow start with each new configuration, beyond its budget. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void slowStartBudgetOutlivesNewSettings(long seed) {
        fixture.overloadWindow = SECOND;
        fixture.instances = 2;
        fixture.aim = SECOND;
        long start = Fixture.START_US;
        Dispatcher steady = dispatcher(seed);
        list(steady, start, start - SECOND);
        long first = sentAt(steady, start);
        long second = sentAt(steady, first);

        Dispatcher before = dispatcher(seed);
        list(before, start, start - SECOND);
        assertThat(sentAt(before, start)).isEqualTo(first);
        Dispatcher after = dispatcher(seed + 100);
        list(after, first, start - SECOND);
        after.shareBudgetsWith(before);
        assertThat(sentAt(after, first)).isGreaterThanOrEqualTo(second - STEP);
    }

    /** Guards against a retry budget that began anew with each new configuration. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void retryBudgetOutlivesNewSettings(long seed) {
        fixture.budgetBase = 1;
        Dispatcher before = dispatcher(seed);
        list(before, Fixture.START_US, 0);
        assertThat(furtherAttempts(before)).isEqualTo(1);
        Dispatcher after = dispatcher(seed);
        list(after, Fixture.START_US, 0);
        after.shareBudgetsWith(before);
        assertThat(furtherAttempts(after)).isZero();
    }

    /** Attempts of a query behind its first, where each fails at once. */
    private int furtherAttempts(Dispatcher d) {
        number++;
        int attempts = 0;
        long now = Fixture.START_US;
        Dispatcher.Decisions decisions = d.submit(now, number, 0, 0, 7, false, TIME_LEFT, PARTS);
        for (int i = 0; i < 50; i++) {
            now += STEP;
            if (decisions.sends().isEmpty()) {
                decisions = d.tick(now);
            } else {
                attempts++;
                decisions = d.report(now, decisions.sends().get(0), Aggregator.Outcome.ERROR, STEP, false,
                        new double[0]);
            }
        }
        return attempts - 1;
    }

    /** Guards against a retry budget that queries of the older and of the new settings each spend in full. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void retryBudgetIsOneForOlderAndNewSettings(long seed) {
        fixture.budgetBase = 1;
        Dispatcher before = dispatcher(seed);
        list(before, Fixture.START_US, 0);
        Dispatcher after = dispatcher(seed);
        list(after, Fixture.START_US, 0);
        after.shareBudgetsWith(before);
        assertThat(furtherAttempts(before)).isEqualTo(1);
        assertThat(furtherAttempts(after)).isZero();
    }

    /** Guards against a rate in slow start that queries of the older and of the new settings each use in full. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void slowStartBudgetIsOneForOlderAndNewSettings(long seed) {
        fixture.overloadWindow = SECOND;
        fixture.aim = SECOND;
        long start = Fixture.START_US;
        Dispatcher before = dispatcher(seed);
        list(before, start, start - SECOND);
        Dispatcher after = dispatcher(seed + 100);
        list(after, start, start - SECOND);
        after.shareBudgetsWith(before);
        long first = sentAt(before, start);
        assertThat(sentAt(after, first)).isGreaterThan(first);
    }
}
