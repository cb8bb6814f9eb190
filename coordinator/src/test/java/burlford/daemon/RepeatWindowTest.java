package burlford.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.core.Call;
import burlford.core.Client;
import burlford.core.Coordinator;
import burlford.core.Counters;
import burlford.core.Query;
import burlford.core.ReaderEntry;
import burlford.core.ReaderTransport;
import burlford.core.SingleLaneState;
import burlford.core.Timers;
import burlford.policy.Aggregator.ListKind;
import burlford.policy.Aggregator.Outcome;
import burlford.policy.Aggregator.Status;
import burlford.policy.ClientPresence;
import burlford.policy.Dispatcher;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.InputStream;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** A further attempt of a part that may be repeated only for a while, held up between its decision and its sending. */
class RepeatWindowTest {

    private static final long WINDOW_US = 500_000;
    private long now = 5_000_000;
    private final Timers deadlines = new Timers();
    private final List<Call> calls = new ArrayList<>();

    private Coordinator coordinator() throws Exception {
        ObjectNode root;
        try (InputStream in = getClass().getResourceAsStream("/configuration.json")) {
            root = (ObjectNode) new ObjectMapper().readTree(in);
        }
        ((ObjectNode) root.at("/settings/classes/0")).put("effect", "dedup").put("memorySpan", WINDOW_US);
        Path file = Files.writeString(Files.createTempFile("configuration", ".json"), root.toString());
        file.toFile().deleteOnExit();
        DaemonContext.ParsedConfiguration setup = new DaemonContext(Configuration.load(Map.of("PROXY_CONFIG",
                file.toString(), "PROXY_DISCOVERY", "127.0.0.1:1")), null).parsedConfiguration();
        Coordinator c = new Coordinator(setup.site(), Lane.createDispatcher(setup, 0, 1), new SingleLaneState(() -> 0),
                deadlines, new Counters(), () -> now);
        c.setReaderTransport((ReaderTransport) Proxy.newProxyInstance(getClass().getClassLoader(),
                new Class<?>[] {ReaderTransport.class}, (proxy, method, a) -> {
                    if (method.getName().equals("send")) {
                        calls.add((Call) a[0]);
                    }
                    return method.getReturnType() == boolean.class ? Boolean.FALSE : null;
                }));
        c.updateReaders(ListKind.WHOLE, List.of(reader("s0"), reader("s1")));
        c.submit(new Query("q", 0, 0, 0, false, now + 4_000_000, new byte[0], List.of(new Dispatcher.Part(0, 1, 0, 0))),
                (Client) Proxy.newProxyInstance(getClass().getClassLoader(), new Class<?>[] {Client.class},
                        (proxy, method, a) -> method.getName().equals("presence") ? ClientPresence.CONNECTED : null));
        deadlines.runDue(now);
        return c;
    }

    private static ReaderEntry reader(String id) {
        return new ReaderEntry(id, "127.0.0.1", 1, "a", 0, Status.READY, 1, 0);
    }

    /** Guards against a part that is repeated past its window, since its turn of the event loop took long. */
    @Test
    void partIsNotRepeatedPastItsWindowByALongTurn() throws Exception {
        Coordinator c = coordinator();
        c.callEnded(calls.get(0), Outcome.ERROR, null, new double[0]);
        now += WINDOW_US;
        deadlines.runDue(now);
        assertThat(calls).hasSize(1);
        assertThat(c.isIdle()).isTrue();
    }

    /** Guards against the same, since its connection came up late. */
    @Test
    void partIsNotRepeatedPastItsWindowOnAConnectionThatCameUpLate() throws Exception {
        Coordinator c = coordinator();
        c.callEnded(calls.get(0), Outcome.ERROR, null, new double[0]);
        deadlines.runDue(now);
        assertThat(calls).hasSize(2);
        assertThat(c.passesSendCheck(calls.get(1))).isTrue();
        now += WINDOW_US;
        assertThat(c.passesSendCheck(calls.get(1))).isFalse();
    }
}
