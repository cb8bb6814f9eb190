package burlford.adapter;

import burlford.policy.Aggregator;
import burlford.settings.InputFormatException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Codec of the simulator's protocol: decodes batch frames, encodes reply frames. All numbers are little-endian. A frame
 * has a header, records of equal size that begin with a code byte, and a tail with texts and lists, to which records
 * refer by offset and length or count. Header of a batch: length of what follows, clock (8 bytes), number of records,
 * number of the batch. Header of a reply: length of what follows, number of records, number of the batch.
 *
 * <p>Codes of input records: 0 instance started, 1 list update, 2 query or part, 4 attempt ended, 5 client left,
 * 6 alarm, 7 probe ended, 9 instance stopped, 10 list table, 11 selects the instance of the records that follow;
 * 3 and 8 only let the instance run a round. Codes of output records: 0 send, 1 refuse, 2 fail, 3 cancel, 4 set alarm,
 * 5 probe, 6 close idle connections, 9 instance failed, 10 watch list, 12 answer, 13 selects the instance.
 */
final class SimulatorCodec {

    static final int EVENT_RECORD_BYTES = 40;
    static final int ACTION_RECORD_BYTES = 16;
    private static final int LIST_ENTRY_BYTES = 24;
    private static final int BATCH_HEADER_BYTES = 20;
    private static final int MAX_BODY_BYTES = 1 << 30;
    private static final int LIST_TABLES = 16;

    /** Reader lists by table number, to which list updates refer, also in later batches; null: not received yet. */
    private final List<List<Aggregator.ListEntry>> listTables = new ArrayList<>();

    SimulatorCodec() {
        for (int i = 0; i < LIST_TABLES; i++) {
            listTables.add(null);
        }
    }

    /** A decoded record for the host: an instance starts, stops or has an event. */
    sealed interface InputRecord permits InstanceStarted, InstanceStopped, InstanceEvent { }

    /** An instance starts with this random seed and settings text. */
    record InstanceStarted(int instance, long seed, String settings) implements InputRecord { }

    /** An instance stops. */
    record InstanceStopped(int instance) implements InputRecord { }

    /**
     * An event of an instance.
     *
     * @param reportLength number of values in the event's load report; 0: no report
     * @param event null: the instance only runs a round
     */
    record InstanceEvent(int instance, int reportLength, Aggregator.Event event) implements InputRecord { }

    /** The events of one round. clock: the simulator's time in microseconds; number: repeated in the reply. */
    record Batch(long clock, long number, List<InputRecord> records) { }

    /** Reads one batch; returns null at the end of the input. */
    Batch read(InputStream in) throws IOException {
        byte[] headerBytes = in.readNBytes(BATCH_HEADER_BYTES);
        if (headerBytes.length == 0) {
            return null;
        }
        if (headerBytes.length < BATCH_HEADER_BYTES) {
            throw new InputFormatException("truncated batch header: " + headerBytes.length + " of "
                    + BATCH_HEADER_BYTES + " bytes");
        }
        ByteBuffer header = ByteBuffer.wrap(headerBytes).order(ByteOrder.LITTLE_ENDIAN);
        long length = Integer.toUnsignedLong(header.getInt(0));
        long records = Integer.toUnsignedLong(header.getInt(12));
        if (length > MAX_BODY_BYTES) {
            throw new InputFormatException("oversized batch: " + length + " bytes");
        }
        if (records * EVENT_RECORD_BYTES > length) {
            throw new InputFormatException("batch of " + length + " bytes cannot hold " + records + " records");
        }
        byte[] body = in.readNBytes((int) length);
        if (body.length < length) {
            throw new InputFormatException("truncated batch: " + body.length + " of " + length + " bytes");
        }
        return decode(header.getLong(4), Integer.toUnsignedLong(header.getInt(16)), (int) records, body);
    }

