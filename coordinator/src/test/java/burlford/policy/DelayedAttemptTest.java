package burlford.policy;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.policy.Aggregator.ListKind;
import burlford.policy.Aggregator.Outcome;
import burlford.policy.Aggregator.Status;
import burlford.policy.Dispatcher.Decisions;
import burlford.policy.Dispatcher.Send;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Attempts that begin later than they were decided: the rules count them from when they begin. */
class DelayedAttemptTest {

    private static final long BUDGET_WINDOW = 5000 * Fixture.MS;
    private static final long LATE = 200 * Fixture.MS;
    private static final long STEP = 5 * Fixture.MS;
    private static final long TIME_LEFT = 6000 * Fixture.MS;
    private static final List<Dispatcher.Part> PARTS = List.of(new Dispatcher.Part(0, 1, 0, 7));

    private final Fixture fixture = Fixture.withDefaults();
    private long number;

    private Dispatcher dispatcher(long startedAt) {
        Dispatcher d = new Dispatcher(fixture.settings(), 3);
        d.report(Fixture.START_US, ListKind.CACHED, List.of(new Dispatcher.Reader("s0", 0, 0, Status.READY, 1,
                startedAt)));
        return d;
    }

    private Decisions ask(Dispatcher d, long now) {
        return d.submit(now, ++number, 0, 0, 7, false, TIME_LEFT, PARTS);
    }

    /** The further attempt of a query that comes and fails at that time; null where there is none. */
    private Send furtherAttempt(Dispatcher d, long now) {
        Send first = ask(d, now).sends().get(0);
        List<Send> further = d.report(now, first, Outcome.FULL, STEP, false, new double[0]).sends();
        return further.isEmpty() ? null : further.get(0);
    }

    /** Guards against one further attempt too many in the window behind one that began late. */
    @Test
    void furtherAttemptCountsFromWhenItBegins() {
        fixture.budgetBase = 1;
        Dispatcher d = dispatcher(0);
        Send late = furtherAttempt(d, Fixture.START_US);
        assertThat(d.tryBegin(Fixture.START_US + LATE, late)).isTrue();
        assertThat(furtherAttempt(d, Fixture.START_US + BUDGET_WINDOW + STEP)).isNull();
        assertThat(d.tick(Fixture.START_US + BUDGET_WINDOW + LATE + STEP).sends()).hasSize(1);
    }

    /** Guards against a budget that is spent twice over, since an attempt begins where less is allowed than before. */
    @Test
    void furtherAttemptDoesNotBeginWithoutBudget() {
        fixture.budgetShare = 0.5;
        fixture.budgetBase = 0;
        Dispatcher d = dispatcher(0);
        Send further = furtherAttempt(d, Fixture.START_US);
        assertThat(d.tryBegin(Fixture.START_US + STEP, further)).isTrue();
        assertThat(d.tryBegin(Fixture.START_US + BUDGET_WINDOW, further)).isFalse();
    }

    /**
     * Guards against parts that follow one another too closely at a reader in slow start, where the first began late.
     */
    @Test
    void permitInSlowStartIsWorkedOffFromWhenThePartBegins() {
        fixture.overloadWindow = 1000 * Fixture.MS;
        assertThat(secondSent(LATE)).isGreaterThanOrEqualTo(secondSent(0) + LATE / 2);
    }

    private long secondSent(long late) {
        Dispatcher d = dispatcher(Fixture.START_US - STEP);
        long now = Fixture.START_US;
        Decisions decisions = ask(d, now);
        for (; decisions.sends().isEmpty(); decisions = d.tick(now)) {
            now += STEP;
        }
        now += late;
        assertThat(d.tryBegin(now, decisions.sends().get(0))).isTrue();
        long from = now - late;
        decisions = ask(d, now);
        for (; decisions.sends().isEmpty(); decisions = d.tick(now)) {
            now += STEP;
        }
        return now - from;
    }
}
