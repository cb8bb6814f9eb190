package burlford.clients;

import burlford.core.Timers;
import burlford.net.ChannelReads;
import burlford.policy.ConnectionRules;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import java.util.function.LongSupplier;

/**
 * What a client sends, before it is decoded. It is copied to the heap at once, so that the memory outside the heap is
 * that of one read at a time, however many clients stop in the middle of a request. Requests are decoded one by one,
 * so many in a turn as the rules allow; then nothing is read until the connection's next turn.
 */
final class ClientInput extends ChannelInboundHandlerAdapter {

    /** Bytes that are discarded behind a last reply; then nothing more is read. */
    private static final int MAX_DISCARDED_BYTES = 1 << 18;
    private static final long NEVER = Long.MIN_VALUE / 2;
    /** Bytes that may be kept to be decoded later. */
    private static final int MAX_KEPT_BYTES = 1 << 16;
    /** More than the systems of both sides hold of what a client sent before it left. */
    private static final int MAX_BYTES_BEFORE_END = 16 << 20;

    /** The connection that the bytes are for. */
    interface Owner {
        /** Bytes of a request have arrived. */
        void onBytesArrived();

        /** Whether no further request of this connection is taken. */
        boolean discardsInput();

        /** Whether the last reply has been given. */
        boolean isEnding();

        /** Whether another request may be decoded in this turn. decoded: how many have been. */
        boolean mayDecode(int decoded);

        /** Whether the client does not take its replies, so that there is no next turn until it does. */
        boolean awaitsWritability();

        /** What has arrived has been decoded as far as it may be. */
        void onDecoded();

        /** More is read ahead than may wait: nothing more of this connection is taken. */
        void onFlood();
    }

    private final Owner owner;
    private final RequestDecoder decoder;
    private final Timers timers;
    private final LongSupplier clock;
    private ChannelHandlerContext context;
    private int discardedBytes;
    /** Requests decoded in this turn. */
    private int decoded;
    /** The turn is over, and reading is off until the next one. */
    private boolean paused;
    private Timers.Timer nextTurn;
    /** Read ahead to see the end of the connection, and not decoded yet. */
    private final ArrayDeque<ByteBuf> kept = new ArrayDeque<>();
    private int keptBytes;
    private boolean readingAhead;
    private int readAheadBytes;
    private int readsInIteration;
    private long completedReads;
    /** When all that had arrived had been read; NEVER on a connection that has not been read that far. */
    private long emptiedAt = NEVER;
    /** Nothing is decoded any more. */
    private boolean dropped;

    ClientInput(Owner owner, RequestDecoder decoder, Timers timers, LongSupplier clock) {
        this.owner = owner;
        this.decoder = decoder;
        this.timers = timers;
        this.clock = clock;
        decoder.setSingleDecode(true);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        timers.cancel(nextTurn);
        releaseKept();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        readsInIteration++;
        readAheadBytes += bytes.readableBytes();
        if (owner.discardsInput()) {
            dropUndecoded();
            discard(ctx, bytes);
            return;
        }
        owner.onBytesArrived();
        ByteBuf copy = Unpooled.copiedBuffer(bytes);
        bytes.release();
        if (readingAhead || paused) {
            keep(copy);
        } else {
            ctx.fireChannelRead(copy);
            decodeOn();
        }
        owner.onDecoded();
        if (owner.discardsInput()) {
            dropUndecoded();
        }
    }

    /**
     * Frees the memory of a request that is not taken any more, and reads on to see the client leave. Not to be called
     * while a request is being decoded.
     */
    void dropUndecoded() {
        if (dropped) {
            return;
        }
        dropped = true;
        paused = false;
        timers.cancel(nextTurn);
        releaseKept();
        // From the last to the first: what the decoder hands on at its removal must not be collected.
        context.pipeline().remove(RequestAggregator.class);
        context.pipeline().remove(BodyBudget.class);
        context.pipeline().remove(decoder);
        context.channel().config().setAutoRead(true);
    }

    /**
     * Reads on until nothing more has arrived or the connection has ended. What is read is not decoded now.
     *
     * @return whether it came that far; not where more arrives than a client can have sent before it left, nor where
     *     the channel does not read
     */
    boolean readToEnd() {
        long startedAt = clock.getAsLong();
        readingAhead = true;
        readAheadBytes = 0;
        emptiedAt = startedAt - 1;
        context.channel().config().setAutoRead(true);
        boolean reads = true;
        while (reads && context.channel().isActive() && emptiedAt < startedAt
                && readAheadBytes < MAX_BYTES_BEFORE_END) {
            long readsBefore = completedReads;
            ChannelReads.readNow(context.channel());
            reads = completedReads > readsBefore;
        }
        readingAhead = false;
        if (context.channel().isActive() && !dropped && (paused || !kept.isEmpty())) {
            paused = false;
            pause();
        }
        return !context.channel().isActive() || emptiedAt >= startedAt;
    }

    /** When all that had arrived had been read. */
    long emptiedAt() {
        return emptiedAt;
    }

    /** Bytes that are kept to be decoded later. */
    int keptBytes() {
        return keptBytes;
    }

    private void keep(ByteBuf bytes) {
        keptBytes += bytes.readableBytes();
        kept.add(bytes);
        if (keptBytes > MAX_KEPT_BYTES) {
            releaseKept();
            owner.onFlood();
        }
    }

    private void releaseKept() {
        kept.forEach(ByteBuf::release);
        kept.clear();
        keptBytes = 0;
    }

    /** Counts a request that has been decoded. */
    void onRequestDecoded() {
        decoded++;
    }

    /** Has what is left undecoded decoded, a request at a time, as far as this turn allows. */
    private void decodeOn() {
        int before = Integer.MAX_VALUE;
        while (decoder.undecodedBytes() > 0 && decoder.undecodedBytes() < before && !owner.discardsInput()) {
            if (!paused && !owner.mayDecode(decoded)) {
                pause();
            }
            if (paused) {
                return;
            }
            before = decoder.undecodedBytes();
            context.fireChannelRead(Unpooled.EMPTY_BUFFER);
        }
    }

    private void pause() {
        paused = true;
        context.channel().config().setAutoRead(false);
        if (!owner.awaitsWritability()) {
            nextTurn = timers.schedule(clock.getAsLong() + ConnectionRules.TURN_PAUSE_US, this::resume);
        }
    }

    /** Begins the connection's next turn, where the last one has ended. */
    void resume() {
        timers.cancel(nextTurn);
        if (!paused || !context.channel().isActive()) {
            return;
        }
        paused = false;
        decoded = 0;
        decodeOn();
        while (!paused && !kept.isEmpty() && !owner.discardsInput()) {
            ByteBuf next = kept.poll();
            keptBytes -= next.readableBytes();
            context.fireChannelRead(next);
            decodeOn();
        }
        owner.onDecoded();
        if (owner.discardsInput()) {
            dropUndecoded();
        } else if (!paused) {
            context.channel().config().setAutoRead(true);
        }
    }

    /** A body of 60 MB behind a 413, say, is not worth decoding. */
    private void discard(ChannelHandlerContext ctx, ByteBuf bytes) {
        discardedBytes += bytes.readableBytes();
        bytes.release();
        if (owner.isEnding() && discardedBytes > MAX_DISCARDED_BYTES) {
            ctx.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!paused) {
            decoded = 0;
        }
        if (readsInIteration < ChannelReads.MAX_READS_PER_ITERATION && ctx.channel().config().isAutoRead()) {
            emptiedAt = clock.getAsLong();
        }
        readsInIteration = 0;
        completedReads++;
        ctx.fireChannelReadComplete();
    }
}