    private Batch decode(long clock, long number, int recordCount, byte[] body) {
        ByteBuffer buffer = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
        int tail = recordCount * EVENT_RECORD_BYTES;
        List<InputRecord> records = new ArrayList<>(recordCount);
        int instance = -1;
        for (int index = 0; index < recordCount; index++) {
            int at = index * EVENT_RECORD_BYTES;
            int code = buffer.get(at) & 0xff;
            if (code == 11) {
                instance = buffer.getShort(at + 1) & 0xffff;
                continue;
            }
            if (code == 10) {
                listTables.set(tableNumber(buffer.getInt(at + 1)), decodeListTable(buffer, at + 5, tail));
                continue;
            }
            if (instance < 0) {
                throw new InputFormatException("record " + index + " (code " + code + ") names no instance");
            }
            records.add(decodeRecord(buffer, at, code, instance, tail, index));
        }
        return new Batch(clock, number, records);
    }

    private InputRecord decodeRecord(ByteBuffer buffer, int at, int code, int instance, int tail, int index) {
        Aggregator.Event event;
        int reportLength = 0;
        switch (code) {
            case 0:
                return new InstanceStarted(instance, buffer.getLong(at + 1), decodeText(buffer, at + 9, tail));
            case 9:
                return new InstanceStopped(instance);
            case 1:
                event = decodeListUpdate(buffer, at);
                break;
            case 2:
                event = decodeQueryOrPart(buffer, at);
                break;
            case 4:
                reportLength = decodeReportLength(buffer, at + 19);
                event = new Aggregator.AttemptEnded(unsignedInt(buffer, at + 1), buffer.get(at + 5) & 0xff,
                        replicaId(buffer, at + 6), decodeOutcome(buffer.getShort(at + 12) & 0xffff),
                        unsignedInt(buffer, at + 14), buffer.get(at + 18) != 0,
                        decodeLoadReport(buffer, at + 19, reportLength));
                break;
            case 5:
                event = new Aggregator.ClientLeft(unsignedInt(buffer, at + 1));
                break;
            case 6:
                event = new Aggregator.Alarm(buffer.getLong(at + 1));
                break;
            case 7:
                reportLength = decodeReportLength(buffer, at + 13);
                event = new Aggregator.ProbeEnded(replicaId(buffer, at + 3),
                        decodeOutcome(buffer.getShort(at + 1) & 0xffff), unsignedInt(buffer, at + 9),
                        decodeLoadReport(buffer, at + 13, reportLength));
                break;
            case 3, 8:
                event = null;
                break;
            default:
                throw new InputFormatException("record " + index + " has the unknown code " + code);
        }
        return new InstanceEvent(instance, reportLength, event);
    }

    private Aggregator.Event decodeListUpdate(ByteBuffer buffer, int at) {
        int kindCode = buffer.get(at + 9) & 0xff;
        Aggregator.ListKind kind = switch (kindCode) {
            case 0 -> Aggregator.ListKind.CHANGES;
            case 1 -> Aggregator.ListKind.WHOLE;
            case 2 -> Aggregator.ListKind.CACHED;
            case 3 -> Aggregator.ListKind.FAILED;
            default -> throw new InputFormatException("unknown kind of list: " + kindCode);
        };
        if (kind == Aggregator.ListKind.FAILED) {
            return new Aggregator.ListUpdate(kind, List.of());
        }
        List<Aggregator.ListEntry> entries = listTables.get(tableNumber(buffer.getInt(at + 5)));
        if (entries == null) {
            throw new InputFormatException("a list names table " + buffer.getInt(at + 5) + ", which never came");
        }
        return new Aggregator.ListUpdate(kind, entries);
    }

