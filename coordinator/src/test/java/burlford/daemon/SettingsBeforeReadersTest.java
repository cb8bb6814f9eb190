package burlford.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.policy.Aggregator.ListKind;
import java.util.List;
import org.junit.jupiter.api.Test;

class SettingsBeforeReadersTest {

    private static final int QUERIES = 8;

    private static int callsFor(boolean withNewSettings) throws Exception {
        CoordinatorFixture fixture = new CoordinatorFixture(root -> { });
        if (withNewSettings) {
            fixture.coordinator.reconfigure(fixture.setup.site(), fixture.createDispatcher());
        }
        fixture.coordinator.updateReaders(ListKind.WHOLE,
                List.of(CoordinatorFixture.reader("s0"), CoordinatorFixture.reader("s1")));
        for (int i = 0; i < QUERIES; i++) {
            fixture.submit("q" + i);
        }
        return fixture.calls.size();
    }

    /** Guards against readers that count as just started, since settings were in force before any list had come. */
    @Test
    void readersOfTheFirstListAreNotInSlowStartBehindNewSettings() throws Exception {
        assertThat(callsFor(true)).isEqualTo(callsFor(false)).isEqualTo(QUERIES);
    }
}
