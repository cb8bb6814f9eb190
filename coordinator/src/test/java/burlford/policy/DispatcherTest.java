package burlford.policy;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.policy.Aggregator.ListKind;
import burlford.policy.Aggregator.Outcome;
import burlford.policy.Aggregator.Status;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which readers a dispatcher remembers. */
class DispatcherTest {

    private final Dispatcher dispatcher = new Dispatcher(Fixture.withDefaults().settings(), 3);

    private static Dispatcher.Reader reader(int number, Status status) {
        return new Dispatcher.Reader("s-" + number, 0, 0, status, 1, 0);
    }

    /** Guards against a memory leak: readers are replaced all the time, and names of those gone must not be kept. */
    @Test
    void forgetsReadersThatAreGone() {
        dispatcher.report(0, ListKind.WHOLE, List.of(reader(0, Status.READY)));
        for (int i = 1; i < 1000; i++) {
            dispatcher.report(i, ListKind.CHANGES, List.of(reader(i, Status.READY), reader(i - 1, Status.GONE)));
            dispatcher.report(i, "s-" + (i - 1), Outcome.NO_CONNECTION, 1, new double[0]);
        }
        assertThat(dispatcher.readerCount()).isEqualTo(1);
        List<Dispatcher.Send> sends = dispatcher.submit(1000, 1, 0, 0, 0, false, Fixture.MS * 6000,
                List.of(new Dispatcher.Part(0, 1, 0, 0))).sends();
        assertThat(sends).extracting(Dispatcher.Send::reader).containsExactly("s-999");
    }
}