    /** Decodes record 2: a query if its shard is negative, else a part. */
    private static Aggregator.Event decodeQueryOrPart(ByteBuffer buffer, int at) {
        float shard = buffer.getFloat(at + 19);
        float number = buffer.getFloat(at + 23);
        float amount = buffer.getFloat(at + 5);
        if (!Float.isFinite(shard) || !Float.isFinite(number) || !Float.isFinite(amount)) {
            throw new InputFormatException("a query or part has a figure that is no number");
        }
        int flags = buffer.get(at + 18) & 0xff;
        long hint = (flags & 1) != 0 ? unsignedInt(buffer, at + 14) : 0;
        long key = buffer.getLong(at + 27);
        if (shard < 0) {
            return new Aggregator.QueryArrived(unsignedInt(buffer, at + 1), (long) number,
                    buffer.get(at + 13) & 0xff, Math.round(amount), unsignedInt(buffer, at + 9), hint, (flags & 2) != 0,
                    key, buffer.getShort(at + 35) & 0xffff);
        }
        return new Aggregator.PartArrived(unsignedInt(buffer, at + 1), (long) number, (int) shard, amount, hint, key);
    }

    /** Returns the number of a list table after checking its range. */
    private static int tableNumber(int number) {
        if (number < 0 || number >= LIST_TABLES) {
            throw new InputFormatException("table number out of range: " + Integer.toUnsignedString(number));
        }
        return number;
    }

