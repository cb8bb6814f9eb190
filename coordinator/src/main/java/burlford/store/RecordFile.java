package burlford.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.zip.CRC32C;

/**
 * A file of records, each with a length, a checksum (CRC-32C) and a payload. It is read and written in pieces of a
 * fixed size, however long it is: the JDK takes a direct buffer as long as each piece, and those are limited.
 */
final class RecordFile implements AutoCloseable {

    /** Length and checksum, 4 bytes each. */
    static final int HEADER_BYTES = 8;
    private static final int MAX_RECORD_BYTES = 1 << 26;
    private static final int PIECE_BYTES = 1 << 16;

    private final FileChannel channel;
    /** File offset at which the next record is written. */
    private long endOffset;

    RecordFile(FileChannel channel) {
        this.channel = channel;
    }

    /** Receives each record that is read. */
    interface Visitor {
        void visit(RecordPosition position, byte[] payload) throws IOException;
    }

    /**
     * Reads all records in their order, one at a time in memory; the next one is written behind them. Ends at a record
     * that is incomplete, which a crash can leave as the last one.
     *
     * @return whether all bytes of the file belong to complete records
     * @throws DamagedRecordException where a record is damaged that cannot be the incomplete last one
     */
    boolean readAll(Visitor visitor) throws IOException {
        long size = channel.size();
        endOffset = 0;
        while (endOffset < size) {
            long remaining = size - endOffset - HEADER_BYTES;
            ByteBuffer header = ByteBuffer.wrap(remaining < 0 ? new byte[0] : read(endOffset, HEADER_BYTES));
            int length = remaining < 0 ? -1 : header.getInt(0);
            boolean complete = length > 0 && length <= Math.min(remaining, MAX_RECORD_BYTES);
            byte[] payload = complete ? read(endOffset + HEADER_BYTES, length) : null;
            if (complete && checksum(payload) == header.getInt(Integer.BYTES)) {
                visitor.visit(new RecordPosition(endOffset + HEADER_BYTES, length), payload);
                endOffset += HEADER_BYTES + length;
            } else if (length > MAX_RECORD_BYTES || length < -1 || length == 0
                    || complete && endOffset + HEADER_BYTES + length < size) {
                throw new DamagedRecordException(endOffset);
            } else {
                return false;
            }
        }
        return true;
    }

    byte[] read(RecordPosition position) throws IOException {
        return read(position.offset(), position.length());
    }

    private byte[] read(long offset, int length) throws IOException {
        byte[] bytes = new byte[length];
        for (int done = 0; done < length; ) {
            int read = channel.read(ByteBuffer.wrap(bytes, done, Math.min(PIECE_BYTES, length - done)), offset + done);
            if (read < 0) {
                throw new IOException("the file ends at byte " + (offset + done));
            }
            done += read;
        }
        return bytes;
    }

    /** A payload behind its length and checksum, as it is written. */
    static byte[] encode(byte[] payload) {
        return ByteBuffer.allocate(HEADER_BYTES + payload.length).putInt(payload.length).putInt(checksum(payload))
                .put(payload).array();
    }

    /** Writes an encoded record behind the others. If that fails, part of it may stand there. */
    RecordPosition append(byte[] encodedRecord) throws IOException {
        write(encodedRecord, endOffset);
        RecordPosition position = new RecordPosition(endOffset + HEADER_BYTES, encodedRecord.length - HEADER_BYTES);
        endOffset += encodedRecord.length;
        return position;
    }

    /** Writes the last bytes of the file again. */
    void rewriteTail(byte[] tail) throws IOException {
        write(tail, endOffset - tail.length);
    }

    private void write(byte[] bytes, long offset) throws IOException {
        for (int done = 0; done < bytes.length; ) {
            done += channel.write(ByteBuffer.wrap(bytes, done, Math.min(PIECE_BYTES, bytes.length - done)),
                    offset + done);
        }
    }

    /** Removes what is behind the last complete record. */
    void truncateTail() throws IOException {
        channel.truncate(endOffset);
    }

    /** Makes all that was written durable; with its metadata where the file was truncated. */
    void sync(boolean metadata) throws IOException {
        channel.force(metadata);
    }

    long endOffset() {
        return endOffset;
    }

    private static int checksum(byte[] payload) {
        CRC32C crc = new CRC32C();
        crc.update(payload, 0, payload.length);
        return (int) crc.getValue();
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
