package burlford.discovery;

import burlford.core.Deadlines;
import burlford.core.Roster;
import burlford.policy.Aggregator.ListKind;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Follows discovery: a watch from the last revision held, opened again whenever it ends. Where no list is
 * held, and after a line that could not be used, the whole list is fetched first.
 */
public final class Watch {

    private static final Logger LOG = Logger.getLogger(Watch.class.getName());
    private static final int LONGEST_LINE = 1 << 20;
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
                c.pipeline().addLast(new HttpClientCodec(), new Body(), new LineBasedFrameDecoder(LONGEST_LINE),
                        new Lines());
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

    private void line(String line) {
        heard();
        if (line.isBlank()) {
            return;
        }
        roster.counters().add("discovery.lines");
        try {
            ListReader.Listing l = ListReader.read(json.readTree(line), roster.site().cells());
            if (l.complete() || fetch || l.revision() != revision) {
                LOG.log(Level.INFO, "discovery: revision {0}, {1}, {2} readers named", new Object[] {
                    Long.toString(l.revision()), l.complete() ? "whole" : "changes", l.entries().size()});
            }
            revision = l.revision();
            wait = FIRST_WAIT;
            fetch &= !l.complete();
            roster.listed(l.complete() ? ListKind.WHOLE : ListKind.CHANGES, l.entries());
        } catch (ListReader.BadList | JsonProcessingException e) {
            // The last list stays. What the line said is lost, so the whole list is fetched over again.
            roster.counters().add("discovery.lines.bad");
            String why = e instanceof JsonProcessingException j ? j.getOriginalMessage() : e.getMessage();
            LOG.log(Level.WARNING, "discovery: bad line of {0} characters: {1}", new Object[] {line.length(), why});
            fetch = true;
            channel.close();
        }
    }

    /** The body's bytes, whatever chunks they come in; a body's end ends its last line and the connection. */
    private final class Body extends MessageToMessageDecoder<HttpObject> {
        @Override
        protected void decode(ChannelHandlerContext ctx, HttpObject in, List<Object> out) {
            if (in instanceof HttpResponse r && r.status().code() != 200) {
                LOG.log(Level.WARNING, "discovery answers {0}", r.status());
                ctx.close();
            } else if (in instanceof HttpContent c) {
                out.add(c.content().retain());
                if (in instanceof LastHttpContent) {
                    out.add(ctx.alloc().buffer(1).writeByte('\n'));
                    ctx.channel().eventLoop().execute(ctx::close);
                }
            }
        }
    }

    private final class Lines extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
            if (ctx.channel() == channel && ctx.channel().isOpen()) {
                line(in.toString(StandardCharsets.UTF_8));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.log(Level.WARNING, "discovery: {0}", String.valueOf(cause.getMessage()));
            ctx.close();
        }
    }
}
