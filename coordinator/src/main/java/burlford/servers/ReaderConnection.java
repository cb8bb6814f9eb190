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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/** A connection to a reader, which carries calls and probes. All times are microseconds on the coordinator's clock. */
final class ReaderConnection extends SimpleChannelInboundHandler<Frame> {

    private static final Logger LOG = Logger.getLogger(ReaderConnection.class.getName());
    private static final double[] NO_LOAD_REPORT = {};
    private static final long US_PER_MS = 1_000;
    /** A frame that has arrived in part must be complete within this time. */
    private static final long FRAME_COMPLETION_TIMEOUT_US = 250_000;

    /**
     * A call in flight on this connection. writeStarted: the first byte of its frame may have been written.
     * fullyWritten: the last byte has been written.
     */
    private static final class InFlightCall {
        final Call call;
        boolean writeStarted;
        boolean fullyWritten;

        InFlightCall(Call call) {
            this.call = call;
        }
    }

    private final ReaderPool pool;
    private final String reader;
    private final InetSocketAddress address;
    private final Map<String, InFlightCall> calls = new LinkedHashMap<>();
    private final ArrayDeque<Probe> probes = new ArrayDeque<>();
    private final CancelledPartIds cancelledIds = new CancelledPartIds();
    /**
     * Reports of what has been read, made once all bytes that have arrived are read: if malformed ones are among them,
     * the coordinator must not send anything new on this connection before it is closed.
     */
    private final ArrayDeque<Runnable> pendingReports = new ArrayDeque<>();
    /**
     * The answer read last, until what follows it shows that its frame ended where its length says. With a wrong length
     * its value lacks bytes or has some of the next frame.
     */
    private Answer unconfirmedAnswer;
    private final FrameSplitter frameSplitter = new FrameSplitter();
    private Channel channel;
    private boolean connected;
    private boolean closed;
    private boolean draining;
    private Timers.Timer connectTimer;
    private Timers.Timer partialFrameTimer;
    /** Reserved for the frame that has arrived in part. */
    private int reservedFrameBytes;
    /** When data last arrived, or when waiting for data began. */
    private long silentSince;
    private Timers.Timer silenceTimer;
    /** Pings that are not answered yet; unresponsive: one has not been answered within the silence timeout. */
    private int pendingPings;
    private boolean unresponsive;
    private Timers.Timer idleTimer;
    private Timers.Timer writeTimer;

    /** A probe on this connection; probes are answered in the order sent. Each array holds one value that changes. */
    record Probe(long sentAt, Timers.Timer[] timeout, boolean[] ended) { }

    /** An answer to a call, as it was read. */
    private record Answer(InFlightCall inFlight, Outcome outcome, String value, double[] loadReport) { }

    ReaderConnection(ReaderPool pool, ReaderEntry entry) {
        this.pool = pool;
        this.reader = entry.id();
        this.address = new InetSocketAddress(entry.host(), entry.port());
    }

    void open(Bootstrap bootstrap) {
        pool.counters().add("readers.connections.opened");
        connectTimer = pool.timers().schedule(pool.now() + pool.site().connectTimeout(), () -> {
            if (!connected) {
                pool.counters().add("readers.connections.timed_out");
                close();
            }
        });
        channel = Connector.connect(bootstrap, address, this::onConnected, this::onConnectFailed, frameSplitter,
                new Frame.Decoder(), this);
    }

    private void onConnected() {
        pool.timers().cancel(connectTimer);
        if (!closed) {
            connected = true;
            probes.forEach(p -> write(Frame.of('U', "")));
            scheduleWriteUnsentCalls();
            updateIdleTimer();
        }
    }

    /**
     * Writes the calls that wait. Runs at the end of the event-loop iteration, when all that has arrived is read, so
     * that a client's disconnect or a reader's draining takes effect first.
     */
    private void writeUnsentCalls() {
        for (InFlightCall inFlight : List.copyOf(calls.values())) {
            if (!closed && isFlushed() && !inFlight.writeStarted && calls.get(inFlight.call.partId) == inFlight) {
                write(inFlight);
            }
        }
    }

    private void onConnectFailed(Throwable cause) {
        pool.counters().add("readers.connections.failed");
        LOG.log(Level.FINE, "reader {0}: connecting failed: {1}", new Object[] {reader, cause.getMessage()});
        onClosed();
    }

    /** Takes nothing new and closes once nothing is in flight. */
    void drain() {
        draining = true;
        updateIdleTimer();
    }

