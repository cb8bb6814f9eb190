package burlford.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A shutdown is over before the platform may kill the process. */
class ShutdownScheduleTest {

    private static final long NOW = 1_000_000_000;
    private static final long LONGEST_DEADLINE_COUNTED = 3_000_000;
    private static final long KILL_BEHIND_DEADLINE = 700_000;
    /** A process may be held up between its clock and its write. */
    private static final long HELD_UP = 150_000;
    private static final long NEW_CONNECTIONS = 400_000;

    /** Guards against answers that were due behind the kill: with deadlines under 0.6 s all that was open was lost. */
    @ParameterizedTest
    @ValueSource(longs = {50_000, 100_000, 300_000, 500_000, 800_000, 1_500_000, 3_000_000, 6_000_000})
    void allIsAnsweredBeforeTheKill(long longestDeadline) {
        ShutdownSchedule schedule = ShutdownSchedule.of(NOW, longestDeadline);
        long kill = NOW + Math.min(LONGEST_DEADLINE_COUNTED, longestDeadline) + KILL_BEHIND_DEADLINE;
        assertThat(schedule.answerAllBy() + HELD_UP).isLessThan(kill);
        assertThat(schedule.exitDespiteClientsAt()).isBetween(NOW + NEW_CONNECTIONS, schedule.answerAllBy());
        assertThat(schedule.earliestExitAt()).isBetween(NOW + NEW_CONNECTIONS, schedule.exitDespiteClientsAt());
        assertThat(schedule.closeAfterReplyAt()).isBetween(NOW, schedule.exitDespiteClientsAt());
    }

    /** Guards against answers behind the kill, where the event loop is busy when the signal comes. */
    @Test
    void shutdownCountsFromTheSignalThoughTheLoopGetsToItLate() throws Exception {
        DaemonContext shared = new DaemonContext(MultiLaneGroupTest.configuration(20), null);
        long toldAt = shared.now() - 800_000;
        shared.scheduleShutdown(toldAt);
        ShutdownSchedule expected = ShutdownSchedule.of(toldAt, shared.parsedConfiguration().site().longestDeadline());
        assertThat(shared.answerAllBy()).isEqualTo(expected.answerAllBy());
        assertThat(shared.exitDespiteClientsAt()).isEqualTo(expected.exitDespiteClientsAt());
    }
}
