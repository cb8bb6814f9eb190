package burlford.store;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.BaseLogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.report.RaftTerm;

/**
 * Decides when the state of a member that has started is current: when it has applied all that the present leader knows
 * to be committed. A log does not say which of its entries are, so a member that replays it cannot tell by itself.
 *
 * <p>A leader knows all writes that were accepted before its term once an entry of its own term is committed; until
 * then its commit index may be too low.
 */
final class StateRecovery {

    private final RaftEndpoint self;
    private long appliedIndex;
    private boolean current;

    StateRecovery(RaftEndpoint self) {
        this.self = self;
    }

    boolean isCurrent() {
        return current;
    }

    /** An operation has been applied; the node applies all that is committed in one go. */
    void onApplied(long index, RaftTerm term) {
        appliedIndex = index;
        // A leader commits nothing before an entry of its own term.
        current |= self.equals(term.getLeaderEndpoint());
    }

    /** A snapshot has taken the place of all operations up to an index. */
    void onSnapshotInstalled(long index) {
        appliedIndex = index;
    }

    /** The node has processed a leader's request. */
    void onProcessed(AppendEntriesRequest request, RaftTerm term) {
        boolean isFromLeader = request.getTerm() == term.getTerm()
                && request.getSender().equals(term.getLeaderEndpoint());
        current |= isFromLeader && hasCommittedInItsTerm(request) && appliedIndex >= request.getCommitIndex();
    }

    /** Whether the request shows an entry of its leader's term at or below the leader's commit index. */
    private static boolean hasCommittedInItsTerm(AppendEntriesRequest request) {
        if (request.getPreviousLogTerm() == request.getTerm()
                && request.getPreviousLogIndex() <= request.getCommitIndex()) {
            return true;
        }
        for (BaseLogEntry entry : request.getLogEntries()) {
            if (entry.getTerm() == request.getTerm() && entry.getIndex() <= request.getCommitIndex()) {
                return true;
            }
        }
        return false;
    }
}