    /** Whether the connection takes another call or probe. */
    boolean hasRoom() {
        return !closed && !draining && partialFrameTimer == null && !unresponsive
                && calls.size() < pool.maxCallsPerConnection();
    }

    /** As hasRoom, for this call. */
    boolean hasRoomFor(Call call) {
        return hasRoom() && !expectsAnswerTo(call.partId);
    }

    /** Whether one call beyond the limit can wait here, unread by the reader, if no other connection may be opened. */
    boolean canQueue(Call call) {
        return !closed && !draining && partialFrameTimer == null && !unresponsive && !expectsAnswerTo(call.partId);
    }

    /** Whether an answer with this part id may arrive; a further call with this id could not be told apart. */
    boolean expectsAnswerTo(String partId) {
        return calls.containsKey(partId) || cancelledIds.contains(partId);
    }

    int inFlightCalls() {
        return calls.size();
    }

    boolean isIdle() {
        return calls.isEmpty() && probes.stream().allMatch(p -> p.ended[0]);
    }

    boolean carries(Call call) {
        InFlightCall inFlight = calls.get(call.partId);
        return inFlight != null && inFlight.call == call;
    }

    void send(Call call) {
        cancelIdleTimer();
        InFlightCall inFlight = new InFlightCall(call);
        if (calls.isEmpty()) {
            silentSince = pool.now();
        }
        calls.put(call.partId, inFlight);
        if (connected && isFlushed()) {
            write(inFlight);
        }
    }

