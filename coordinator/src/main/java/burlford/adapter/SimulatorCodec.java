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

/** The codec of the simulator's wire: frames in, frames out. */
final class SimulatorCodec {

    static final int EVENT = 40;
    static final int ACTION = 16;
    private static final int ENTRY = 24;
    private static final int IN_HEADER = 20;
    private static final int LONGEST = 1 << 30;
    private static final int BANKS = 16;

    private final List<List<Aggregator.ListEntry>> banks = new ArrayList<>();

    SimulatorCodec() {
        for (int i = 0; i < BANKS; i++) {
            banks.add(null);
        }
    }

    /** What the host hears: an instance starts, stops or has an event. */
    sealed interface InputRecord permits InstanceStarted, InstanceStopped, InstanceEvent { }

    record InstanceStarted(int instance, long seed, String settings) implements InputRecord { }

    record InstanceStopped(int instance) implements InputRecord { }

    record InstanceEvent(int instance, int reportLength, Aggregator.Event event) implements InputRecord { }

    record Batch(long clock, long number, List<InputRecord> records) { }

    /** Reads one batch, or null at the end of input. */
    Batch read(InputStream in) throws IOException {
        byte[] head = in.readNBytes(IN_HEADER);
        if (head.length == 0) {
            return null;
        }
        if (head.length < IN_HEADER) {
            throw new InputFormatException("truncated batch header: " + head.length + " of " + IN_HEADER + " bytes");
        }
        ByteBuffer h = ByteBuffer.wrap(head).order(ByteOrder.LITTLE_ENDIAN);
        long length = Integer.toUnsignedLong(h.getInt(0));
        long records = Integer.toUnsignedLong(h.getInt(12));
        if (length > LONGEST) {
            throw new InputFormatException("oversized batch: " + length + " bytes");
        }
        if (records * EVENT > length) {
            throw new InputFormatException("batch of " + length + " bytes cannot hold " + records + " records");
        }
        byte[] body = in.readNBytes((int) length);
        if (body.length < length) {
            throw new InputFormatException("truncated batch: " + body.length + " of " + length + " bytes");
        }
        return decode(h.getLong(4), Integer.toUnsignedLong(h.getInt(16)), (int) records, body);
    }

    private Batch decode(long clock, long number, int records, byte[] body) {
        ByteBuffer b = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
        int tail = records * EVENT;
        List<InputRecord> items = new ArrayList<>(records);
        int instance = -1;
        for (int r = 0; r < records; r++) {
            int at = r * EVENT;
            int code = b.get(at) & 0xff;
            if (code == 11) {
                instance = b.getShort(at + 1) & 0xffff;
                continue;
            }
            if (code == 10) {
                banks.set(bank(b.getInt(at + 1)), entries(b, at + 5, tail));
                continue;
            }
            if (instance < 0) {
                throw new InputFormatException("record " + r + " (code " + code + ") names no instance");
            }
            items.add(item(b, at, code, instance, tail, r));
        }
        return new Batch(clock, number, items);
    }

    private InputRecord item(ByteBuffer b, int at, int code, int instance, int tail, int r) {
        Aggregator.Event event;
        int reports = 0;
        switch (code) {
            case 0:
                return new InstanceStarted(instance, b.getLong(at + 1), text(b, at + 9, tail));
            case 9:
                return new InstanceStopped(instance);
            case 1:
                event = replicas(b, at);
                break;
            case 2:
                event = request(b, at);
                break;
            case 4:
                reports = reportLength(b, at + 19);
                event = new Aggregator.AttemptEnded(id(b, at + 1), b.get(at + 5) & 0xff, node(b, at + 6),
                        outcome(b.getShort(at + 12) & 0xffff), id(b, at + 14), b.get(at + 18) != 0,
                        report(b, at + 19, reports));
                break;
            case 5:
                event = new Aggregator.ClientLeft(id(b, at + 1));
                break;
            case 6:
                event = new Aggregator.Alarm(b.getLong(at + 1));
                break;
            case 7:
                reports = reportLength(b, at + 13);
                event = new Aggregator.ProbeEnded(node(b, at + 3), outcome(b.getShort(at + 1) & 0xffff), id(b, at + 9),
                        report(b, at + 13, reports));
                break;
            case 3, 8:
                event = null;
                break;
            default:
                throw new InputFormatException("record " + r + " has the unknown code " + code);
        }
        return new InstanceEvent(instance, reports, event);
    }

