package burlford.policy;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.policy.Aggregator.ListKind;
import burlford.policy.Aggregator.Status;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The time at which a reader started is another clock's: it may be off by any step of either. */
class ClockStepTest {

    private static final long SECOND = 1_000_000;
    private static final long STEP = 5_000;
    private static final long ANSWERED_AFTER = 30_000;
    private static final long TIME_LEFT = 6 * SECOND;
    private static final long NOTICED_AFTER = SECOND / 2;
    /** Of the fixture's settings. */
    private static final long COLD = 10 * SECOND;
    private static final List<Dispatcher.Part> PARTS = List.of(new Dispatcher.Part(0, 1, 0, 7));

    private final Fixture fixture = Fixture.withDefaults();
    private long number;

    private Dispatcher dispatcher() {
        fixture.overloadWindow = SECOND;
        fixture.instances = 2;
        fixture.aim = SECOND;
        return new Dispatcher(fixture.settings(), 1);
    }

    private static void list(Dispatcher d, long now, long... startedAt) {
        List<Dispatcher.Reader> readers = startedAt.length == 0 ? List.of()
                : List.of(new Dispatcher.Reader("s0", 0, 0, Status.READY, 1, startedAt[0]));
        d.report(now, ListKind.WHOLE, readers);
    }

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

    /** How long three parts in a row take that a reader gets which was noticed just now. */
    private long timeOfThree(long step, boolean inFirstList) {
        Dispatcher d = dispatcher();
        long now = Fixture.START_US;
        if (!inFirstList) {
            list(d, now);
        }
        list(d, now, now - NOTICED_AFTER - step);
        return sentAt(d, sentAt(d, sentAt(d, now))) - now;
    }

    /** Guards against taking a reader that has just started for a warm one, or the reverse, by a stepped clock. */
    @ParameterizedTest
    @ValueSource(longs = {-3600, -5, 5, 3600})
    void readerThatIsNoticedIsInSlowStartWhateverTheClocksSay(long seconds) {
        assertThat(timeOfThree(seconds * SECOND, false)).isEqualTo(timeOfThree(0, false));
    }

    /** Guards against the same in a process that starts under a clock stepped by an hour. */
    @ParameterizedTest
    @ValueSource(longs = {-3600, 3600})
    void readerInTheFirstListIsInSlowStartUnderAClockAnHourOff(long seconds) {
        assertThat(timeOfThree(seconds * SECOND, true)).isGreaterThanOrEqualTo(timeOfThree(0, true));
    }

    /** Guards against a reader that stays in slow start for an hour, since it seems to start in the future. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void slowStartEndsInItsTime(boolean inFirstList) {
        Dispatcher d = dispatcher();
        long now = Fixture.START_US;
        if (!inFirstList) {
            list(d, now);
        }
        list(d, now, now + 3600 * SECOND);
        now += COLD;
        assertThat(sentAt(d, sentAt(d, sentAt(d, now)))).isEqualTo(now);
    }
}
