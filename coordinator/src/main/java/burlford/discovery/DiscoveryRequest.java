package burlford.discovery;

import burlford.net.ChannelReads;
import burlford.net.Connector;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * An HTTP request to discovery on a connection of its own; the response is a stream of JSON objects, which may go on.
 */
final class DiscoveryRequest {

    /** Longest list that is accepted; a whole list of 3,200 readers, indented, is about 1 MB. */
    private static final int MAX_OBJECT_BYTES = 4 << 20;
    private static final int HTTP_OK = 200;

    /** Receives the events of a request on its event loop, until the request has ended. */
    interface Listener {

        /** Discovery has accepted the request: the response has begun with status 200. */
        void responseStarted(DiscoveryRequest request);

        /** A piece of a list has arrived; more of it is to come. */
        void listProgressed(DiscoveryRequest request);

        /** White space or the end of a list has arrived: discovery has nothing more to send for now. */
        void heartbeatReceived(DiscoveryRequest request);

        /** A list has arrived, whole or changes. */
        void listReceived(DiscoveryRequest request, JsonNode list);

        /** What has arrived is not a JSON object. */
        void listMalformed(DiscoveryRequest request, String reason);

        /**
         * The connection has ended or could not be opened. Not called for a request that was closed from this side.
         */
        void requestEnded(DiscoveryRequest request, String reason);
    }

    private final InetSocketAddress address;
    private final String uri;
    private final ObjectMapper json;
    private final Listener listener;
    final long openedAt;
    private Channel channel;
    private boolean closed;

    DiscoveryRequest(InetSocketAddress address, String uri, ObjectMapper json, long openedAt, Listener listener) {
        this.address = address;
        this.uri = uri;
        this.json = json;
        this.openedAt = openedAt;
        this.listener = listener;
    }

    void open(Bootstrap bootstrap) {
        channel = Connector.connect(bootstrap, address, this::sendRequest,
                cause -> end("no connection: " + cause.getMessage()), new HttpClientCodec(), new ResponseHandler());
    }

    /** Closes the request's connection; the listener is not called any more. */
    void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }

    /** Reads what has arrived and the event loop has not read yet. */
    void readNow() {
        if (channel != null) {
            ChannelReads.readNow(channel);
        }
    }

    private void sendRequest() {
        DefaultFullHttpRequest get = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        get.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        channel.writeAndFlush(get);
    }

    private void end(String reason) {
        if (!closed) {
            close();
            listener.requestEnded(this, reason);
        }
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        private JsonObjectStream objectStream;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) throws IOException {
            objectStream = new JsonObjectStream(json, MAX_OBJECT_BYTES);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws IOException {
            if (closed) {
                return;
            }
            if (message instanceof HttpResponse response) {
                handleHead(response);
            }
            if (message instanceof HttpContent content && !closed) {
                handleBody(ByteBufUtil.getBytes(content.content()));
            }
            if (message instanceof LastHttpContent) {
                end("the response is complete");
            }
        }

        private void handleHead(HttpResponse response) {
            if (response.status().code() == HTTP_OK) {
                listener.responseStarted(DiscoveryRequest.this);
            } else {
                end("HTTP status " + response.status());
            }
        }

        private void handleBody(byte[] bytes) throws IOException {
            if (bytes.length == 0) {
                return;
            }
            try {
                objectStream.feed(bytes, list -> {
                    if (!closed) {
                        listener.listReceived(DiscoveryRequest.this, list);
                    }
                });
            } catch (JsonProcessingException e) {
                listener.listMalformed(DiscoveryRequest.this, e.getOriginalMessage());
            }
            if (closed) {
                return;
            }
            if (objectStream.inObject()) {
                listener.listProgressed(DiscoveryRequest.this);
            } else {
                listener.heartbeatReceived(DiscoveryRequest.this);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end(objectStream.inObject() ? "connection closed in the middle of a list" : "connection closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            end(String.valueOf(cause.getMessage()));
        }
    }
}
