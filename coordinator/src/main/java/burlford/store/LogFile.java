package burlford.store;

import io.microraft.model.RaftModel;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * A member's durable log: a file of records, whose payload is either a model as JSON or a removal of earlier records
 * as text. A crash can leave only the last record incomplete, and a record that was not synced was not acknowledged, so
 * an incomplete last record is truncated. A record damaged anywhere else may have been acknowledged, so the member does
 * not start. Of entries and snapshots only their positions in the file are kept in memory.
 */
final class LogFile implements RaftStore, AutoCloseable {

    private static final Logger LOG = Logger.getLogger(LogFile.class.getName());
    private static final DefaultRaftModelFactory FACTORY = new DefaultRaftModelFactory();
    private static final String TRUNCATE_FROM = "from ";
    private static final String TRUNCATE_UNTIL = "until ";
    private static final String DELETE_CHUNKS = "drop ";

    private final Path path;
    private final Opener opener;
    private RecordFile file;
    /** The last write failed, so part of a record may stand behind the complete ones. */
    private boolean partialTail;
    /** Records written since the last successful sync; written again if a sync fails. */
    private ByteArrayOutputStream unsyncedBytes = new ByteArrayOutputStream();
    private boolean syncFailed;
    private RaftEndpointPersistentState endpoint;
    private RaftGroupMembersView members;
    private RaftTermPersistentState term;
    /** By index. */
    private TreeMap<Long, RecordPosition> entries = new TreeMap<>();
    /** By index. */
    private TreeMap<Long, SnapshotRecords> snapshots = new TreeMap<>();

    /** The chunks of a snapshot by their number; not all may have been written yet. */
    private record SnapshotRecords(int chunkCount, TreeMap<Integer, RecordPosition> chunks) {
        boolean isComplete() {
            return chunks.size() == chunkCount;
        }
    }

    /** Opens the file; tests substitute one whose writes and syncs fail. */
    interface Opener {
        FileChannel open(Path path) throws IOException;
    }

    LogFile(Path path) throws IOException {
        this(path, p -> FileChannel.open(p, StandardOpenOption.CREATE, StandardOpenOption.READ,
                StandardOpenOption.WRITE));
    }

    LogFile(Path path, Opener opener) throws IOException {
        this.path = path;
        this.opener = opener;
        file = new RecordFile(opener.open(path));
        replay();
    }

    private void replay() throws IOException {
        boolean complete;
        try {
            complete = file.readAll(this::replay);
        } catch (DamagedRecordException e) {
            throw new IOException(path + " is damaged at byte " + e.offset()
                    + "; its records may have been acknowledged", e);
        }
        if (!complete) {
            LOG.log(Level.WARNING, "{0}: truncated an incomplete record at byte {1}",
                    new Object[] {path, file.endOffset()});
            file.truncateTail();
            file.sync(true);
        }
    }

    private void replay(RecordPosition position, byte[] payload) throws IOException {
        if (payload[0] == '{') {
            apply(RaftCodec.decode(payload), position);
        } else {
            String text = new String(payload, StandardCharsets.UTF_8);
            int separator = text.indexOf(' ') + 1;
            applyRemoval(text.substring(0, separator), Long.parseLong(text.substring(separator)));
        }
    }

    private void apply(RaftModel model, RecordPosition position) {
        if (model instanceof LogEntry e) {
            entries.put(e.getIndex(), position);
        } else if (model instanceof SnapshotChunk c) {
            SnapshotRecords snapshot = snapshots.computeIfAbsent(c.getIndex(),
                    i -> new SnapshotRecords(c.getSnapshotChunkCount(), new TreeMap<>()));
            snapshot.chunks.put(c.getSnapshotChunkIndex(), position);
        } else if (model instanceof RaftTermPersistentState t) {
            term = t;
        } else if (model instanceof RaftGroupMembersView m) {
            members = m;
        } else if (model instanceof RaftEndpointPersistentState e) {
            endpoint = e;
        }
    }

    private void applyRemoval(String operation, long index) {
        switch (operation) {
            case TRUNCATE_FROM -> entries.tailMap(index, true).clear();
            case TRUNCATE_UNTIL -> entries.headMap(index, true).clear();
            default -> snapshots.remove(index);
        }
    }

    /** Reads the Raft state that the file holds; null for a member that has never run. */
    RestoredRaftState restoredState() throws IOException {
        if (endpoint == null || members == null) {
            return null;
        }
        SnapshotEntry snapshot = newestCompleteSnapshot();
        long snapshotIndex = snapshot == null ? 0 : snapshot.getIndex();
        RaftTermPersistentState persistedTerm = term != null ? term
                : FACTORY.createRaftTermPersistentStateBuilder().setTerm(0).build();
        List<LogEntry> entriesBehindSnapshot = new ArrayList<>();
        for (RecordPosition position : entries.tailMap(snapshotIndex, false).values()) {
            entriesBehindSnapshot.add((LogEntry) read(position));
        }
        return new RestoredRaftState(endpoint, members, persistedTerm, snapshot, entriesBehindSnapshot);
    }

