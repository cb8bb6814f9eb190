package burlford.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Runs the example of the README, in which a program uses the decision module directly. */
class EmbeddingTest {

    @Test
    void readmeExampleSendsThePartAndAnswersTheQuery() {
        Aggregator.Settings settings = Fixture.withDefaults().settings();
        List<Aggregator.ListEntry> servers = List.of(Fixture.readyServer(41, 0), Fixture.readyServer(42, 1));
        long seed = 9;
        long nowUs = 1_000_000;
        long key = 77;
        int shard = 0;

        Aggregator module = new Decide(settings, seed);
        List<Aggregator.Action> actions = module.round(nowUs, List.of(
                new Aggregator.ListUpdate(Aggregator.ListKind.WHOLE, servers),
                new Aggregator.QueryArrived(1, 1, 0, 1, 2_000_000, 0, false, key, 0),
                new Aggregator.PartArrived(2, 1, shard, 1.0, 0, key)));

        List<Aggregator.Send> sends = Fixture.filterByType(actions, Aggregator.Send.class);
        assertEquals(1, sends.size());
        assertTrue(sends.get(0).replica() == 41 || sends.get(0).replica() == 42);
        actions = module.round(nowUs + 50_000, List.of(Fixture.attemptEnded(2, 0, sends.get(0).replica(),
                Aggregator.Outcome.OK, 50_000)));
        assertEquals(List.of(new Aggregator.Answer(1, true)), Fixture.filterByType(actions, Aggregator.Answer.class));
    }
}
