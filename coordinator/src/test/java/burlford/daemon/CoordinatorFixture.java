package burlford.daemon;

import burlford.core.Call;
import burlford.core.Client;
import burlford.core.Coordinator;
import burlford.core.Counters;
import burlford.core.Query;
import burlford.core.ReaderEntry;
import burlford.core.ReaderTransport;
import burlford.core.SingleLaneState;
import burlford.core.Timers;
import burlford.policy.Aggregator.Status;
import burlford.policy.ClientPresence;
import burlford.policy.Dispatcher;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** A coordinator without sockets: its calls are collected in place of being sent. */
final class CoordinatorFixture {

    long now = 5_000_000;
    final Timers deadlines = new Timers();
    final List<Call> calls = new ArrayList<>();
    final DaemonContext.ParsedConfiguration setup;
    final Coordinator coordinator;

    /** change: what differs from the tests' configuration. */
    CoordinatorFixture(Consumer<ObjectNode> change) throws IOException,
            Configuration.InvalidConfigurationException {
        ObjectNode root;
        try (InputStream in = getClass().getResourceAsStream("/configuration.json")) {
            root = (ObjectNode) new ObjectMapper().readTree(in);
        }
        change.accept(root);
        Path file = Files.writeString(Files.createTempFile("configuration", ".json"), root.toString());
        file.toFile().deleteOnExit();
        setup = new DaemonContext(Configuration.load(Map.of("PROXY_CONFIG", file.toString(), "PROXY_DISCOVERY",
                "127.0.0.1:1")), null).parsedConfiguration();
        coordinator = new Coordinator(setup.site(), createDispatcher(), new SingleLaneState(() -> 0), deadlines,
                new Counters(), () -> now);
        coordinator.setReaderTransport((ReaderTransport) Proxy.newProxyInstance(getClass().getClassLoader(),
                new Class<?>[] {ReaderTransport.class}, (proxy, method, a) -> {
                    if (method.getName().equals("send")) {
                        calls.add((Call) a[0]);
                    }
                    return method.getReturnType() == boolean.class ? Boolean.FALSE : null;
                }));
    }

    Dispatcher createDispatcher() {
        return Lane.createDispatcher(setup, 0, 1);
    }

    /** Submits a query of one part, for a shard whose readers are in the first cell. */
    void submit(String id) {
        coordinator.submit(new Query(id, 0, 0, 0, false, now + 4_000_000, new byte[0],
                List.of(new Dispatcher.Part(0, 1, 0, 0))),
                (Client) Proxy.newProxyInstance(getClass().getClassLoader(), new Class<?>[] {Client.class},
                        (proxy, method, a) -> method.getName().equals("presence") ? ClientPresence.CONNECTED : null));
        deadlines.runDue(now);
    }

    static ReaderEntry reader(String id) {
        return new ReaderEntry(id, "127.0.0.1", 1, "a", 0, Status.READY, 1, 0);
    }
}
