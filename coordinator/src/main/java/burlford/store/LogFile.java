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
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.zip.CRC32C;

/**
 * A member's durable log: a file of records, each with a length, a checksum (CRC-32C) and a payload, which is either
 * a model as JSON or a removal of earlier records as text. A crash can leave only the last record incomplete, and a
 * record that was not synced was not acknowledged, so an incomplete last record is truncated. A record damaged
 * anywhere else may have been acknowledged, so the member does not start.
 */
final class LogFile implements RaftStore, AutoCloseable {

    private static final Logger LOG = Logger.getLogger(LogFile.class.getName());
    /** Length and checksum, 4 bytes each. */
    private static final int HEADER_BYTES = 8;
    private static final int MAX_RECORD_BYTES = 1 << 26;
    private static final String TRUNCATE_FROM = "from ";
    private static final String TRUNCATE_UNTIL = "until ";
    private static final String DELETE_CHUNKS = "drop ";

    private final Path path;
    private final Opener opener;
    private FileChannel file;
    /** File offset at which the next record is written. */
    private long endOffset;
    /** The last write failed, so part of a record may follow {@code endOffset}. */
    private boolean partialTail;
    /** Records written since the last successful sync; written again if a sync fails. */
    private final ByteArrayOutputStream unsyncedBytes = new ByteArrayOutputStream();
    private boolean syncFailed;
    private RaftEndpointPersistentState endpoint;
    private RaftGroupMembersView members;
    private RaftTermPersistentState term;
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();

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
        file = opener.open(path);
        replay();
    }

    private void replay() throws IOException {
        ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(path));
        int offset = 0;
        while (offset < content.limit()) {
            int remaining = content.limit() - offset - HEADER_BYTES;
            int length = remaining < 0 ? -1 : content.getInt(offset);
            boolean complete = length >= 0 && length <= remaining;
            if (complete && checksum(content.array(), offset + HEADER_BYTES, length) == content.getInt(offset + 4)) {
                byte[] record = new byte[length];
                content.get(offset + HEADER_BYTES, record);
                apply(record);
                offset += HEADER_BYTES + length;
            } else if (length > MAX_RECORD_BYTES || length < -1
                    || complete && offset + HEADER_BYTES + length < content.limit()) {
                throw new IOException(path + " is damaged at byte " + offset
                        + "; its records may have been acknowledged");
            } else {
                LOG.log(Level.WARNING, "{0}: truncated an incomplete record at byte {1}", new Object[] {path, offset});
                file.truncate(offset);
                file.force(true);
                break;
            }
        }
        endOffset = offset;
    }

    private void apply(byte[] record) throws IOException {
        if (record[0] == '{') {
            RaftModel model = RaftCodec.decode(record);
            if (model instanceof LogEntry e) {
                entries.put(e.getIndex(), e);
            } else if (model instanceof SnapshotChunk c) {
                chunks.computeIfAbsent(c.getIndex(), i -> new TreeMap<>()).put(c.getSnapshotChunkIndex(), c);
            } else if (model instanceof RaftTermPersistentState t) {
                term = t;
            } else if (model instanceof RaftGroupMembersView m) {
                members = m;
            } else if (model instanceof RaftEndpointPersistentState e) {
                endpoint = e;
            }
            return;
        }
        String text = new String(record, StandardCharsets.UTF_8);
        long index = Long.parseLong(text.substring(text.indexOf(' ') + 1));
        if (text.startsWith(TRUNCATE_FROM)) {
            entries.tailMap(index, true).clear();
        } else if (text.startsWith(TRUNCATE_UNTIL)) {
            entries.headMap(index, true).clear();
        } else {
            chunks.remove(index);
        }
    }

    /** The Raft state read from the file at start; null for a member that has never run. */
    RestoredRaftState restoredState() {
        if (endpoint == null || members == null) {
            return null;
        }
        SnapshotEntry snapshot = null;
        for (TreeMap<Integer, SnapshotChunk> snapshotChunks : chunks.values()) {
            SnapshotChunk first = snapshotChunks.firstEntry().getValue();
            if (snapshotChunks.size() == first.getSnapshotChunkCount()) {
                snapshot = new DefaultRaftModelFactory().createSnapshotEntryBuilder().setIndex(first.getIndex())
                        .setTerm(first.getTerm()).setSnapshotChunks(new ArrayList<>(snapshotChunks.values()))
                        .setGroupMembersView(first.getGroupMembersView()).build();
            }
        }
        long snapshotIndex = snapshot == null ? 0 : snapshot.getIndex();
        RaftTermPersistentState persistedTerm = term != null ? term : new DefaultRaftModelFactory()
                .createRaftTermPersistentStateBuilder().setTerm(0).build();
        return new RestoredRaftState(endpoint, members, persistedTerm, snapshot,
                new ArrayList<>(entries.tailMap(snapshotIndex, false).values()));
    }

    private void append(byte[] record) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + record.length).putInt(record.length)
                .putInt(checksum(record, 0, record.length)).put(record).flip();
        if (partialTail) {
            file.truncate(endOffset);
        }
        partialTail = true;
        write(buffer.duplicate(), endOffset);
        partialTail = false;
        endOffset += buffer.limit();
        unsyncedBytes.write(buffer.array(), 0, buffer.limit());
        apply(record);
    }

    private void write(ByteBuffer bytes, long offset) throws IOException {
        long position = offset;
        while (bytes.hasRemaining()) {
            position += file.write(bytes, position);
        }
    }

    private static int checksum(byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }

    private void append(String operation, long index) throws IOException {
        append((operation + index).getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        append(RaftCodec.encode(state));
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView view) throws IOException {
        append(RaftCodec.encode(view));
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        append(RaftCodec.encode(state));
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> logEntries) throws IOException {
        for (LogEntry entry : logEntries) {
            append(RaftCodec.encode(entry));
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        append(RaftCodec.encode(chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        append(TRUNCATE_FROM, index);
    }

    /**
     * Drops the entries that a snapshot replaces: writes the remaining records to a new file, which then replaces the
     * old one atomically. If that fails, the old file stays in use.
     */
    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        append(TRUNCATE_UNTIL, index);
        flush();
        FileChannel oldFile = file;
        long oldEndOffset = endOffset;
        Path newPath = path.resolveSibling(path.getFileName() + ".new");
        Files.deleteIfExists(newPath);
        try {
            file = opener.open(newPath);
            endOffset = 0;
            rewrite();
            Files.move(newPath, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            LOG.log(Level.WARNING, path + " could not be compacted; the existing file stays in use", e);
            file = oldFile;
            endOffset = oldEndOffset;
            partialTail = false;
            syncFailed = false;
            unsyncedBytes.reset();
            return;
        }
        syncDirectory();
        oldFile.close();
    }

    /** Makes the rename durable: otherwise a crash could lose the records synced to the renamed file. */
    private void syncDirectory() throws IOException {
        try (FileChannel directory = FileChannel.open(path.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    private void rewrite() throws IOException {
        List<RaftModel> models = new ArrayList<>();
        for (RaftModel model : new RaftModel[] {endpoint, members, term}) {
            if (model != null) {
                models.add(model);
            }
        }
        chunks.values().forEach(c -> models.addAll(c.values()));
        models.addAll(entries.values());
        for (RaftModel model : models) {
            append(RaftCodec.encode(model));
        }
        flush();
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
            write(ByteBuffer.wrap(unsyncedBytes.toByteArray()), endOffset - unsyncedBytes.size());
        }
        syncFailed = true;
        file.force(false);
        syncFailed = false;
        unsyncedBytes.reset();
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