    private static List<Aggregator.ListEntry> decodeListTable(ByteBuffer buffer, int at, int tail) {
        long count = unsignedInt(buffer, at + 4);
        int from = tailOffset(buffer, at, tail, count * LIST_ENTRY_BYTES);
        List<Aggregator.ListEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int entryAt = from + i * LIST_ENTRY_BYTES;
            int statusCode = buffer.get(entryAt + 11) & 0xff;
            Aggregator.Status status = switch (statusCode) {
                case 0 -> Aggregator.Status.GONE;
                case 1 -> Aggregator.Status.READY;
                case 2 -> Aggregator.Status.DRAINING;
                default -> throw new InputFormatException("unknown state of a listed server: " + statusCode);
            };
            entries.add(new Aggregator.ListEntry(replicaId(buffer, entryAt), buffer.get(entryAt + 6) & 0xff,
                    buffer.getShort(entryAt + 9) & 0xffff, status,
                    buffer.getFloat(entryAt + 12), buffer.getLong(entryAt + 16)));
        }
        return List.copyOf(entries);
    }

    private static String decodeText(ByteBuffer buffer, int at, int tail) {
        long length = unsignedInt(buffer, at + 4);
        int from = tailOffset(buffer, at, tail, length);
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(buffer.slice(from, (int) length)).toString();
        } catch (CharacterCodingException e) {
            throw new InputFormatException("the settings are not valid text");
        }
    }

    /** Reads an offset in the tail and returns the index of its data in the buffer, after checking their length. */
    private static int tailOffset(ByteBuffer buffer, int at, int tail, long length) {
        long from = tail + unsignedInt(buffer, at);
        if (from + length > buffer.limit()) {
            throw new InputFormatException("offset outside the tail: " + unsignedInt(buffer, at) + " + " + length
                    + " of " + (buffer.limit() - tail));
        }
        return (int) from;
    }

    private static int decodeReportLength(ByteBuffer buffer, int at) {
        int length = buffer.get(at) & 0xff;
        if (length > 4) {
            throw new InputFormatException("a load report of " + length + " values");
        }
        return length;
    }

    private static double[] decodeLoadReport(ByteBuffer buffer, int at, int length) {
        double[] values = new double[length];
        for (int i = 0; i < length; i++) {
            values[i] = buffer.getFloat(at + 1 + 4 * i);
        }
        return values;
    }

    private static Aggregator.Outcome decodeOutcome(int code) {
        return switch (code) {
            case 0 -> Aggregator.Outcome.OK;
            case 5 -> Aggregator.Outcome.ERROR;
            case 11 -> Aggregator.Outcome.FULL;
            case 110 -> Aggregator.Outcome.TIMEOUT;
            case 111 -> Aggregator.Outcome.NO_CONNECTION;
            case 104 -> Aggregator.Outcome.DROPPED;
            case 125 -> Aggregator.Outcome.CANCELLED;
            case 114 -> Aggregator.Outcome.MOOT;
            default -> throw new InputFormatException("unknown outcome " + code);
        };
    }

    private static long unsignedInt(ByteBuffer buffer, int at) {
        return Integer.toUnsignedLong(buffer.getInt(at));
    }

    /** Reads a server's id of 48 bits. */
    private static long replicaId(ByteBuffer buffer, int at) {
        return Integer.toUnsignedLong(buffer.getInt(at)) | (buffer.getShort(at + 4) & 0xffffL) << 32;
    }

    /** A reply frame that is being built. */
    static final class Reply {

        private final ByteArrayOutputStream records = new ByteArrayOutputStream();
        private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
        private int recordCount;

        /** Selects the instance to which the records added from now on belong. */
        void addInstance(int instance) {
            append(newRecord(13).putShort(1, (short) instance));
        }

        /** Reports that the selected instance has failed. */
        void addFailure(String message) {
            byte[] text = message.getBytes(StandardCharsets.UTF_8);
            append(newRecord(9).putInt(1, tail.size()).putInt(5, text.length));
            tail.writeBytes(text);
        }

        void addAction(Aggregator.Action action) {
            ByteBuffer record;
            if (action instanceof Aggregator.Send a) {
                record = newRecord(0).putInt(1, (int) a.part());
                putReplica(record, 5, a.replica());
                record.putInt(11, clampToUnsignedInt(a.timeout()));
            } else if (action instanceof Aggregator.Refuse a) {
                record = newRecord(1).putInt(1, (int) a.query()).putInt(5, clampToUnsignedInt(a.retryAfter()));
            } else if (action instanceof Aggregator.Fail a) {
                record = newRecord(2).putInt(1, (int) a.query());
            } else if (action instanceof Aggregator.Cancel a) {
                record = newRecord(3).putInt(1, (int) a.part()).put(5, (byte) a.attempt());
            } else if (action instanceof Aggregator.SetAlarm a) {
                record = newRecord(4).putLong(1, a.tag()).putInt(9, clampToUnsignedInt(a.delay()));
            } else if (action instanceof Aggregator.Probe a) {
                record = newRecord(5);
                putReplica(record, 1, a.replica());
            } else if (action instanceof Aggregator.CloseIdleConnections a) {
                record = newRecord(6);
                putReplica(record, 1, a.replica());
            } else if (action instanceof Aggregator.WatchList) {
                record = newRecord(10).put(1, (byte) 1);
            } else if (action instanceof Aggregator.Answer a) {
                record = newRecord(12).putInt(1, (int) a.query()).put(5, (byte) (a.whole() ? 1 : 0));
            } else {
                throw new IllegalStateException("no wire form for " + action);
            }
            append(record);
        }

        void write(OutputStream out, long batchNumber) throws IOException {
            ByteBuffer header = ByteBuffer.allocate(12).order(ByteOrder.LITTLE_ENDIAN);
            header.putInt(records.size() + tail.size()).putInt(recordCount).putInt((int) batchNumber);
            out.write(header.array());
            records.writeTo(out);
            tail.writeTo(out);
            out.flush();
        }

        private static ByteBuffer newRecord(int code) {
            return ByteBuffer.allocate(ACTION_RECORD_BYTES).order(ByteOrder.LITTLE_ENDIAN).put(0, (byte) code);
        }

        private void append(ByteBuffer record) {
            records.writeBytes(record.array());
            recordCount++;
        }

        private static void putReplica(ByteBuffer buffer, int at, long replica) {
            buffer.putInt(at, (int) replica).putShort(at + 4, (short) (replica >>> 32));
        }

        private static int clampToUnsignedInt(long micros) {
            return (int) Math.max(0, Math.min(micros, 0xffffffffL));
        }
    }
}
