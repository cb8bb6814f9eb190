package burlford.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.core.Call;
import burlford.core.Client;
import burlford.core.Coordinator;
import burlford.core.Counters;
import burlford.core.Query;
import burlford.core.ReaderEntry;
import burlford.core.ReaderTransport;
import burlford.core.SharedState;
import burlford.core.SingleLaneState;
import burlford.core.Timers;
import burlford.policy.Aggregator.ListKind;
import burlford.policy.Aggregator.Outcome;
import burlford.policy.Aggregator.Status;
import burlford.policy.ClientPresence;
import burlford.policy.Dispatcher;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What is read after the loop stood still was answered at some time before: neither its load nor its time is news. */
class EventLoopStallTest {

    private static final long PAUSE = 300_000;
    private static final double[] LOAD = {0, 30};
    private long now = 5_000_000;
    private long stood;
    private final Timers deadlines = new Timers();
    private final List<Long> elapsed = new ArrayList<>();
    private final List<double[]> loads = new ArrayList<>();
    private final List<Call> calls = new ArrayList<>();

    private Coordinator coordinator() throws Exception {
        DaemonContext.ParsedConfiguration setup = new DaemonContext(MultiLaneGroupTest.configuration(200), null)
                .parsedConfiguration();
        SingleLaneState alone = new SingleLaneState(() -> 0);
        SharedState commons = (SharedState) Proxy.newProxyInstance(getClass().getClassLoader(),
                new Class<?>[] {SharedState.class}, (proxy, method, a) -> {
                    if (method.getName().equals("notifyEnded")) {
                        elapsed.add((Long) a[3]);
                        loads.add((double[]) a[4]);
                    }
                    return method.getName().equals("stallUs") ? (Object) stood : method.invoke(alone, a);
                });
        Coordinator c = new Coordinator(setup.site(), Lane.createDispatcher(setup, 0, 1), commons, deadlines,
                new Counters(), () -> now);
        c.setReaderTransport((ReaderTransport) Proxy.newProxyInstance(getClass().getClassLoader(),
                new Class<?>[] {ReaderTransport.class}, (proxy, method, a) -> {
                    if (method.getName().equals("send")) {
                        calls.add((Call) a[0]);
                    }
                    return null;
                }));
        c.updateReaders(ListKind.WHOLE, List.of(new ReaderEntry("s0", "127.0.0.1", 1, "a", 0, Status.READY, 1, 0)));
        return c;
    }

    private void ask(Coordinator c, String id) {
        c.submit(new Query(id, 1, 1, 0, false, now + 4_000_000, new byte[0], List.of(new Dispatcher.Part(0, 1, 0, 0))),
                (Client) Proxy.newProxyInstance(getClass().getClassLoader(), new Class<?>[] {Client.class},
                        (proxy, method, a) -> method.getName().equals("presence") ? ClientPresence.CONNECTED : null));
        deadlines.runDue(now); // the end of the turn, at which calls go out
    }

    @Test
    void loadsReadAfterAPauseAreLeftOutAndThePauseIsNotTheReaders() throws Exception {
        Coordinator c = coordinator();
        ask(c, "q1");
        now += 5_000 + PAUSE;
        stood = PAUSE;
        c.callEnded(calls.get(0), Outcome.OK, "v", LOAD);
        assertThat(elapsed).containsExactly(5_000L);
        assertThat(loads.get(0)).isEmpty();
        // Sent after the pause began: it takes no less than nothing.
        ask(c, "q2");
        now += 1_000;
        c.callEnded(calls.get(1), Outcome.OK, "v", LOAD);
        assertThat(elapsed.get(1)).isEqualTo(1);
        stood = 0;
        ask(c, "q3");
        now += 5_000;
        c.callEnded(calls.get(2), Outcome.OK, "v", LOAD);
        assertThat(elapsed.get(2)).isEqualTo(5_000);
        assertThat(loads.get(2)).isSameAs(LOAD);
    }
}