    private Aggregator.Event replicas(ByteBuffer b, int at) {
        int how = b.get(at + 9) & 0xff;
        Aggregator.ListKind kind = switch (how) {
            case 0 -> Aggregator.ListKind.CHANGES;
            case 1 -> Aggregator.ListKind.WHOLE;
            case 2 -> Aggregator.ListKind.CACHED;
            case 3 -> Aggregator.ListKind.FAILED;
            default -> throw new InputFormatException("unknown kind of list: " + how);
        };
        if (kind == Aggregator.ListKind.FAILED) {
            return new Aggregator.ListUpdate(kind, List.of());
        }
        List<Aggregator.ListEntry> bank = banks.get(bank(b.getInt(at + 5)));
        if (bank == null) {
            throw new InputFormatException("a list names table " + b.getInt(at + 5) + ", which never came");
        }
        return new Aggregator.ListUpdate(kind, bank);
    }

    private static Aggregator.Event request(ByteBuffer b, int at) {
        float shard = b.getFloat(at + 19);
        float number = b.getFloat(at + 23);
        float amount = b.getFloat(at + 5);
        if (!Float.isFinite(shard) || !Float.isFinite(number) || !Float.isFinite(amount)) {
            throw new InputFormatException("a query or part has a figure that is no number");
        }
        int marks = b.get(at + 18) & 0xff;
        long hint = (marks & 1) != 0 ? id(b, at + 14) : 0;
        long key = b.getLong(at + 27);
        if (shard < 0) {
            return new Aggregator.QueryArrived(id(b, at + 1), (long) number, b.get(at + 13) & 0xff, Math.round(amount),
                    id(b, at + 9), hint, (marks & 2) != 0, key, b.getShort(at + 35) & 0xffff);
        }
        return new Aggregator.PartArrived(id(b, at + 1), (long) number, (int) shard, amount, hint, key);
    }

    private static int bank(int number) {
        if (number < 0 || number >= BANKS) {
            throw new InputFormatException("table number out of range: " + Integer.toUnsignedString(number));
        }
        return number;
    }

