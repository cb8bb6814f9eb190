package burlford.servers;

import burlford.core.Call;
import burlford.core.ReaderEntry;
import burlford.core.Timers;
import burlford.net.ChannelReads;
import burlford.net.Connector;
import burlford.policy.Aggregator.Outcome;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;

/** One connection to a reader: opening, then carrying parts and probes, then closed. */
final class ReaderConnection extends SimpleChannelInboundHandler<Frame> {

    private static final Logger LOG = Logger.getLogger(ReaderConnection.class.getName());
    private static final double[] NO_LOAD = {};
    private static final long US_PER_MS = 1_000;
    /** The rest of a frame comes within this, or never. */
    private static final long REST_OF_FRAME = 250_000;
    /** So many ids given up are remembered: not all of them are answered. */
    private static final int MOST_GIVEN_UP = 256;

    /** A call on this connection, and whether its frame's first byte may, and its last has been written. */
    private static final class InFlightCall {
        final Call call;
        boolean begun;
        boolean written;

        InFlightCall(Call call) {
            this.call = call;
        }
    }

    private final ReaderPool pool;
    private final String reader;
    private final InetSocketAddress address;
    private final Map<String, InFlightCall> calls = new LinkedHashMap<>();
    private final ArrayDeque<Probe> probes = new ArrayDeque<>();
    /** Parts given up here, whose answers come late or not at all. */
    private final Set<String> givenUp = new LinkedHashSet<>();
    /** What came with the bytes being read, told once all are read: nothing new may go here behind spoilt ones. */
    private final ArrayDeque<Runnable> arrived = new ArrayDeque<>();
    private final FrameSplitter frames = new FrameSplitter();
    private Channel channel;
    private boolean up;
    private boolean closed;
    private boolean retired;
    private Timers.Timer connectBy;
    private Timers.Timer restBy;
    /** When something last came, or was first waited for. */
    private long heardAt;
    private Timers.Timer quiet;
    /** Questions whether it is alive that wait for their answers, and whether one waits for long. */
    private int asked;
    private boolean doubtful;
    private Timers.Timer idleUntil;
    private Timers.Timer writeNext;

    /** A probe on this connection: answers come in the order of the questions. */
    record Probe(long sentAt, Timers.Timer[] by, boolean[] over) { }

    /** Cuts out the frames, and knows whether one has come in part. */
    private static final class FrameSplitter extends LengthFieldBasedFrameDecoder {
        FrameSplitter() {
            super(ByteOrder.LITTLE_ENDIAN, Frame.MAX_BYTES, 0, Frame.LENGTH_BYTES, 0, Frame.LENGTH_BYTES, true);
        }

        boolean begun() {
            return actualReadableBytes() > 0;
        }
    }

    ReaderConnection(ReaderPool pool, ReaderEntry entry) {
        this.pool = pool;
        this.reader = entry.id();
        this.address = new InetSocketAddress(entry.host(), entry.port());
    }

    void open(Bootstrap bootstrap) {
        pool.counters().add("readers.connections.opened");
        connectBy = pool.timers().schedule(pool.now() + pool.site().connectTimeout(), () -> {
            if (!up) {
                pool.counters().add("readers.connections.timed_out");
                close();
            }
        });
        channel = Connector.connect(bootstrap, address, this::connected, this::notConnected, frames,
                new Frame.Decoder(), this);
    }

    private void connected() {
        pool.timers().cancel(connectBy);
        if (!closed) {
            up = true;
            probes.forEach(p -> write(Frame.of('U', "")));
            writeWaitingSoon();
            rest();
        }
    }

    /**
     * At the end of a turn, when all that came in it is read: a client that left or a reader that drains goes first.
     */
    private void writeWaiting() {
        for (InFlightCall c : List.copyOf(calls.values())) {
            if (!closed && isFlushed() && !c.begun && calls.get(c.call.partId) == c) {
                write(c);
            }
        }
    }

    private void notConnected(Throwable cause) {
        pool.counters().add("readers.connections.failed");
        LOG.log(Level.FINE, "reader {0}: no connection: {1}", new Object[] {reader, cause.getMessage()});
        closed();
    }

    /** Takes nothing new and closes once nothing is out: its reader has started anew or is going. */
    void drain() {
        retired = true;
        rest();
    }

    boolean hasRoom() {
        return !closed && !retired && restBy == null && !doubtful && calls.size() < pool.maxCallsPerConnection();
    }

