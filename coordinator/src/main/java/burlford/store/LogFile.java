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
 * A member's durable log: one file of records, each a length, a checksum and JSON. What was cut short by a
 * crash can only be the last record, and nothing was promised of it: it is cut off. A record that is damaged
 * anywhere else may have been promised, so the member does not start on it.
 */
final class LogFile implements RaftStore, AutoCloseable {

    private static final Logger LOG = Logger.getLogger(LogFile.class.getName());
    private static final int HEAD = 8;
    private static final int LONGEST = 1 << 26;
    private static final String FROM = "from ";
    private static final String UNTIL = "until ";
    private static final String DROP = "drop ";

    private final Path path;
    private final Opener opener;
    private FileChannel file;
    /** Where the next record goes. */
    private long end;
    /** A write failed: behind the end there may be a part of a record. */
    private boolean brokenTail;
    /** Records since the last sync that succeeded. */
    private final ByteArrayOutputStream unsynced = new ByteArrayOutputStream();
    private boolean syncFailed;
    private RaftEndpointPersistentState endpoint;
    private RaftGroupMembersView members;
    private RaftTermPersistentState term;
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();

    /** How the file is opened. */
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
        ByteBuffer all = ByteBuffer.wrap(Files.readAllBytes(path));
        int at = 0;
        while (at < all.limit()) {
            int left = all.limit() - at - HEAD;
            int length = left < 0 ? -1 : all.getInt(at);
            boolean whole = length >= 0 && length <= left;
            if (whole && checksum(all.array(), at + HEAD, length) == all.getInt(at + 4)) {
                byte[] record = new byte[length];
                all.get(at + HEAD, record);
                apply(record);
                at += HEAD + length;
            } else if (length > LONGEST || length < -1 || whole && at + HEAD + length < all.limit()) {
                throw new IOException(path + " is damaged at byte " + at + "; its records may have been promised");
            } else {
                LOG.log(Level.WARNING, "{0}: a record cut short at byte {1} is cut off", new Object[] {path, at});
                file.truncate(at);
                file.force(true);
                break;
            }
        }
        end = at;
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
        if (text.startsWith(FROM)) {
            entries.tailMap(index, true).clear();
        } else if (text.startsWith(UNTIL)) {
            entries.headMap(index, true).clear();
        } else {
            chunks.remove(index);
        }
    }

    /** Null for a member that has never run. */
    RestoredRaftState restoredState() {
        if (endpoint == null || members == null) {
            return null;
        }
        SnapshotEntry snapshot = null;
        for (TreeMap<Integer, SnapshotChunk> held : chunks.values()) {
            SnapshotChunk first = held.firstEntry().getValue();
            if (held.size() == first.getSnapshotChunkCount()) {
                snapshot = new DefaultRaftModelFactory().createSnapshotEntryBuilder().setIndex(first.getIndex())
                        .setTerm(first.getTerm()).setSnapshotChunks(new ArrayList<>(held.values()))
                        .setGroupMembersView(first.getGroupMembersView()).build();
            }
        }
        long after = snapshot == null ? 0 : snapshot.getIndex();
        RaftTermPersistentState last = term != null ? term : new DefaultRaftModelFactory()
                .createRaftTermPersistentStateBuilder().setTerm(0).build();
        return new RestoredRaftState(endpoint, members, last, snapshot,
                new ArrayList<>(entries.tailMap(after, false).values()));
    }

    private void append(byte[] record) throws IOException {
        ByteBuffer b = ByteBuffer.allocate(HEAD + record.length).putInt(record.length)
                .putInt(checksum(record, 0, record.length)).put(record).flip();
        if (brokenTail) {
            file.truncate(end);
        }
        brokenTail = true;
        write(b.duplicate(), end);
        brokenTail = false;
        end += b.limit();
        unsynced.write(b.array(), 0, b.limit());
        apply(record);
    }

    private void write(ByteBuffer bytes, long at) throws IOException {
        long to = at;
        while (bytes.hasRemaining()) {
            to += file.write(bytes, to);
        }
    }

    private static int checksum(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    private void append(String word, long index) throws IOException {
        append((word + index).getBytes(StandardCharsets.UTF_8));
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
    public void persistLogEntries(List<LogEntry> list) throws IOException {
        for (LogEntry e : list) {
            append(RaftCodec.encode(e));
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        append(RaftCodec.encode(chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        append(FROM, index);
    }

    /** What a snapshot stands for goes; the file is written anew without it, and takes the old one's place whole. */
    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        append(UNTIL, index);
        flush();
        FileChannel old = file;
        long oldEnd = end;
        Path fresh = path.resolveSibling(path.getFileName() + ".new");
        Files.deleteIfExists(fresh);
        try {
            file = opener.open(fresh);
            end = 0;
            rewrite();
            Files.move(fresh, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            LOG.log(Level.WARNING, path + " could not be written anew, and goes on as it is", e);
            file = old;
            end = oldEnd;
            brokenTail = false;
            syncFailed = false;
            unsynced.reset();
            return;
        }
        syncDirectory();
        old.close();
    }

    /** The new name has to last as long as what is synced under it from here on. */
    private void syncDirectory() throws IOException {
        try (FileChannel directory = FileChannel.open(path.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    private void rewrite() throws IOException {
        List<RaftModel> kept = new ArrayList<>();
        for (RaftModel model : new RaftModel[] {endpoint, members, term}) {
            if (model != null) {
                kept.add(model);
            }
        }
        chunks.values().forEach(c -> kept.addAll(c.values()));
        kept.addAll(entries.values());
        for (RaftModel model : kept) {
            append(RaftCodec.encode(model));
        }
        flush();
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        append(DROP, index);
    }

    /** After a failed sync the system may take for written what never reached the disk: it is written again. */
    @Override
    public void flush() throws IOException {
        if (syncFailed) {
            write(ByteBuffer.wrap(unsynced.toByteArray()), end - unsynced.size());
        }
        syncFailed = true;
        file.force(false);
        syncFailed = false;
        unsynced.reset();
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