    private static List<Aggregator.ListEntry> entries(ByteBuffer b, int at, int tail) {
        long count = id(b, at + 4);
        int from = span(b, at, tail, count * ENTRY);
        List<Aggregator.ListEntry> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int e = from + i * ENTRY;
            int state = b.get(e + 11) & 0xff;
            Aggregator.Status status = switch (state) {
                case 0 -> Aggregator.Status.GONE;
                case 1 -> Aggregator.Status.READY;
                case 2 -> Aggregator.Status.DRAINING;
                default -> throw new InputFormatException("unknown state of a listed server: " + state);
            };
            list.add(new Aggregator.ListEntry(node(b, e), b.get(e + 6) & 0xff, b.getShort(e + 9) & 0xffff, status,
                    b.getFloat(e + 12), b.getLong(e + 16)));
        }
        return List.copyOf(list);
    }

    private static String text(ByteBuffer b, int at, int tail) {
        long length = id(b, at + 4);
        int from = span(b, at, tail, length);
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(b.slice(from, (int) length)).toString();
        } catch (CharacterCodingException e) {
            throw new InputFormatException("the settings are not valid text");
        }
    }

    private static int span(ByteBuffer b, int at, int tail, long length) {
        long from = tail + id(b, at);
        if (from + length > b.limit()) {
            throw new InputFormatException("offset outside the tail: " + id(b, at) + " + " + length + " of "
                    + (b.limit() - tail));
        }
        return (int) from;
    }

    private static int reportLength(ByteBuffer b, int at) {
        int n = b.get(at) & 0xff;
        if (n > 4) {
            throw new InputFormatException("a load report of " + n + " values");
        }
        return n;
    }

    private static double[] report(ByteBuffer b, int at, int n) {
        double[] values = new double[n];
        for (int i = 0; i < n; i++) {
            values[i] = b.getFloat(at + 1 + 4 * i);
        }
        return values;
    }

    private static Aggregator.Outcome outcome(int code) {
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

    private static long id(ByteBuffer b, int at) {
        return Integer.toUnsignedLong(b.getInt(at));
    }

    private static long node(ByteBuffer b, int at) {
        return Integer.toUnsignedLong(b.getInt(at)) | (b.getShort(at + 4) & 0xffffL) << 32;
    }

    /** One reply frame under construction. */
    static final class Reply {

        private final ByteArrayOutputStream records = new ByteArrayOutputStream();
        private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
        private int count;

        void addInstance(int instance) {
            put(record(13).putShort(1, (short) instance));
        }

        void addFailure(String why) {
            byte[] text = why.getBytes(StandardCharsets.UTF_8);
            put(record(9).putInt(1, tail.size()).putInt(5, text.length));
            tail.writeBytes(text);
        }

        void addAction(Aggregator.Action action) {
            ByteBuffer b;
            if (action instanceof Aggregator.Send a) {
                b = record(0).putInt(1, (int) a.part());
                putNode(b, 5, a.replica());
                b.putInt(11, clamp(a.timeout()));
            } else if (action instanceof Aggregator.Refuse a) {
                b = record(1).putInt(1, (int) a.query()).putInt(5, clamp(a.retryAfter()));
            } else if (action instanceof Aggregator.Fail a) {
                b = record(2).putInt(1, (int) a.query());
            } else if (action instanceof Aggregator.Cancel a) {
                b = record(3).putInt(1, (int) a.part()).put(5, (byte) a.attempt());
            } else if (action instanceof Aggregator.SetAlarm a) {
                b = record(4).putLong(1, a.tag()).putInt(9, clamp(a.delay()));
            } else if (action instanceof Aggregator.Probe a) {
                b = record(5);
                putNode(b, 1, a.replica());
            } else if (action instanceof Aggregator.CloseIdleConnections a) {
                b = record(6);
                putNode(b, 1, a.replica());
            } else if (action instanceof Aggregator.WatchList) {
                b = record(10).put(1, (byte) 1);
            } else if (action instanceof Aggregator.Answer a) {
                b = record(12).putInt(1, (int) a.query()).put(5, (byte) (a.whole() ? 1 : 0));
            } else {
                throw new IllegalStateException("no wire form for " + action);
            }
            put(b);
        }

        void write(OutputStream out, long batch) throws IOException {
            ByteBuffer head = ByteBuffer.allocate(12).order(ByteOrder.LITTLE_ENDIAN);
            head.putInt(records.size() + tail.size()).putInt(count).putInt((int) batch);
            out.write(head.array());
            records.writeTo(out);
            tail.writeTo(out);
            out.flush();
        }

        private static ByteBuffer record(int code) {
            return ByteBuffer.allocate(ACTION).order(ByteOrder.LITTLE_ENDIAN).put(0, (byte) code);
        }

        private void put(ByteBuffer record) {
            records.writeBytes(record.array());
            count++;
        }

        private static void putNode(ByteBuffer b, int at, long node) {
            b.putInt(at, (int) node).putShort(at + 4, (short) (node >>> 32));
        }

        private static int clamp(long micros) {
            return (int) Math.max(0, Math.min(micros, 0xffffffffL));
        }
    }
}
