package burlford.lab;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Stand-in readers in a process of their own. Prints one line of JSON with their addresses, then answers each line of
 * its input with one: "audit" tells what was seen of the rules so far; the end of the input ends it.
 */
@Command(name = "readers", mixinStandardHelpOptions = true, description = "Runs stand-in readers on loopback.")
final class ReadersCommand implements Callable<Integer> {

    @Option(names = "--count", defaultValue = "12", description = "readers")
    private int count;
    @Option(names = "--cells", defaultValue = "4")
    private int cells;
    @Option(names = "--reach", defaultValue = "1")
    private int reach;
    @Option(names = "--slots", defaultValue = "64", description = "parts a reader works at at once")
    private int slots;
    @Option(names = "--waiting", defaultValue = "256", description = "parts that may wait there")
    private int waiting;
    @Option(names = "--service-us", defaultValue = "1000", description = "mean time a part takes")
    private long service;
    @Option(names = "--most-attempts", defaultValue = "3")
    private int mostAttempts;
    @Option(names = "--threads", defaultValue = "2")
    private int threads;
    @Option(names = "--faults", description = "readers stand still and die, some each second")
    private boolean faults;
    @Option(names = "--seed", defaultValue = "1")
    private long seed;

    @Override
    public Integer call() throws Exception {
        ObjectMapper json = new ObjectMapper();
        Audit audit = new Audit(mostAttempts);
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
        List<FakeReader> readers = new ArrayList<>();
        ArrayNode addresses = json.createArrayNode();
        for (int i = 0; i < count; i++) {
            FakeReader r = new FakeReader(loops.next(), audit, new FakeReader.ServiceModel(slots, waiting, service),
                    i % cells, cells, reach, seed + i);
            r.listen();
            readers.add(r);
            addresses.addObject().put("port", r.port()).put("cell", r.cell());
        }
        System.out.println(addresses);
        if (faults) {
            Thread t = new Thread(() -> fail(readers));
            t.setDaemon(true);
            t.start();
        }
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.equals("audit")) {
                System.out.println(report(json, audit));
            }
        }
        return 0;
    }

    private static ObjectNode report(ObjectMapper json, Audit audit) {
        return json.createObjectNode().put("parts", audit.parts.get()).put("further", audit.furtherAttempts.get())
                .put("probes", audit.probes.get()).put("double_probes", audit.doubleProbes.get())
                .put("second_copies", audit.secondCopies.get() + audit.countOpenSecondCopies())
                .put("over_limit", audit.overLimit.get()).put("wrong_shard", audit.wrongShard.get());
    }

    /** Each second one stands still for 300 ms, and now and then one dies for a second, never two of a cell. */
    private void fail(List<FakeReader> readers) {
        Random random = new Random(seed);
        try {
            for (int second = 0; ; second++) {
                readers.get(random.nextInt(count)).stall(300_000);
                if (second % 3 == 0) {
                    readers.get(random.nextInt(count)).crash(1_000_000);
                }
                Thread.sleep(1000 + random.nextInt(200));
            }
        } catch (InterruptedException e) {
            // it ends
        }
    }
}
