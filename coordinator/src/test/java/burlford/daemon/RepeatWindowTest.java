package burlford.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.policy.Aggregator.ListKind;
import burlford.policy.Aggregator.Outcome;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A further attempt of a part that may be repeated only for a while, held up between its decision and its sending. */
class RepeatWindowTest {

    private static final long WINDOW_US = 500_000;
    private CoordinatorFixture fixture;

    @BeforeEach
    void submit() throws Exception {
        fixture = new CoordinatorFixture(root -> ((ObjectNode) root.at("/settings/classes/0")).put("effect", "dedup")
                .put("memorySpan", WINDOW_US));
        fixture.coordinator.updateReaders(ListKind.WHOLE,
                List.of(CoordinatorFixture.reader("s0"), CoordinatorFixture.reader("s1")));
        fixture.submit("q");
    }

    /** Guards against a part that is repeated past its window, since its turn of the event loop took long. */
    @Test
    void partIsNotRepeatedPastItsWindowByALongTurn() {
        fixture.coordinator.callEnded(fixture.calls.get(0), Outcome.ERROR, null, new double[0]);
        fixture.now += WINDOW_US;
        fixture.deadlines.runDue(fixture.now);
        assertThat(fixture.calls).hasSize(1);
        assertThat(fixture.coordinator.isIdle()).isTrue();
    }

    /** Guards against the same, since its connection came up late. */
    @Test
    void partIsNotRepeatedPastItsWindowOnAConnectionThatCameUpLate() {
        fixture.coordinator.callEnded(fixture.calls.get(0), Outcome.ERROR, null, new double[0]);
        fixture.deadlines.runDue(fixture.now);
        assertThat(fixture.calls).hasSize(2);
        assertThat(fixture.coordinator.passesSendCheck(fixture.calls.get(1))).isTrue();
        fixture.now += WINDOW_US;
        assertThat(fixture.coordinator.passesSendCheck(fixture.calls.get(1))).isFalse();
    }
}
