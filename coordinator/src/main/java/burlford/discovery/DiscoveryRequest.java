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

/** One request to discovery on a connection of its own, and its answer: JSON objects for as long as it goes on. */
final class DiscoveryRequest {

    /** A whole list of 3,200 readers, indented, is about 1 MB. */
    private static final int LONGEST_OBJECT_BYTES = 4 << 20;
    private static final int OK = 200;

    /** Hears of the call on its event loop, until it has ended. */
    interface Listener {

        /** The answer has begun: discovery took the request. */
        void responseStarted(DiscoveryRequest call);

        /** A part of a list came; the rest is still to come. */
        void listProgressed(DiscoveryRequest call);

        /** White space came, or the end of a list: discovery has nothing more to say for now. */
        void heartbeatReceived(DiscoveryRequest call);

        void listReceived(DiscoveryRequest call, JsonNode list);

        /** What came is no JSON. */
        void listMalformed(DiscoveryRequest call, String why);

        /** The connection is over, or never came up. Not told of a call that was closed from this side. */
        void ended(DiscoveryRequest call, String why);
    }

    private final InetSocketAddress address;
    private final String uri;
    private final ObjectMapper json;
    private final Listener listener;
    final long openedAt;
    private Channel channel;
    private boolean over;

    DiscoveryRequest(InetSocketAddress address, String uri, ObjectMapper json, long openedAt, Listener listener) {
        this.address = address;
        this.uri = uri;
        this.json = json;
        this.openedAt = openedAt;
        this.listener = listener;
    }

    void open(Bootstrap bootstrap) {
        channel = Connector.connect(bootstrap, address, this::request,
                cause -> end("no connection: " + cause.getMessage()), new HttpClientCodec(), new ResponseHandler());
    }

    /** Ends it; nothing more of it is told. */
    void close() {
        over = true;
        if (channel != null) {
            channel.close();
        }
    }

    /** Reads what has come and the event loop has not got to. */
    void readNow() {
        if (channel != null) {
            ChannelReads.readNow(channel);
        }
    }

    private void request() {
        DefaultFullHttpRequest get = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        get.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        channel.writeAndFlush(get);
    }

    private void end(String why) {
        if (!over) {
            close();
            listener.ended(this, why);
        }
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        private JsonObjectStream objects;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) throws IOException {
            objects = new JsonObjectStream(json, LONGEST_OBJECT_BYTES);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject in) throws IOException {
            if (over) {
                return;
            }
            if (in instanceof HttpResponse response) {
                begin(response);
            }
            if (in instanceof HttpContent content && !over) {
                read(ByteBufUtil.getBytes(content.content()));
            }
            if (in instanceof LastHttpContent) {
                end("the answer is over");
            }
        }

        private void begin(HttpResponse response) {
            if (response.status().code() == OK) {
                listener.responseStarted(DiscoveryRequest.this);
            } else {
                end("status " + response.status());
            }
        }

        private void read(byte[] bytes) throws IOException {
            if (bytes.length == 0) {
                return;
            }
            try {
                objects.feed(bytes, list -> {
                    if (!over) {
                        listener.listReceived(DiscoveryRequest.this, list);
                    }
                });
            } catch (JsonProcessingException e) {
                listener.listMalformed(DiscoveryRequest.this, e.getOriginalMessage());
            }
            if (over) {
                return;
            }
            if (objects.inObject()) {
                listener.listProgressed(DiscoveryRequest.this);
            } else {
                listener.heartbeatReceived(DiscoveryRequest.this);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end(objects.inObject() ? "ended in the middle of a list" : "ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            end(String.valueOf(cause.getMessage()));
        }
    }
}