    /** Whether all that was written is in the socket; a call queued behind unwritten bytes could not be withdrawn. */
    private boolean isFlushed() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer != null && buffer.totalPendingWriteBytes() == 0;
    }

    /**
     * Runs the send check after all other preparations, so that little time passes between the check and the write.
     */
    private void write(InFlightCall inFlight) {
        long encodedAt = pool.now();
        ByteBuf frame = encode(inFlight.call, encodedAt);
        if (!pool.coordinator().tryBeginWrite(inFlight.call)) {
            frame.release();
            return;
        }
        startSilenceTimer();
        inFlight.writeStarted = true;
        if (pool.now() - encodedAt >= US_PER_MS) {
            frame.release();
            frame = encode(inFlight.call, pool.now());
        }
        write(frame).addListener(f -> inFlight.fullyWritten = f.isSuccess());
    }

    private static ByteBuf encode(Call call, long now) {
        long timeLeftMs = Math.max(1, (call.waitsUntil - now) / US_PER_MS);
        byte[] header = (call.partId + " " + call.shard + " d=" + timeLeftMs + " " + call.text.length + "\n")
                .getBytes(StandardCharsets.UTF_8);
        byte[] payload = new byte[header.length + call.text.length];
        System.arraycopy(header, 0, payload, 0, header.length);
        System.arraycopy(call.text, 0, payload, header.length, call.text.length);
        return new Frame('D', payload).encode();
    }

    private void write(Frame frame) {
        write(frame.encode());
    }

    private ChannelFuture write(ByteBuf frame) {
        ChannelFuture written = channel.writeAndFlush(frame);
        if (!written.isDone()) {
            written.addListener(f -> scheduleWriteUnsentCalls());
        }
        return written;
    }

    private void scheduleWriteUnsentCalls() {
        if (!closed) {
            pool.timers().cancel(writeTimer);
            writeTimer = pool.timers().schedule(pool.now(), this::writeUnsentCalls);
        }
    }

    /**
     * Cancels a call. The reader is notified at once, so that no further attempt of the part can overtake the cancel.
     */
    void cancel(Call call) {
        InFlightCall inFlight = calls.remove(call.partId);
        if (inFlight.writeStarted && !closed && !(inFlight.fullyWritten && isFlushed())) {
            closeWithPartlyWrittenFrame(); // a cancel frame would wait behind it
        } else if (inFlight.writeStarted && !closed) {
            write(Frame.of('K', call.partId));
            cancelledIds.add(call.partId);
            draining |= cancelledIds.isFull();
        }
        updateIdleTimer();
    }

    /** Withdraws a call whose frame is not completely written; false where it is. */
    boolean withdraw(Call call) {
        InFlightCall inFlight = calls.get(call.partId);
        if (inFlight.fullyWritten) {
            return false;
        }
        calls.remove(call.partId);
        if (inFlight.writeStarted) {
            closeWithPartlyWrittenFrame();
        }
        updateIdleTimer();
        return true;
    }

    /**
     * Closes the connection because its socket is full: the rest of a frame would be sent whenever the reader reads
     * again. The reader may have received the calls that are fully written, and does not answer those either: they
     * time out.
     */
    private void closeWithPartlyWrittenFrame() {
        if (closed) {
            return;
        }
        pool.counters().add("readers.connections.full");
        List<InFlightCall> callsInFlight = new ArrayList<>(calls.values());
        calls.clear();
        close();
        callsInFlight.forEach(c -> pool.coordinator().callEnded(c.call,
                c.fullyWritten ? Outcome.TIMEOUT : Outcome.NO_CONNECTION, null, NO_LOAD_REPORT));
    }

    void probe() {
        cancelIdleTimer();
        Probe probe = new Probe(pool.now(), new Timers.Timer[1], new boolean[1]);
        probe.timeout[0] = pool.timers().schedule(pool.now() + pool.site().connectTimeout(), () -> {
            readPendingBytes();
            endProbe(probe, Outcome.TIMEOUT, NO_LOAD_REPORT);
        });
        probes.add(probe);
        if (connected) {
            write(Frame.of('U', ""));
        }
    }

    private void endProbe(Probe probe, Outcome outcome, double[] loadReport) {
        if (!probe.ended[0]) {
            probe.ended[0] = true;
            pool.timers().cancel(probe.timeout[0]);
            updateIdleTimer();
            pool.coordinator().probeEnded(reader, outcome, probe.sentAt, loadReport);
        }
    }

    /**
     * Detects a connection that has fallen silent, either alone or because its whole reader hangs without closing its
     * connections. If calls are in flight and nothing arrives for the silence timeout, the reader is pinged on this
     * connection. If nothing arrives for another timeout, the connection takes nothing new; after one more, its calls
     * have timed out.
     *
     * <p>The silence timeout is the connect timeout, or an eighth of the longest deadline where that is longer, since
     * parts take long there. Ordinary pauses of readers are shorter. Each ping is work for the reader: with hundreds
     * of coordinators most calls are alone on their connection, and with half this timeout one call in ten caused a
     * ping.
     */
    private void startSilenceTimer() {
        if (silenceTimer == null && connected && !closed && !calls.isEmpty()) {
            long silenceTimeout = Math.max(pool.site().connectTimeout(), pool.site().longestDeadline() / 8);
            silenceTimer = pool.timers().schedule(Math.max(silentSince + silenceTimeout, pool.now() + 1), () -> {
                silenceTimer = null;
                readPendingBytes();
                if (!closed && !calls.isEmpty() && pool.now() - silentSince >= silenceTimeout) {
                    pendingPings++;
                    pool.counters().add("readers.connections.asked");
                    write(Frame.of('I', ""));
                    silenceTimer = pool.timers().schedule(pool.now() + silenceTimeout,
                            () -> onPingOverdue(silenceTimeout));
                } else {
                    startSilenceTimer();
                }
            });
        }
    }

    private void onPingOverdue(long silenceTimeout) {
        readPendingBytes();
        if (closed) {
            return;
        }
        unresponsive = pendingPings > 0;
        silenceTimer = pool.timers().schedule(pool.now() + silenceTimeout, () -> {
            silenceTimer = null;
            readPendingBytes();
            if (!closed && pendingPings > 0) {
                pool.counters().add("readers.connections.silent");
                List<InFlightCall> callsInFlight = new ArrayList<>(calls.values());
                calls.clear();
                close();
                callsInFlight.forEach(c -> pool.coordinator().callEnded(c.call, Outcome.TIMEOUT, null, NO_LOAD_REPORT));
            } else {
                startSilenceTimer();
            }
        });
    }

    /**
     * Reads what has arrived before the connection is judged silent: in a long event-loop iteration it lies unread.
     */
    private void readPendingBytes() {
        if (connected && !closed) {
            ChannelReads.readNow(channel);
        }
    }

    private void cancelIdleTimer() {
        pool.timers().cancel(idleTimer);
        idleTimer = null;
    }

    /**
     * If nothing is in flight, restarts the idle timer, or closes the connection where it drains. The timer closes the
     * connection before the reader would: a call written to a connection that the reader has closed ends as a reset.
     */
    private void updateIdleTimer() {
        if (isIdle() && !closed) {
            cancelIdleTimer();
            if (draining) {
                close();
            } else {
                idleTimer = pool.timers().schedule(pool.now() + pool.site().connIdle() * 9 / 10, this::close);
            }
        }
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
        onClosed();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        if (closed) {
            return;
        }
        silentSince = pool.now();
        confirmAnswer();
        switch (frame.type()) {
            case 'I' -> {
                if (pendingPings == 0) {
                    throw new CorruptedFrameException("an answer to a ping that was not sent");
                }
                pendingPings--;
                unresponsive &= pendingPings > 0;
            }
            case 'O' -> handleAnswer(frame);
            case 'U' -> {
                Probe probe = probes.poll();
                if (probe == null) {
                    throw new CorruptedFrameException("a load report without a probe");
                }
                String text = frame.text(0).trim();
                boolean error = text.equals("500");
                double[] loadReport = error ? NO_LOAD_REPORT : LoadReport.parse(text, pool.site().reportColumns());
                pendingReports.add(() -> endProbe(probe, error ? Outcome.ERROR : Outcome.OK, loadReport));
            }
            case 'Z' -> throw new CorruptedFrameException("the reader could not use a frame: " + frame.text(0));
            default -> throw new CorruptedFrameException("unknown message type " + (int) frame.type());
        }
    }

    private void handleAnswer(Frame frame) {
        int lineEnd = 0;
        while (lineEnd < frame.payload().length && frame.payload()[lineEnd] != '\n') {
            lineEnd++;
        }
        String[] fields = new String(frame.payload(), 0, lineEnd, StandardCharsets.UTF_8).split(" ");
        if (lineEnd == frame.payload().length || fields.length != 4) {
            throw new CorruptedFrameException("an answer without a header line of four fields");
        }
        InFlightCall inFlight = calls.get(fields[0]);
        if (inFlight == null) {
            if (!cancelledIds.removeAnswered(fields[0])) {
                throw new CorruptedFrameException("an answer to a part that is not in flight on this connection");
            }
            pool.counters().add("readers.answers.late");
            return;
        }
        Outcome outcome = switch (fields[1]) {
            case "200" -> Outcome.OK;
            case "500" -> Outcome.ERROR;
            case "503" -> Outcome.FULL;
            default -> throw new MalformedAnswerException(inFlight, "an answer with the unknown status " + fields[1]);
        };
        String value;
        try {
            value = outcome == Outcome.OK ? ReaderValue.decode(frame, lineEnd + 1) : null;
        } catch (CorruptedFrameException e) {
            throw new MalformedAnswerException(inFlight, e.getMessage());
        }
        calls.remove(fields[0]);
        unconfirmedAnswer = new Answer(inFlight, outcome, value,
                LoadReport.parse(fields[3], pool.site().reportColumns()));
    }

    /** The bytes behind the last answer begin a frame, or there are none: its frame ended where its length says. */
    private void confirmAnswer() {
        if (unconfirmedAnswer != null) {
            Answer answer = unconfirmedAnswer;
            unconfirmedAnswer = null;
            pendingReports.add(() -> pool.coordinator().callEnded(answer.inFlight.call, answer.outcome, answer.value,
                    answer.loadReport));
        }
    }

    /** The last answer may have a wrong length, so its call has failed and may have run. */
    private void failAnswer() {
        if (unconfirmedAnswer != null) {
            Answer answer = unconfirmedAnswer;
            unconfirmedAnswer = null;
            pendingReports.add(() -> pool.coordinator().callEnded(answer.inFlight.call, Outcome.ERROR, null,
                    NO_LOAD_REPORT));
        }
    }

    /** Whether the reader owes a frame on this connection, even if nobody waits for it any more. */
    private boolean expectsFrame() {
        return !calls.isEmpty() || !probes.isEmpty() || pendingPings > 0 || !cancelledIds.isEmpty();
    }

    /** A malformed answer whose part is known. */
    private static final class MalformedAnswerException extends CorruptedFrameException {
        private static final long serialVersionUID = 1L;
        private final transient InFlightCall inFlightCall;

        MalformedAnswerException(InFlightCall inFlightCall, String message) {
            super(message);
            this.inFlightCall = inFlightCall;
        }
    }

    /**
     * All that has arrived is read. A partial frame where the reader owes none consists of stray bytes behind a valid
     * answer. Else it may be an answer that never ends, so the connection takes nothing new until the rest of the frame
     * has arrived. A partial frame whose length has arrived was checked by the splitter; with less of it the answer
     * before stays unconfirmed.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        int partialFrameBytes = closed ? 0 : frameSplitter.partialFrameBytes();
        if (partialFrameBytes == 0 || partialFrameBytes >= Frame.LENGTH_BYTES) {
            confirmAnswer();
        }
        if (partialFrameBytes > 0 && !expectsFrame()) {
            failMalformed(null, "stray bytes behind the last answer");
        } else if (partialFrameBytes > 0 && partialFrameTimer == null) {
            partialFrameTimer = pool.timers().schedule(pool.now() + FRAME_COMPLETION_TIMEOUT_US,
                    () -> failMalformed(null, "a frame that does not end"));
        } else if (partialFrameBytes == 0 && partialFrameTimer != null) {
            pool.timers().cancel(partialFrameTimer);
            partialFrameTimer = null;
        }
        accountForPartialFrame(closed ? 0 : partialFrameBytes);
        runPendingReports();
        updateIdleTimer();
    }

    private void accountForPartialFrame(int bytes) {
        if (pool.partialFrames().tryChange(reservedFrameBytes, bytes)) {
            reservedFrameBytes = bytes;
        } else {
            pool.counters().add("readers.frames.no_memory");
            failMalformed(null, "no memory for a frame that has not ended");
        }
    }

    private void runPendingReports() {
        for (Runnable next = pendingReports.poll(); next != null; next = pendingReports.poll()) {
            next.run();
        }
    }

    /**
     * Closes the connection, since nothing that arrives on it can be trusted any more. The answered call has failed and
     * may have run; where it is unknown, the call of the answer right before the malformed bytes, if these may be part
     * of it, else the one longest in flight. The other calls end as cancelled and may be sent elsewhere. They do not
     * end as dropped, since that would make their queries suspect.
     */
    private void failMalformed(InFlightCall answered, String reason) {
        if (closed) {
            return;
        }
        pool.counters().add("readers.frames.bad");
        boolean answerFails = unconfirmedAnswer != null && lengthMayBeWrong();
        if (!calls.isEmpty() || answerFails) {
            LOG.log(Level.WARNING, "reader {0}: {1}", new Object[] {reader, reason});
        }
        if (answerFails) {
            failAnswer();
        } else {
            confirmAnswer();
        }
        List<InFlightCall> callsInFlight = new ArrayList<>(calls.values());
        calls.clear();
        close();
        InFlightCall failed = answered == null && !answerFails && !callsInFlight.isEmpty() ? callsInFlight.get(0)
                : answered;
        callsInFlight.forEach(c -> pool.coordinator().callEnded(c.call, !c.fullyWritten ? Outcome.NO_CONNECTION
                : c == failed ? Outcome.ERROR : Outcome.CANCELLED, null, NO_LOAD_REPORT));
    }

    /**
     * Whether the last answer's length may be the cause of the malformed bytes behind it: too small, so that they are
     * the rest of its value, or too large, so that they are what its value has left of the next frame. Where the reader
     * owes no frame, bytes that cannot belong to a value are noise behind a valid answer.
     */
    private boolean lengthMayBeWrong() {
        return expectsFrame() || ReaderValue.couldContinueWith(frameSplitter.bytesBehindLastFrame());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        onClosed();
    }

    /** A malformed frame ends the connection, since it is not known where the next frame starts. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Throwable unwrapped = cause.getCause() instanceof CorruptedFrameException ? cause.getCause() : cause;
        if (unwrapped instanceof DecoderException) {
            failMalformed(unwrapped instanceof MalformedAnswerException malformed ? malformed.inFlightCall : null,
                    unwrapped.getMessage());
            return;
        }
        if (unwrapped instanceof IOException) {
            pool.counters().add("readers.connections.broken");
        } else {
            LOG.log(Level.SEVERE, "unexpected error on a connection to reader " + reader, unwrapped);
        }
        close();
    }

    /**
     * Ends all that was in flight here: as not sent where the last byte of its frame was not written, else as dropped.
     */
    private void onClosed() {
        if (closed) {
            return;
        }
        closed = true;
        accountForPartialFrame(0);
        cancelIdleTimer();
        pool.timers().cancel(connectTimer);
        pool.timers().cancel(partialFrameTimer);
        pool.timers().cancel(silenceTimer);
        pool.timers().cancel(writeTimer);
        pool.removeConnection(reader, this);
        failAnswer();
        runPendingReports();
        List<InFlightCall> lostCalls = new ArrayList<>(calls.values());
        List<Probe> unansweredProbes = new ArrayList<>(probes);
        calls.clear();
        probes.clear();
        if (lostCalls.stream().anyMatch(c -> c.fullyWritten)) {
            pool.connectionBroken();
        }
        for (InFlightCall c : lostCalls) {
            pool.coordinator().callEnded(c.call, c.fullyWritten ? Outcome.DROPPED : Outcome.NO_CONNECTION, null,
                    NO_LOAD_REPORT);
        }
        for (Probe p : unansweredProbes) {
            endProbe(p, connected ? Outcome.DROPPED : Outcome.NO_CONNECTION, NO_LOAD_REPORT);
        }
    }
}
