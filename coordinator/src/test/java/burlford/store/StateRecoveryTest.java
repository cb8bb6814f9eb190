package burlford.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.microraft.RaftEndpoint;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.report.RaftTerm;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The log of the member under test holds entries 1 to 8, of terms 1 to 3; the present term is 4. */
class StateRecoveryTest {

    private static final DefaultRaftModelFactory FACTORY = new DefaultRaftModelFactory();
    private static final Member SELF = new Member("n1");
    private static final Member LEADER = new Member("n2");
    private static final RaftTerm TERM = new Term(4, LEADER);

    private final StateRecovery recovery = new StateRecovery(SELF);

    private record Term(int getTerm, RaftEndpoint getLeaderEndpoint) implements RaftTerm {
        @Override
        public RaftEndpoint getVotedEndpoint() {
            return null;
        }
    }

    private static AppendEntriesRequest request(int term, int previousTerm, long previousIndex, long commitIndex,
            LogEntry... entries) {
        return FACTORY.createAppendEntriesRequestBuilder().setGroupId("burlford").setSender(LEADER).setTerm(term)
                .setPreviousLogTerm(previousTerm).setPreviousLogIndex(previousIndex).setCommitIndex(commitIndex)
                .setLogEntries(List.of(entries)).build();
    }

    private static LogEntry entry(int term, long index) {
        return FACTORY.createLogEntryBuilder().setTerm(term).setIndex(index).setOperation("").build();
    }

    private void apply(long upTo) {
        for (long index = 1; index <= upTo; index++) {
            recovery.onApplied(index, TERM);
        }
    }

    @Test
    void memberIsCurrentOnceItHasAppliedWhatItsLeaderHasCommitted() {
        apply(7);
        recovery.onProcessed(request(4, 4, 8, 8), TERM);
        assertThat(recovery.isCurrent()).isFalse();
        recovery.onApplied(8, TERM);
        recovery.onProcessed(request(4, 4, 8, 8), TERM);
        assertThat(recovery.isCurrent()).isTrue();
    }

    /** Guards against the commit index of a new leader, which may be lower than what has been committed. */
    @Test
    void leaderWithoutACommitOfItsOwnTermProvesNothing() {
        apply(6);
        recovery.onProcessed(request(4, 3, 8, 6), TERM);
        recovery.onProcessed(request(4, 3, 8, 6, entry(4, 9)), TERM);
        assertThat(recovery.isCurrent()).isFalse();
        apply(9);
        recovery.onProcessed(request(4, 3, 8, 9, entry(4, 9)), TERM);
        assertThat(recovery.isCurrent()).isTrue();
    }

    /** Guards against a leader that others have replaced. */
    @Test
    void requestOfAnEarlierTermProvesNothing() {
        apply(8);
        recovery.onProcessed(request(3, 3, 8, 8), TERM);
        assertThat(recovery.isCurrent()).isFalse();
    }

    @Test
    void snapshotTakesThePlaceOfItsOperations() {
        recovery.onSnapshotInstalled(8);
        recovery.onProcessed(request(4, 4, 8, 8), TERM);
        assertThat(recovery.isCurrent()).isTrue();
    }

    @Test
    void leaderIsCurrentWithItsFirstCommit() {
        recovery.onSnapshotInstalled(8);
        assertThat(recovery.isCurrent()).isFalse();
        recovery.onApplied(9, new Term(4, SELF));
        assertThat(recovery.isCurrent()).isTrue();
    }
}