    private SnapshotEntry newestCompleteSnapshot() throws IOException {
        Long index = newestCompleteSnapshotIndex();
        if (index == null) {
            return null;
        }
        List<SnapshotChunk> snapshotChunks = new ArrayList<>();
        for (RecordPosition position : snapshots.get(index).chunks.values()) {
            snapshotChunks.add((SnapshotChunk) read(position));
        }
        SnapshotChunk first = snapshotChunks.get(0);
        return FACTORY.createSnapshotEntryBuilder().setIndex(index).setTerm(first.getTerm())
                .setSnapshotChunks(snapshotChunks).setGroupMembersView(first.getGroupMembersView()).build();
    }

    /** Null where there is none. */
    private Long newestCompleteSnapshotIndex() {
        return snapshots.descendingMap().entrySet().stream().filter(s -> s.getValue().isComplete())
                .map(Map.Entry::getKey).findFirst().orElse(null);
    }

    private RaftModel read(RecordPosition position) throws IOException {
        return RaftCodec.decode(file.read(position));
    }

    private void append(RaftModel model) throws IOException {
        apply(model, append(RaftCodec.encode(model)));
    }

    private void append(String operation, long index) throws IOException {
        append((operation + index).getBytes(StandardCharsets.UTF_8));
        applyRemoval(operation, index);
    }

    private RecordPosition append(byte[] payload) throws IOException {
        byte[] encoded = RecordFile.encode(payload);
        if (partialTail) {
            file.truncateTail();
        }
        partialTail = true;
        RecordPosition position = file.append(encoded);
        partialTail = false;
        unsyncedBytes.write(encoded, 0, encoded.length);
        return position;
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        append(state);
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView view) throws IOException {
        append(view);
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        append(state);
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> logEntries) throws IOException {
        for (LogEntry entry : logEntries) {
            append(entry);
        }
    }

    /** Each chunk is synced by itself: what is not synced yet is kept in memory, and a snapshot may be large. */
    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        append(chunk);
        flush();
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        append(TRUNCATE_FROM, index);
    }

    /**
     * Drops the entries and the older snapshots that the newest snapshot replaces: copies the remaining records to a
     * new file, which then replaces the old one atomically. If that fails, the old file stays in use.
     */
    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        append(TRUNCATE_UNTIL, index);
        flush();
        Long newestSnapshot = newestCompleteSnapshotIndex();
        if (newestSnapshot != null) {
            snapshots.headMap(newestSnapshot, false).clear();
        }
        RecordFile oldFile = file;
        Path newPath = path.resolveSibling(path.getFileName() + ".new");
        RecordFile newFile = null;
        try {
            Files.deleteIfExists(newPath);
            newFile = new RecordFile(opener.open(newPath));
            replaceFile(newFile, newPath);
        } catch (IOException e) {
            LOG.log(Level.WARNING, path + " could not be compacted; the existing file stays in use", e);
            if (newFile != null) {
                newFile.close();
            }
            return;
        }
        syncDirectory();
        oldFile.close();
    }

    private void replaceFile(RecordFile newFile, Path newPath) throws IOException {
        for (RaftModel model : new RaftModel[] {endpoint, members, term}) {
            if (model != null) {
                newFile.append(RecordFile.encode(RaftCodec.encode(model)));
            }
        }
        TreeMap<Long, SnapshotRecords> newSnapshots = new TreeMap<>();
        for (Map.Entry<Long, SnapshotRecords> snapshot : snapshots.entrySet()) {
            newSnapshots.put(snapshot.getKey(), new SnapshotRecords(snapshot.getValue().chunkCount,
                    copyRecords(snapshot.getValue().chunks, newFile)));
        }
        TreeMap<Long, RecordPosition> newEntries = copyRecords(entries, newFile);
        newFile.sync(false);
        Files.move(newPath, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        file = newFile;
        snapshots = newSnapshots;
        entries = newEntries;
    }

    private <K> TreeMap<K, RecordPosition> copyRecords(TreeMap<K, RecordPosition> positions, RecordFile to)
            throws IOException {
        TreeMap<K, RecordPosition> newPositions = new TreeMap<>();
        for (Map.Entry<K, RecordPosition> record : positions.entrySet()) {
            newPositions.put(record.getKey(), to.append(RecordFile.encode(file.read(record.getValue()))));
        }
        return newPositions;
    }

    /** Makes the rename durable: otherwise a crash could lose the records synced to the renamed file. */
    private void syncDirectory() throws IOException {
        try (FileChannel directory = FileChannel.open(path.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        append(DELETE_CHUNKS, index);
    }

    /**
     * Syncs the file. After a failed sync the operating system may mark pages as clean that never reached the disk, so
     * the next flush first writes all records since the last successful sync again.
     */
    @Override
    public void flush() throws IOException {
        if (syncFailed) {
            file.rewriteTail(unsyncedBytes.toByteArray());
        }
        syncFailed = true;
        file.sync(false);
        syncFailed = false;
        unsyncedBytes = new ByteArrayOutputStream();
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
