package burlford.play;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * A real process under faults that are drawn together by a seed, audited for all rules: it stands still for a while,
 * readers fail, break, hang, drain and start anew, clients leave, it is told to reload and to stop by signals in series
 * while clients go on sending, and killed at the earliest that the platform may. {@code -Dsoak.seeds=50 -Dsoak.first=1}
 * for more.
 */
class FaultSoakTest {

    private static final int SEEDS = Integer.getInteger("soak.seeds", 12);
    private static final int FIRST = Integer.getInteger("soak.first", 1);
    private static final int CLIENTS = 12;
    static final int READERS = 3;
    private static final int FEW_DESCRIPTORS = 96;

    /** Guards against rules broken under faults that come together; each line names the rule and the request. */
    @Test
    void noRuleIsBrokenUnderFaults() throws Exception {
        List<String> broken = new ArrayList<>();
        for (int seed = FIRST; seed < FIRST + SEEDS; seed++) {
            FaultPlan plan = FaultPlan.fromSeed(seed);
            SoakRun.Result result = SoakRun.withGoodClients(CLIENTS).play(plan, new SplittableRandom(seed));
            result.violations().forEach(line -> broken.add(plan + ": " + line));
            assertThat(result.answeredAny()).as(plan.toString()).isTrue();
        }
        assertThat(broken).isEmpty();
    }

    /** One with these faultless or faulty readers and no discovery. */
    static ObjectNode configuration(List<SoakReader> readers, int deadlineMs, boolean crowd) throws IOException {
        return configuration(readers, null, FaultPlan.withoutInjectedFaults(deadlineMs, crowd));
    }

    static ObjectNode configuration(List<SoakReader> readers, SoakDiscovery discovery, FaultPlan plan)
            throws IOException {
        ObjectNode configuration;
        try (InputStream in = FaultSoakTest.class.getResourceAsStream("/configuration.json")) {
            configuration = (ObjectNode) new ObjectMapper().readTree(in);
        }
        ArrayNode members = ((ObjectNode) configuration.get("known")).putArray("members");
        for (int i = 0; i < readers.size(); i++) {
            members.addObject().put("id", "s" + i).put("host_port", "127.0.0.1:" + readers.get(i).port())
                    .put("cell", i).put("phase", "Ready").put("up_since_ms", 0);
        }
        // Without discovery nobody is there: the list stays as known.
        configuration.put("discovery", "127.0.0.1:" + (discovery == null ? 9 : discovery.port()));
        ((ObjectNode) configuration.at("/settings/familyInfo")).put("reach", READERS);
        ((ObjectNode) configuration.at("/settings/allowed")).put("connectTimeout", 250_000).put("maxOpen", 400)
                .put("probing", plan.probing());
        configuration.at("/settings/classes").forEach(c -> ((ObjectNode) c).put("deadline", plan.deadlineMs() * 1000)
                .put("target", plan.deadlineMs() * 700));
        ((ObjectNode) configuration.at("/settings/classes/0")).put("effect", "dedup")
                .put("memorySpan", plan.deadlineMs() * 1000);
        ObjectNode rules = (ObjectNode) configuration.at("/settings/rules");
        rules.put("stopSendingWithin", SoakRun.DRAIN_GRACE_MS * 1000);
        if (plan.limitsFurtherAttempts()) {
            rules.put("minExtra", SoakRun.MOST_EXTRA).put("resendRatio", SoakRun.EXTRA_SHARE).put("lookBack",
                    Audit.BUDGET_WINDOW_MS * 1000);
        }
        if (plan.socketsScarce()) {
            ((ObjectNode) configuration.get("limits")).put("sockets", FEW_DESCRIPTORS);
        }
        return configuration;
    }
}
