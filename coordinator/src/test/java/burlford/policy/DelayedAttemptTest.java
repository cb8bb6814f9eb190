package burlford.policy;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.policy.Aggregator.ListKind;
import burlford.policy.Aggregator.Outcome;
import burlford.policy.Aggregator.Status;
import burlford.policy.Dispatcher.Decisions;
import burlford.policy.Dispatcher.Send;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests attempts that begin later than they were decided, because their event loop was busy or their connection had to
 * be opened: the rules count them from the time at which they begin.
 */
class DelayedAttemptTest {

    private static final long BUDGET_WINDOW_US = 5000 * Fixture.MS;
    /** Time from the decision on an attempt to its beginning. */
    private static final long DELAY_US = 200 * Fixture.MS;
    /** Interval at which the dispatcher is called until it sends. */
    private static final long STEP_US = 5 * Fixture.MS;
    private static final long TIME_LEFT_US = 6000 * Fixture.MS;
    private static final List<Dispatcher.Part> PARTS = List.of(new Dispatcher.Part(0, 1, 0, 7));

    private final Fixture fixture = Fixture.withDefaults();
    private long queryNumber;

    private Dispatcher createDispatcher(long readerStartedAt) {
        Dispatcher dispatcher = new Dispatcher(fixture.settings(), 3);
        dispatcher.report(Fixture.START_US, ListKind.CACHED,
                List.of(new Dispatcher.Reader("s0", 0, 0, Status.READY, 1, readerStartedAt)));
        return dispatcher;
    }

    private Decisions submitQuery(Dispatcher dispatcher, long now) {
        return dispatcher.submit(now, ++queryNumber, 0, 0, 7, false, TIME_LEFT_US, PARTS);
    }

    /** Submits a query whose first attempt is rejected at once; returns its further attempt, or null without one. */
    private Send sendFurtherAttempt(Dispatcher dispatcher, long now) {
        Send first = submitQuery(dispatcher, now).sends().get(0);
        List<Send> further = dispatcher.report(now, first, Outcome.FULL, STEP_US, false, new double[0]).sends();
        return further.isEmpty() ? null : further.get(0);
    }

    /** Guards against one further attempt too many within the budget window of one that began late. */
    @Test
    void delayedFurtherAttemptCountsFromItsBeginning() {
        fixture.budgetBase = 1;
        Dispatcher dispatcher = createDispatcher(0);
        Send delayed = sendFurtherAttempt(dispatcher, Fixture.START_US);
        assertThat(dispatcher.tryBegin(Fixture.START_US + DELAY_US, delayed)).isTrue();
        assertThat(sendFurtherAttempt(dispatcher, Fixture.START_US + BUDGET_WINDOW_US + STEP_US)).isNull();
        assertThat(dispatcher.tick(Fixture.START_US + BUDGET_WINDOW_US + DELAY_US + STEP_US).sends()).hasSize(1);
    }

    /**
     * Guards against exceeding the budget with an attempt that begins at a time when less is allowed than when it was
     * decided.
     */
    @Test
    void delayedFurtherAttemptDoesNotBeginWithoutBudget() {
        fixture.budgetShare = 0.5;
        fixture.budgetBase = 0;
        Dispatcher dispatcher = createDispatcher(0);
        Send further = sendFurtherAttempt(dispatcher, Fixture.START_US);
        assertThat(dispatcher.tryBegin(Fixture.START_US + STEP_US, further)).isTrue();
        assertThat(dispatcher.tryBegin(Fixture.START_US + BUDGET_WINDOW_US, further)).isFalse();
    }

    /** Guards against sending parts too close together to a reader in slow start after the first of them began late. */
    @Test
    void slowStartBacklogIsWorkedOffFromTheBeginningOfTheAttempt() {
        fixture.overloadWindow = 1000 * Fixture.MS;
        assertThat(timeUntilSecondSend(DELAY_US)).isGreaterThanOrEqualTo(timeUntilSecondSend(0) + DELAY_US / 2);
    }

    /**
     * Returns the time from the decision on a first attempt, which begins after the given delay, to the second send.
     */
    private long timeUntilSecondSend(long delay) {
        Dispatcher dispatcher = createDispatcher(Fixture.START_US - STEP_US);
        long now = Fixture.START_US;
        Decisions decisions = submitQuery(dispatcher, now);
        for (; decisions.sends().isEmpty(); decisions = dispatcher.tick(now)) {
            now += STEP_US;
        }
        now += delay;
        assertThat(dispatcher.tryBegin(now, decisions.sends().get(0))).isTrue();
        long decidedAt = now - delay;
        decisions = submitQuery(dispatcher, now);
        for (; decisions.sends().isEmpty(); decisions = dispatcher.tick(now)) {
            now += STEP_US;
        }
        return now - decidedAt;
    }
}