    /** Answers name their part: two calls of one name, from queries of one id, cannot share a connection. */
    boolean hasRoomFor(Call call) {
        return hasRoom() && !calls.containsKey(call.partId);
    }

    /** May carry one more beyond its number, which then waits unread; nothing else may be opened. */
    boolean canQueue(Call call) {
        return !closed && !retired && restBy == null && !doubtful && !calls.containsKey(call.partId);
    }

    int inFlightCalls() {
        return calls.size();
    }

    boolean isIdle() {
        return calls.isEmpty() && probes.stream().allMatch(p -> p.over[0]);
    }

    boolean carries(Call call) {
        InFlightCall c = calls.get(call.partId);
        return c != null && c.call == call;
    }

    void send(Call call) {
        stir();
        InFlightCall c = new InFlightCall(call);
        if (calls.isEmpty()) {
            heardAt = pool.now();
        }
        calls.put(call.partId, c);
        if (up && isFlushed()) {
            write(c);
        }
    }

    /** All that was written is in the socket. What waits behind unwritten bytes could not be taken back. */
    private boolean isFlushed() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer != null && buffer.totalPendingWriteBytes() == 0;
    }

    /** Looks at the call once more when all else is done: what may pass between that look and the write is short. */
    private void write(InFlightCall c) {
        long encodedAt = pool.now();
        ByteBuf frame = encode(c.call, encodedAt);
        if (!pool.listener().passesSendCheck(c.call)) {
            frame.release();
            return;
        }
        listen();
        c.begun = true;
        if (pool.now() - encodedAt >= US_PER_MS) {
            frame.release();
            frame = encode(c.call, pool.now());
        }
        write(frame).addListener(f -> c.written = f.isSuccess());
    }

    private static ByteBuf encode(Call call, long now) {
        long wait = Math.max(1, (call.deadline - now) / US_PER_MS);
        byte[] line = (call.partId + " " + call.shard + " d=" + wait + " " + call.text.length + "\n")
                .getBytes(StandardCharsets.UTF_8);
        byte[] rest = new byte[line.length + call.text.length];
        System.arraycopy(line, 0, rest, 0, line.length);
        System.arraycopy(call.text, 0, rest, line.length, call.text.length);
        return new Frame('D', rest).encode();
    }

    private void write(Frame frame) {
        write(frame.encode());
    }

    private ChannelFuture write(ByteBuf frame) {
        ChannelFuture written = channel.writeAndFlush(frame);
        if (!written.isDone()) {
            written.addListener(f -> writeWaitingSoon());
        }
        return written;
    }

    private void writeWaitingSoon() {
        if (!closed) {
            pool.timers().cancel(writeNext);
            writeNext = pool.timers().schedule(pool.now(), this::writeWaiting);
        }
    }

    /** The reader is told at once, so that no further attempt of the part can overtake the word. */
    void cancel(Call call) {
        InFlightCall c = calls.remove(call.partId);
        if (c.begun && !closed && !(c.written && isFlushed())) {
            closeOverUnfinishedFrame(); // a cancel would wait there too
        } else if (c.begun && !closed) {
            write(Frame.of('K', call.partId));
            givenUp.add(call.partId);
            if (givenUp.size() > MOST_GIVEN_UP) {
                givenUp.remove(givenUp.iterator().next());
            }
        }
        rest();
    }

    /** Takes a call back whose frame has not been written to its last byte; false where it has. */
    boolean withdraw(Call call) {
        InFlightCall c = calls.get(call.partId);
        if (c.written) {
            return false;
        }
        calls.remove(call.partId);
        if (c.begun) {
            closeOverUnfinishedFrame();
        }
        rest();
        return true;
    }

    /**
     * The socket is full, and the rest of a frame in front of it would go out whenever the reader reads again. The
     * reader may have the other calls, and is as silent to them.
     */
    private void closeOverUnfinishedFrame() {
        if (closed) {
            return;
        }
        pool.counters().add("readers.connections.full");
        List<InFlightCall> out = new ArrayList<>(calls.values());
        calls.clear();
        close();
        out.forEach(c -> pool.listener().callEnded(c.call, c.written ? Outcome.TIMEOUT : Outcome.NO_CONNECTION, null,
                NO_LOAD));
    }

    void probe() {
        stir();
        Probe p = new Probe(pool.now(), new Timers.Timer[1], new boolean[1]);
        p.by[0] = pool.timers().schedule(pool.now() + pool.site().connectTimeout(), () -> {
            readWhatHasCome();
            ended(p, Outcome.TIMEOUT, NO_LOAD);
        });
        probes.add(p);
        if (up) {
            write(Frame.of('U', ""));
        }
    }

    private void ended(Probe p, Outcome outcome, double[] load) {
        if (!p.over[0]) {
            p.over[0] = true;
            pool.timers().cancel(p.by[0]);
            rest();
            pool.listener().probeEnded(reader, outcome, p.sentAt, load);
        }
    }

    /**
     * A connection may fall silent while its reader serves all others, and a reader without a word. So where parts
     * are out and nothing comes for the connect time-out, or an eighth of the longest deadline where that is
     * more (parts take their time there), it is asked whether it is alive: still silent for as long again it takes
     * nothing new, and for twice as long its parts have timed out. Readers that stand still now and then do so for
     * less. Each question is work for the reader: before hundreds of coordinators most parts are alone on their
     * connection, and at half these times one in ten was followed by one.
     */
    private void listen() {
        if (quiet == null && up && !closed && !calls.isEmpty()) {
            long patience = Math.max(pool.site().connectTimeout(), pool.site().longestDeadline() / 8);
            quiet = pool.timers().schedule(Math.max(heardAt + patience, pool.now() + 1), () -> {
                quiet = null;
                readWhatHasCome();
                if (!closed && !calls.isEmpty() && pool.now() - heardAt >= patience) {
                    asked++;
                    pool.counters().add("readers.connections.asked");
                    write(Frame.of('I', ""));
                    quiet = pool.timers().schedule(pool.now() + patience, () -> doubt(patience));
                } else {
                    listen();
                }
            });
        }
    }

    private void doubt(long patience) {
        readWhatHasCome();
        if (closed) {
            return;
        }
        doubtful = asked > 0;
        quiet = pool.timers().schedule(pool.now() + patience, () -> {
            quiet = null;
            readWhatHasCome();
            if (!closed && asked > 0) {
                pool.counters().add("readers.connections.silent");
                List<InFlightCall> out = new ArrayList<>(calls.values());
                calls.clear();
                close();
                out.forEach(c -> pool.listener().callEnded(c.call, Outcome.TIMEOUT, null, NO_LOAD));
            } else {
                listen();
            }
        });
    }

    /** Before it is judged to be silent: in a turn of the event loop that takes long, answers lie unread. */
    private void readWhatHasCome() {
        if (up && !closed) {
            ChannelReads.readNow(channel);
        }
    }

    private void stir() {
        pool.timers().cancel(idleUntil);
        idleUntil = null;
    }

    /** Closes before the reader would: what is written to a connection it has closed ends as a reset. */
    private void rest() {
        if (isIdle() && !closed) {
            stir();
            if (retired) {
                close();
            } else {
                idleUntil = pool.timers().schedule(pool.now() + pool.site().connIdle() * 9 / 10, this::close);
            }
        }
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
        closed();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        if (closed) {
            return;
        }
        heardAt = pool.now();
        switch (frame.type()) {
            case 'I' -> {
                if (asked == 0) {
                    throw new CorruptedFrameException("an answer to a question nobody asked");
                }
                asked--;
                doubtful &= asked > 0;
            }
            case 'O' -> answer(frame);
            case 'U' -> {
                Probe p = probes.poll();
                if (p == null) {
                    throw new CorruptedFrameException("a load report nobody asked for");
                }
                String text = frame.text(0).trim();
                boolean error = text.equals("500");
                double[] load = error ? NO_LOAD : LoadReport.parse(text, pool.site().reportColumns());
                arrived.add(() -> ended(p, error ? Outcome.ERROR : Outcome.OK, load));
            }
            case 'Z' -> throw new CorruptedFrameException("the reader could not use a frame: " + frame.text(0));
            default -> throw new CorruptedFrameException("unknown letter " + (int) frame.type());
        }
    }

    private void answer(Frame frame) {
        int end = 0;
        while (end < frame.payload().length && frame.payload()[end] != '\n') {
            end++;
        }
        String[] words = new String(frame.payload(), 0, end, StandardCharsets.UTF_8).split(" ");
        if (end == frame.payload().length || words.length != 4) {
            throw new CorruptedFrameException("an answer without its line of four words");
        }
        InFlightCall c = calls.get(words[0]);
        if (c == null) {
            if (!givenUp.remove(words[0])) {
                throw new CorruptedFrameException("an answer to a part that is not out here");
            }
            pool.counters().add("readers.answers.late");
            return;
        }
        Outcome outcome = switch (words[1]) {
            case "200" -> Outcome.OK;
            case "500" -> Outcome.ERROR;
            case "503" -> Outcome.FULL;
            default -> throw new MalformedAnswerException(c, "an answer ends in " + words[1]);
        };
        String value;
        try {
            value = outcome == Outcome.OK ? frame.text(end + 1) : null;
        } catch (CorruptedFrameException e) {
            throw new MalformedAnswerException(c, e.getMessage());
        }
        calls.remove(words[0]);
        double[] load = LoadReport.parse(words[3], pool.site().reportColumns());
        arrived.add(() -> pool.listener().callEnded(c.call, outcome, value, load));
    }

    /** An answer of which it is known what part it is to. */
    private static final class MalformedAnswerException extends CorruptedFrameException {
        private static final long serialVersionUID = 1L;
        private final transient InFlightCall of;

        MalformedAnswerException(InFlightCall of, String message) {
            super(message);
            this.of = of;
        }
    }

    /**
     * All that has come is read. Part of a frame with nothing out is noise behind a good answer; with something
     * out, it may be an answer that never ends: the connection takes nothing new until the rest has come.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!closed && frames.begun()) {
            if (isIdle()) {
                spoilt(null, "more bytes than the answer's");
            } else if (restBy == null) {
                restBy = pool.timers().schedule(pool.now() + REST_OF_FRAME,
                        () -> spoilt(null, "a frame that does not end"));
            }
        } else if (restBy != null) {
            pool.timers().cancel(restBy);
            restBy = null;
        }
        tell();
        rest();
    }

    private void tell() {
        for (Runnable next = arrived.poll(); next != null; next = arrived.poll()) {
            next.run();
        }
    }

    /**
     * Nothing that comes on this connection can be trusted any more. The answer to the part named, else to the
     * one out longest, has failed and may have run; the others out here are given up and may be sent elsewhere.
     * They were not reset: that would cast suspicion on their queries.
     */
    private void spoilt(InFlightCall named, String why) {
        if (closed) {
            return;
        }
        pool.counters().add("readers.frames.bad");
        if (!calls.isEmpty()) {
            LOG.log(Level.WARNING, "reader {0}: {1}", new Object[] {reader, why});
        }
        List<InFlightCall> out = new ArrayList<>(calls.values());
        calls.clear();
        close();
        InFlightCall failed = named == null && !out.isEmpty() ? out.get(0) : named;
        out.forEach(c -> pool.listener().callEnded(c.call, !c.written ? Outcome.NO_CONNECTION
                : c == failed ? Outcome.ERROR : Outcome.CANCELLED, null, NO_LOAD));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closed();
    }

    /** A bad frame ends the connection: where the next one starts is not known. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Throwable why = cause.getCause() instanceof CorruptedFrameException ? cause.getCause() : cause;
        if (why instanceof DecoderException) {
            spoilt(why instanceof MalformedAnswerException s ? s.of : null, why.getMessage());
            return;
        }
        if (why instanceof IOException) {
            pool.counters().add("readers.connections.broken");
        } else {
            LOG.log(Level.SEVERE, "reader " + reader, why);
        }
        close();
    }

    /** All that was out on it has ended: unsent if its frame's last byte was never written, else reset. */
    private void closed() {
        if (closed) {
            return;
        }
        closed = true;
        stir();
        pool.timers().cancel(connectBy);
        pool.timers().cancel(restBy);
        pool.timers().cancel(quiet);
        pool.timers().cancel(writeNext);
        pool.forget(reader, this);
        tell();
        List<InFlightCall> lost = new ArrayList<>(calls.values());
        List<Probe> unanswered = new ArrayList<>(probes);
        calls.clear();
        probes.clear();
        if (lost.stream().anyMatch(c -> c.written)) {
            pool.connectionBroken();
        }
        for (InFlightCall c : lost) {
            pool.listener().callEnded(c.call, c.written ? Outcome.DROPPED : Outcome.NO_CONNECTION, null, NO_LOAD);
        }
        for (Probe p : unanswered) {
            ended(p, up ? Outcome.DROPPED : Outcome.NO_CONNECTION, NO_LOAD);
        }
    }
}
