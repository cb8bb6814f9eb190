package burlford.clients;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * What a client sends, before it is decoded. It is copied to the heap at once, so that the memory outside the heap is
 * that of one read at a time, however many clients stop in the middle of a request.
 */
final class ClientInput extends ChannelInboundHandlerAdapter {

    /** Bytes that are discarded behind a last reply; then nothing more is read. */
    private static final int MAX_DISCARDED_BYTES = 1 << 18;

    /** The connection that the bytes are for. */
    interface Owner {
        /** Bytes of a request have arrived. */
        void onBytesArrived();

        /** Whether no further request of this connection is taken. */
        boolean discardsInput();

        /** Whether the last reply has been given. */
        boolean isEnding();

        /** What has arrived has been decoded as far as it may be. */
        void onDecoded();

        /** All that had arrived has been read. */
        void onReadComplete();
    }

    private final Owner owner;
    private final RequestDecoder decoder;
    private int discardedBytes;

    ClientInput(Owner owner, RequestDecoder decoder) {
        this.owner = owner;
        this.decoder = decoder;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (owner.discardsInput()) {
            discard(ctx, bytes);
            return;
        }
        owner.onBytesArrived();
        ByteBuf copy = Unpooled.copiedBuffer(bytes);
        bytes.release();
        ctx.fireChannelRead(copy);
        compact(ctx);
        owner.onDecoded();
    }

    /** Gives up the memory in front of the bytes that are left undecoded. */
    private void compact(ChannelHandlerContext ctx) {
        if (decoder.holdsBytes()) {
            ctx.fireChannelRead(Unpooled.EMPTY_BUFFER);
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
        owner.onReadComplete();
        ctx.fireChannelReadComplete();
    }
}
