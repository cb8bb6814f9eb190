package burlford.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The log where writes and syncs fail for a while. */
class LogFileTest {

    @TempDir
    Path directory;
    private Path path;
    private FailingChannel file;
    private LogFile log;

    @BeforeEach
    void open() throws IOException {
        path = directory.resolve("n0.log");
        log = new LogFile(path, p -> {
            file = new FailingChannel(FileChannel.open(p, StandardOpenOption.CREATE, StandardOpenOption.READ,
                    StandardOpenOption.WRITE));
            return file;
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

    /** The indexes that a member finds which starts on the file as it is. */
    private List<Long> found() throws IOException {
        try (LogFile again = new LogFile(path)) {
            return again.restoredState().getLogEntries().stream().map(LogEntry::getIndex).toList();
        }
    }

    /** Guards against believing on disk what only a failed sync covered: the next good one did not write it again. */
    @Test
    void whatAFailedSyncCoveredIsWrittenAgain() throws IOException {
        log.persistLogEntries(List.of(entry(1)));
        file.syncFails = true;
        assertThatThrownBy(log::flush).isInstanceOf(IOException.class);
        file.syncFails = false;
        log.persistLogEntries(List.of(entry(2)));
        log.flush();
        assertThat(found()).containsExactly(1L, 2L);
    }

    /** Guards against a write that failed half-way and made the file unreadable for the next start. */
    @Test
    void whatAFailedWriteLeftIsCutOff() throws IOException {
        log.persistLogEntries(List.of(entry(1)));
        file.failWriteAfterBytes = 20;
        assertThatThrownBy(() -> log.persistLogEntries(List.of(entry(2)))).isInstanceOf(IOException.class);
        log.persistLogEntries(List.of(entry(2)));
        log.flush();
        assertThat(found()).containsExactly(1L, 2L);
    }
}
