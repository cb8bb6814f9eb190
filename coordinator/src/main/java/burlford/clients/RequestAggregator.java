package burlford.clients;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Collects whole requests. One that its head or the length of its body makes unacceptable is passed on at once, as a
 * request with a decoder failure, and the rest of its body is discarded.
 *
 * <p>Unlike its base class it writes nothing by itself: replies have to go out in the order of the requests, and a
 * connection whose request was rejected with its body outstanding has to end behind the reply. Otherwise the body
 * would be decoded as further requests.
 */
final class RequestAggregator extends HttpObjectAggregator {

    private final int maxBodyBytes;
    /** Null where the body of the request in progress is to be collected. */
    private UnacceptableRequestException rejection;
    private boolean continueExpected;

    RequestAggregator(int maxBodyBytes) {
        super(maxBodyBytes);
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Whether the client may be waiting for {@code 100 Continue} before it sends the body of its request. */
    boolean isContinueExpected() {
        return continueExpected;
    }

    /** {@code 100 Continue} was sent. */
    void onContinueSent() {
        continueExpected = false;
    }

    @Override
    protected Object newContinueResponse(HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
        rejection = start.decoderResult().isSuccess() ? rejection(start) : null;
        continueExpected = rejection == null && HttpUtil.is100ContinueExpected(start);
        return null;
    }

    private UnacceptableRequestException rejection(HttpMessage head) {
        // Any other expectation is one that nobody here can meet; HTTP/1.0 has none.
        if (head.protocolVersion().isKeepAliveDefault() && head.headers().contains(HttpHeaderNames.EXPECT)
                && !HttpUtil.is100ContinueExpected(head)) {
            return new UnacceptableRequestException(HttpResponseStatus.EXPECTATION_FAILED,
                    "the expectation cannot be met: " + head.headers().get(HttpHeaderNames.EXPECT));
        }
        return HttpUtil.getContentLength(head, 0L) > maxBodyBytes ? tooLong() : null;
    }

    private UnacceptableRequestException tooLong() {
        return new UnacceptableRequestException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                "the body is longer than " + maxBodyBytes + " bytes");
    }

    @Override
    protected boolean isContentLengthInvalid(HttpMessage start, int maxContentLength) {
        return rejection != null;
    }

    @Override
    protected void aggregate(FullHttpMessage aggregated, HttpContent content) throws Exception {
        if (content.content().isReadable()) {
            continueExpected = false;
        }
        super.aggregate(aggregated, content);
    }

    @Override
    protected void finishAggregation(FullHttpMessage aggregated) throws Exception {
        continueExpected = false;
        super.finishAggregation(aggregated);
    }

    /** Called where the length is declared too long, the head is unacceptable, or more has come than is allowed. */
    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
        continueExpected = false;
        HttpRequest head = (HttpRequest) oversized;
        FullHttpRequest rejected = new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(),
                Unpooled.EMPTY_BUFFER, head.headers(), head.headers());
        rejected.setDecoderResult(DecoderResult.failure(rejection != null ? rejection : tooLong()));
        ctx.fireChannelRead(rejected);
    }
}
