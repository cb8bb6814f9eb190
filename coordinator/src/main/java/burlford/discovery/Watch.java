package burlford.discovery;

import burlford.core.Deadlines;
import burlford.core.Roster;
import burlford.policy.Aggregator.ListKind;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
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
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Follows discovery: a watch from the last revision held, opened again whenever it ends. Where no list is
 * held, and after a line that could not be used, the whole list is fetched first.
 */
public final class Watch {

    private static final Logger LOG = Logger.getLogger(Watch.class.getName());
    /** A whole list of 3,200 readers, indented, is about 1 MB. */
    private static final int LONGEST_OBJECT_BYTES = 4 << 20;
    private static final long FIRST_WAIT = 50_000;
    private static final long LONGEST_WAIT = 1_000_000;
    /** An empty line comes every 2 s; after three missed the connection is given up. */
    private static final long SILENCE = 7_000_000;
    private static final String PATH = "/v1/servers";

    private final Bootstrap bootstrap;
    private InetSocketAddress address;
    private final Roster roster;
    private final Deadlines deadlines;
    private final ObjectMapper json = new ObjectMapper();
    private long revision = -1;
    private boolean fetch;
    private long wait = FIRST_WAIT;
    private Channel channel;
    private Deadlines.Deadline silence;
    private Deadlines.Deadline opening;
    private boolean stopped;

    public Watch(Bootstrap bootstrap, InetSocketAddress address, Roster roster, Deadlines deadlines) {
        this.bootstrap = bootstrap;
        this.address = address;
        this.roster = roster;
        this.deadlines = deadlines;
    }

    /** known: the list as last held; null when there is none. */
    public void start(ListReader.Listing known) {
        if (known != null) {
            revision = known.revision();
            roster.listed(ListKind.CACHED, known.entries());
        }
        fetch = known == null;
        open();
    }

    /** Discovery has moved. Revisions of another address may mean nothing: its whole list is fetched first. */
    public void follow(InetSocketAddress to) {
        if (!to.equals(address)) {
            LOG.log(Level.INFO, "discovery: now at {0}", to);
            address = to;
            fetch = true;
            wait = FIRST_WAIT;
            leave();
            open();
        }
    }

    public void stop() {
        stopped = true;
        leave();
    }

    private void leave() {
        deadlines.cancel(silence);
        deadlines.cancel(opening);
        Channel left = channel;
        channel = null;
        left.close();
    }

    private void open() {
        boolean whole = fetch;
        String uri = whole ? PATH : PATH + "?watch=1&from=" + revision;
        ChannelFuture connecting = bootstrap.clone().handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel c) {
                c.pipeline().addLast(new HttpClientCodec(), new Body());
            }
        }).connect(address);
        channel = connecting.channel();
        Channel opened = channel;
        connecting.addListener(f -> {
            if (f.isSuccess()) {
                DefaultFullHttpRequest get = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
                get.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
                opened.writeAndFlush(get);
                LOG.log(Level.FINE, "discovery: asked {0} {1}", new Object[] {address, uri});
                roster.counters().add("discovery.connections");
            } else {
                LOG.log(Level.WARNING, "discovery: {0}", String.valueOf(f.cause().getMessage()));
            }
        });
        opened.closeFuture().addListener(f -> {
            if (opened == channel) {
                LOG.log(Level.INFO, "discovery: connection to {0} ended at revision {1}; opened again in {2} ms",
                        new Object[] {address, Long.toString(revision), wait / 1000});
                again();
            }
        });
        heard();
    }

    private void again() {
        deadlines.cancel(silence);
        if (!stopped) {
            opening = deadlines.at(roster.now() + wait, this::open);
            wait = Math.min(LONGEST_WAIT, wait * 2);
        }
    }

    private void heard() {
        deadlines.cancel(silence);
        Channel c = channel;
        silence = deadlines.at(roster.now() + SILENCE, c::close);
    }

    private void take(JsonNode list) {
        roster.counters().add("discovery.lists");
        try {
            ListReader.Listing l = ListReader.read(list, roster.site().cells());
            if (l.complete() || fetch || l.revision() != revision) {
                LOG.log(Level.INFO, "discovery: revision {0}, {1}, {2} readers named", new Object[] {
                    Long.toString(l.revision()), l.complete() ? "whole" : "changes", l.entries().size()});
            }
            revision = l.revision();
            wait = FIRST_WAIT;
            fetch &= !l.complete();
            roster.listed(l.complete() ? ListKind.WHOLE : ListKind.CHANGES, l.entries());
        } catch (ListReader.BadList e) {
            unusable(e.getMessage());
        }
    }

    /** The last list stays. What could not be read is lost, so the whole list is fetched over again. */
    private void unusable(String why) {
        roster.counters().add("discovery.lists.bad");
        LOG.log(Level.WARNING, "discovery: bad list: {0}", why);
        fetch = true;
        channel.close();
    }

    /** The body of an answer, whatever chunks it comes in: JSON objects, and white space as a sign of life. */
    private final class Body extends SimpleChannelInboundHandler<HttpObject> {
        private JsonObjectStream objects;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) throws IOException {
            objects = new JsonObjectStream(json, LONGEST_OBJECT_BYTES);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject in) throws IOException {
            if (in instanceof HttpResponse r && r.status().code() != 200) {
                LOG.log(Level.WARNING, "discovery answers {0}", r.status());
                ctx.close();
            } else if (in instanceof HttpContent c && isPresent(ctx)) {
                read(ctx, ByteBufUtil.getBytes(c.content()));
                if (in instanceof LastHttpContent) {
                    ctx.close();
                }
            }
        }

        private boolean isPresent(ChannelHandlerContext ctx) {
            return ctx.channel() == channel && ctx.channel().isOpen();
        }

        private void read(ChannelHandlerContext ctx, byte[] bytes) throws IOException {
            try {
                objects.feed(bytes, list -> {
                    if (isPresent(ctx)) {
                        take(list);
                    }
                });
                if (bytes.length > 0 && !objects.inObject() && isPresent(ctx)) {
                    heard();
                }
            } catch (JsonProcessingException e) {
                unusable(e.getOriginalMessage());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (objects.inObject()) {
                LOG.log(Level.WARNING, "discovery: an answer ended in the middle of a list");
            }
            ctx.fireChannelInactive();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.log(Level.WARNING, "discovery: {0}", String.valueOf(cause.getMessage()));
            ctx.close();
        }
    }
}
