package burlford.policy;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.policy.Aggregator.ListKind;
import burlford.policy.Aggregator.Status;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests slow start across steps of a clock: the start time of a reader comes from the clock of another machine, and
 * either clock may have been stepped.
 */
class ClockStepTest {

    /** One second in microseconds. */
    private static final long SECOND = 1_000_000;
    /** Interval at which the dispatcher is called until it sends. */
    private static final long STEP_US = 5_000;
    private static final long ANSWER_TIME_US = 30_000;
    private static final long TIME_LEFT_US = 6 * SECOND;
    /** Time from a reader's start to the list that first contains it. */
    private static final long NOTICED_AFTER_US = SECOND / 2;
    /** As in the fixture's settings. */
    private static final long SLOW_START_DURATION_US = 10 * SECOND;
    private static final List<Dispatcher.Part> PARTS = List.of(new Dispatcher.Part(0, 1, 0, 7));

    private final Fixture fixture = Fixture.withDefaults();
    private long queryNumber;

    private Dispatcher createDispatcher() {
        fixture.overloadWindow = SECOND;
        fixture.instances = 2;
        fixture.aim = SECOND;
        return new Dispatcher(fixture.settings(), 1);
    }

    /** Reports a list of one reader with the given start time, or an empty list if there is none. */
    private static void reportList(Dispatcher dispatcher, long now, long... startedAt) {
        List<Dispatcher.Reader> readers = startedAt.length == 0 ? List.of()
                : List.of(new Dispatcher.Reader("s0", 0, 0, Status.READY, 1, startedAt[0]));
        dispatcher.report(now, ListKind.WHOLE, readers);
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

    /** Returns the time to send three queries in a row to a newly noticed reader whose clock is behind by a step. */
    private long timeToSendThreeQueries(long clockStep, boolean inFirstList) {
        Dispatcher dispatcher = createDispatcher();
        long now = Fixture.START_US;
        if (!inFirstList) {
            reportList(dispatcher, now);
        }
        reportList(dispatcher, now, now - NOTICED_AFTER_US - clockStep);
        return sendTimeOfQuery(dispatcher, sendTimeOfQuery(dispatcher, sendTimeOfQuery(dispatcher, now))) - now;
    }

    /** Guards against taking a reader that has just started for a warm one, or the reverse, after a clock step. */
    @ParameterizedTest
    @ValueSource(longs = {-3600, -5, 5, 3600})
    void newlyNoticedReaderIsInSlowStartDespiteAClockStep(long seconds) {
        assertThat(timeToSendThreeQueries(seconds * SECOND, false)).isEqualTo(timeToSendThreeQueries(0, false));
    }

    /** Guards against the same fault in a process that starts after a clock step of an hour. */
    @ParameterizedTest
    @ValueSource(longs = {-3600, 3600})
    void readerInTheFirstListIsInSlowStartWhenClocksDifferByAnHour(long seconds) {
        assertThat(timeToSendThreeQueries(seconds * SECOND, true))
                .isGreaterThanOrEqualTo(timeToSendThreeQueries(0, true));
    }

    /** Guards against a reader that stays in slow start for an hour because its start time lies in the future. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void slowStartEndsOnTimeForAStartTimeInTheFuture(boolean inFirstList) {
        Dispatcher dispatcher = createDispatcher();
        long now = Fixture.START_US;
        if (!inFirstList) {
            reportList(dispatcher, now);
        }
        reportList(dispatcher, now, now + 3600 * SECOND);
        now += SLOW_START_DURATION_US;
        assertThat(sendTimeOfQuery(dispatcher, sendTimeOfQuery(dispatcher, sendTimeOfQuery(dispatcher, now))))
                .isEqualTo(now);
    }
}
