package burlford.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The log file after writes and syncs that failed. */
class LogFileTest {

    @TempDir
    Path directory;
    private Path path;
    private FailingChannel channel;
    private LogFile log;

    @BeforeEach
    void open() throws IOException {
        path = directory.resolve("n0.log");
        log = new LogFile(path, p -> {
            channel = new FailingChannel(FileChannel.open(p, StandardOpenOption.CREATE, StandardOpenOption.READ,
                    StandardOpenOption.WRITE));
            return channel;
        });
        log.persistAndFlushLocalEndpoint(new DefaultRaftModelFactory().createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(new Member("n0")).setVoting(true).build());
        log.persistAndFlushInitialGroupMembers(new DefaultRaftModelFactory().createRaftGroupMembersViewBuilder()
                .setLogIndex(0).setMembers(List.of(new Member("n0"))).setVotingMembers(List.of(new Member("n0")))
                .build());
    }

    private static LogEntry entry(long index) {
        return new DefaultRaftModelFactory().createLogEntryBuilder().setIndex(index).setTerm(1)
                .setOperation(VersionedMap.encodeWrite("key" + index, 0, "value")).build();
    }

    /** The indexes of the log entries that a member restores when it starts with the present file. */
    private List<Long> restoredIndexes() throws IOException {
        try (LogFile reopened = new LogFile(path)) {
            return reopened.restoredState().getLogEntries().stream().map(LogEntry::getIndex).toList();
        }
    }

    /**
     * Guards against the loss of records whose sync failed: the operating system may have discarded them, and the next
     * successful sync alone does not bring them back.
     */
    @Test
    void recordsOfAFailedSyncAreWrittenAgain() throws IOException {
        log.persistLogEntries(List.of(entry(1)));
        channel.syncFails = true;
        assertThatThrownBy(log::flush).isInstanceOf(IOException.class);
        channel.syncFails = false;
        log.persistLogEntries(List.of(entry(2)));
        log.flush();
        assertThat(restoredIndexes()).containsExactly(1L, 2L);
    }

    /** Guards against a partial record, left by a failed write, that makes the file unreadable at the next start. */
    @Test
    void partialRecordOfAFailedWriteIsTruncated() throws IOException {
        log.persistLogEntries(List.of(entry(1)));
        channel.failWriteAfterBytes = 20;
        assertThatThrownBy(() -> log.persistLogEntries(List.of(entry(2)))).isInstanceOf(IOException.class);
        log.persistLogEntries(List.of(entry(2)));
        log.flush();
        assertThat(restoredIndexes()).containsExactly(1L, 2L);
    }

    private static SnapshotChunk snapshot(long index) {
        return new DefaultRaftModelFactory().createSnapshotChunkBuilder().setIndex(index).setTerm(1)
                .setSnapshotChunkIndex(0).setSnapshotChunkCount(1).setOperation("snapshot at " + index)
                .setGroupMembersView(new DefaultRaftModelFactory().createRaftGroupMembersViewBuilder().setLogIndex(0)
                        .setMembers(List.of(new Member("n0"))).setVotingMembers(List.of(new Member("n0"))).build())
                .build();
    }

    /** Guards against a log that keeps each snapshot ever taken, and so grows by the whole state with each. */
    @Test
    void compactionDropsOlderSnapshots() throws IOException {
        for (long index = 1; index <= 4; index++) {
            log.persistLogEntries(List.of(entry(index)));
            log.persistSnapshotChunk(snapshot(index));
            log.flush();
            log.truncateLogEntriesUntil(index);
        }
        log.persistLogEntries(List.of(entry(5)));
        log.flush();
        assertThat(Files.readString(path, StandardCharsets.ISO_8859_1)).contains("snapshot at 4")
                .doesNotContain("snapshot at 3");
        assertThat(restoredIndexes()).containsExactly(5L);
        try (LogFile reopened = new LogFile(path)) {
            assertThat(reopened.restoredState().getSnapshotEntry().getIndex()).isEqualTo(4);
        }
    }
}
