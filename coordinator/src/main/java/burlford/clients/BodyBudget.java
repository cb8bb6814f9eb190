package burlford.clients;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Keeps the bodies that are still coming in within a share of the heap. Each piece is copied, since it may be a small
 * part of the buffer that it was read into. What would go past the share ends as a request to be refused.
 */
final class BodyBudget extends ChannelInboundHandlerAdapter {

    /** What a piece takes besides its bytes: a body may come a byte at a time. */
    private static final int OVERHEAD = 256;

    /** The fault of a request whose body there was no room for. */
    static final class BodyBudgetExceededException extends Exception {
        private static final long serialVersionUID = 1L;
    }

    private final Connections connections;
    private int held;
    private boolean refused;

    BodyBudget(Connections connections) {
        this.connections = connections;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpRequest) {
            refused = false;
        }
        if (!(message instanceof HttpContent piece) || !piece.content().isReadable()) {
            handOn(ctx, message);
        } else if (refused || !hold(piece.content().readableBytes() + OVERHEAD)) {
            piece.release();
            if (!refused) {
                refused = true;
                DefaultLastHttpContent end = new DefaultLastHttpContent();
                end.setDecoderResult(DecoderResult.failure(new BodyBudgetExceededException()));
                handOn(ctx, end);
            }
        } else {
            HttpContent copy = piece.replace(Unpooled.copiedBuffer(piece.content()));
            piece.release();
            handOn(ctx, copy);
        }
    }

    /** From its last piece on a body is the whole request's to hold. */
    private void handOn(ChannelHandlerContext ctx, Object message) {
        if (message instanceof LastHttpContent) {
            giveBack();
        }
        ctx.fireChannelRead(message);
    }

    private boolean hold(int bytes) {
        if (!connections.tryReserve(bytes)) {
            return false;
        }
        held += bytes;
        return true;
    }

    private void giveBack() {
        connections.release(held);
        held = 0;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        giveBack();
    }
}
