package burlford.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.util.Arrays;

/** File whose writes and syncs fail on demand; a failed sync zeroes all that was appended since the last good sync. */
final class FailingChannel extends FileChannel {

    private final FileChannel file;
    private byte[] synced;
    /** The next write fails after so many bytes; negative: it succeeds. */
    int failWriteAfterBytes = -1;
    boolean syncFails;

    FailingChannel(FileChannel file) throws IOException {
        this.file = file;
        synced = content();
    }

    private byte[] content() throws IOException {
        ByteBuffer all = ByteBuffer.allocate((int) file.size());
        file.read(all, 0);
        return all.array();
    }

    @Override
    public int write(ByteBuffer from, long position) throws IOException {
        if (failWriteAfterBytes < 0) {
            return file.write(from, position);
        }
        ByteBuffer part = from.slice(from.position(), Math.min(failWriteAfterBytes, from.remaining()));
        failWriteAfterBytes = -1;
        file.write(part, position);
        throw new IOException("No space left on device");
    }

    @Override
    public void force(boolean metaData) throws IOException {
        if (!syncFails) {
            file.force(metaData);
            synced = content();
            return;
        }
        byte[] current = content();
        if (current.length > synced.length) {
            byte[] zeros = new byte[current.length - synced.length];
            Arrays.fill(zeros, (byte) 0);
            file.write(ByteBuffer.wrap(zeros), synced.length);
        }
        throw new IOException("Input/output error");
    }

    @Override
    public FileChannel truncate(long size) throws IOException {
        file.truncate(size);
        return this;
    }

    @Override
    public long size() throws IOException {
        return file.size();
    }

    @Override
    protected void implCloseChannel() throws IOException {
        file.close();
    }

    @Override
    public int write(ByteBuffer from) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long write(ByteBuffer[] from, int offset, int length) {
        throw new UnsupportedOperationException();
    }

    @Override
    public int read(ByteBuffer to) throws IOException {
        return file.read(to);
    }

    @Override
    public long read(ByteBuffer[] to, int offset, int length) throws IOException {
        return file.read(to, offset, length);
    }

    @Override
    public int read(ByteBuffer to, long position) throws IOException {
        return file.read(to, position);
    }

    @Override
    public long position() throws IOException {
        return file.position();
    }

    @Override
    public FileChannel position(long position) throws IOException {
        file.position(position);
        return this;
    }

    @Override
    public long transferTo(long position, long count, WritableByteChannel target) throws IOException {
        return file.transferTo(position, count, target);
    }

    @Override
    public long transferFrom(ReadableByteChannel from, long position, long count) {
        throw new UnsupportedOperationException();
    }

    @Override
    public MappedByteBuffer map(MapMode mode, long position, long size) throws IOException {
        return file.map(mode, position, size);
    }

    @Override
    public FileLock lock(long position, long size, boolean shared) throws IOException {
        return file.lock(position, size, shared);
    }

    @Override
    public FileLock tryLock(long position, long size, boolean shared) throws IOException {
        return file.tryLock(position, size, shared);
    }
}
