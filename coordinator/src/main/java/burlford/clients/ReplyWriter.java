package burlford.clients;

import burlford.core.RuleViolations;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** Writes a connection's replies, and reserves memory for what the client does not take of them at once. */
final class ReplyWriter {

    private final HttpConnection connection;
    private final Connections connections;
    private ChannelHandlerContext context;
    /** Replies on their way into the socket. */
    private int unwritten;

    ReplyWriter(HttpConnection connection, Connections connections) {
        this.connection = connection;
        this.connections = connections;
    }

    void open(ChannelHandlerContext channelContext) {
        context = channelContext;
    }

    /** Whether the client has not taken all replies yet. */
    boolean hasUnwritten() {
        return unwritten > 0;
    }

    /** Tells the client to send the body that it holds back. */
    void writeContinue() {
        context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
                Unpooled.EMPTY_BUFFER));
    }

    /** Writes a reply with a body of so many bytes. onAllWritten: run once no reply is on its way any more. */
    ChannelFuture write(FullHttpResponse response, int bytes, Runnable onAllWritten) {
        connections.onReplyStarted();
        unwritten++;
        ChannelFuture written = context.writeAndFlush(response);
        int reserved = 0;
        if (!written.isDone()) {
            connections.startHolding(connection);
            reserved = reserve(bytes);
        }
        int held = reserved;
        written.addListener(f -> {
            unwritten--;
            connections.onReplyWritten();
            connections.release(held);
            if (unwritten == 0) {
                onAllWritten.run();
            }
        });
        return written;
    }

    private int reserve(int bytes) {
        if (connections.tryReserve(connection, bytes)) {
            return bytes;
        }
        connections.recordViolation(RuleViolations.Rule.MEMORY_OVERDRAWN, context.channel().remoteAddress());
        return 0;
    }
}
