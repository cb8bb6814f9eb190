package burlford.policy;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.policy.Aggregator.ListKind;
import burlford.policy.Aggregator.Status;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests new settings while queries are being served: the budgets of the rules go on across the change. */
class ReconfigurationTest {

    /** One second in microseconds. */
    private static final long SECOND = 1_000_000;
    /** Interval at which the dispatcher is called until it sends. */
    private static final long STEP_US = 5_000;
    private static final long ANSWER_TIME_US = 30_000;
    private static final long TIME_LEFT_US = 6 * SECOND;
    private static final List<Dispatcher.Part> PARTS = List.of(new Dispatcher.Part(0, 1, 0, 7));

    private final Fixture fixture = Fixture.withDefaults();
    private long queryNumber;

    private Dispatcher createDispatcher(long seed) {
        return new Dispatcher(fixture.settings(), seed);
    }

    private static void reportReader(Dispatcher dispatcher, long now, long startedAt) {
        dispatcher.report(now, ListKind.CACHED, List.of(new Dispatcher.Reader("s0", 0, 0, Status.READY, 1, startedAt)));
    }

    /**
     * Submits a query of one part at the given time. The part is answered as soon as it has been sent.
     *
     * @return the time at which the part is sent
     */
    private long sendTimeOfQuery(Dispatcher dispatcher, long submittedAt) {
        queryNumber++;
        Dispatcher.Decisions decisions = dispatcher.submit(submittedAt, queryNumber, 0, 0, 7, false, TIME_LEFT_US,
                PARTS);
        long now = submittedAt;
        while (decisions.sends().isEmpty()) {
            now += STEP_US;
            assertThat(now - submittedAt).as("waiting time of the part").isLessThan(TIME_LEFT_US);
            decisions = dispatcher.tick(now);
        }
        dispatcher.report(now, decisions.sends().get(0), Aggregator.Outcome.OK, ANSWER_TIME_US, true, new double[0]);
        return now;
    }

    /** Guards against one part more than the budget of a reader in slow start allows with each new configuration. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void slowStartBudgetIsKeptAcrossNewSettings(long seed) {
        fixture.overloadWindow = SECOND;
        fixture.instances = 2;
        fixture.aim = SECOND;
        long start = Fixture.START_US;
        Dispatcher unchanged = createDispatcher(seed);
        reportReader(unchanged, start, start - SECOND);
        long firstSentAt = sendTimeOfQuery(unchanged, start);
        long secondSentAt = sendTimeOfQuery(unchanged, firstSentAt);

        Dispatcher oldDispatcher = createDispatcher(seed);
        reportReader(oldDispatcher, start, start - SECOND);
        assertThat(sendTimeOfQuery(oldDispatcher, start)).isEqualTo(firstSentAt);
        Dispatcher newDispatcher = createDispatcher(seed + 100);
        reportReader(newDispatcher, firstSentAt, start - SECOND);
        newDispatcher.shareBudgetsWith(oldDispatcher);
        assertThat(sendTimeOfQuery(newDispatcher, firstSentAt)).isGreaterThanOrEqualTo(secondSentAt - STEP_US);
    }

    /** Guards against a budget of further attempts that starts anew with each new configuration. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void furtherAttemptBudgetIsKeptAcrossNewSettings(long seed) {
        fixture.budgetBase = 1;
        Dispatcher oldDispatcher = createDispatcher(seed);
        reportReader(oldDispatcher, Fixture.START_US, 0);
        assertThat(countFurtherAttempts(oldDispatcher)).isEqualTo(1);
        Dispatcher newDispatcher = createDispatcher(seed);
        reportReader(newDispatcher, Fixture.START_US, 0);
        newDispatcher.shareBudgetsWith(oldDispatcher);
        assertThat(countFurtherAttempts(newDispatcher)).isZero();
    }

    /** Submits a query whose attempts all fail at once, and returns the number of its further attempts. */
    private int countFurtherAttempts(Dispatcher dispatcher) {
        queryNumber++;
        int attempts = 0;
        long now = Fixture.START_US;
        Dispatcher.Decisions decisions = dispatcher.submit(now, queryNumber, 0, 0, 7, false, TIME_LEFT_US, PARTS);
        for (int i = 0; i < 50; i++) {
            now += STEP_US;
            if (decisions.sends().isEmpty()) {
                decisions = dispatcher.tick(now);
            } else {
                attempts++;
                decisions = dispatcher.report(now, decisions.sends().get(0), Aggregator.Outcome.ERROR, STEP_US, false,
                        new double[0]);
            }
        }
        return attempts - 1;
    }

    /** Guards against a budget of further attempts that queries under old and under new settings each spend in full. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void oldAndNewSettingsShareOneFurtherAttemptBudget(long seed) {
        fixture.budgetBase = 1;
        Dispatcher oldDispatcher = createDispatcher(seed);
        reportReader(oldDispatcher, Fixture.START_US, 0);
        Dispatcher newDispatcher = createDispatcher(seed);
        reportReader(newDispatcher, Fixture.START_US, 0);
        newDispatcher.shareBudgetsWith(oldDispatcher);
        assertThat(countFurtherAttempts(oldDispatcher)).isEqualTo(1);
        assertThat(countFurtherAttempts(newDispatcher)).isZero();
    }

    /** Guards against a slow start budget that queries under old and under new settings each spend in full. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void oldAndNewSettingsShareOneSlowStartBudget(long seed) {
        fixture.overloadWindow = SECOND;
        fixture.aim = SECOND;
        long start = Fixture.START_US;
        Dispatcher oldDispatcher = createDispatcher(seed);
        reportReader(oldDispatcher, start, start - SECOND);
        Dispatcher newDispatcher = createDispatcher(seed + 100);
        reportReader(newDispatcher, start, start - SECOND);
        newDispatcher.shareBudgetsWith(oldDispatcher);
        long firstSentAt = sendTimeOfQuery(oldDispatcher, start);
        assertThat(sendTimeOfQuery(newDispatcher, firstSentAt)).isGreaterThan(firstSentAt);
    }
}
