package burlford.clients;

import burlford.core.RuleViolations;
import burlford.core.Timers;
import burlford.net.BacklogAge;
import burlford.net.ChannelReads;
import burlford.policy.ClientPresence;
import burlford.policy.ConnectionRules;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One client's HTTP connection, for either front: requests are answered in the order they came, one at a
 * time. It ends when the client or a shutdown ends it, when no request comes in time, or when room is made
 * for others; never on a request that was taken.
 */
public final class HttpConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final Logger LOG = Logger.getLogger(HttpConnection.class.getName());
    public static final int MAX_BODY_BYTES = 64 * 1024;
    /** From connecting, or from a later request's first byte, to its last: guards against slow and silent clients. */
    private static final long REQUEST_TIMEOUT_US = 2_000_000;
    /** A connection without a request is closed after so long: some clients ask once and never close. */
    private static final long IDLE_TIMEOUT_US = 5_000_000;
    /** So long what still comes in behind a last reply is read and thrown away. */
    private static final long LINGER_TIMEOUT_US = 1_000_000;
    /**
     * What was read this long ago still tells whether the client is there; an attempt may begin 0.1 s after its end.
     */
    private static final long READ_AGAIN_US = 20_000;
    /** A request read this soon after its connection was accepted may have waited in the listener's backlog with it. */
    private static final long SOON_AFTER_ACCEPT_US = 10_000;
    private static final long NO_BACKLOG = Long.MAX_VALUE;

    /** A front: takes each request and replies to it, now or later. */
    public interface Front {
        void serve(Exchange exchange);

        /** Replies to what is not a usable request. */
        void reject(Exchange exchange, HttpResponseStatus status, String fault);

        /** Refuses a request, as the front's clients know a refusal, for want of room. */
        void refuseOverloaded(Exchange exchange, String why);
    }

    private final Front front;
    private final LongSupplier clock;
    /** The program goes: a connection ends behind its reply. */
    private final BooleanSupplier leaving;
    private final Connections connections;
    private final ArrayDeque<Exchange> waiting = new ArrayDeque<>();
    private ChannelHandlerContext ctx;
    private boolean serving;
    private boolean ending;
    private boolean overLimit;
    /** No further request of this connection is taken. What still comes is thrown away, to see its client leave. */
    private boolean inputClosed;
    /** Some bytes of a request have come, and not yet its last. */
    private boolean requestBegun;
    /** Nothing has come since the last byte of the last request. */
    private boolean allInputDecoded = true;
    private final ChannelFutureListener closeListener = f -> onClosed();
    private final RequestDecoder decoder = new RequestDecoder();
    private final RequestAggregator aggregator = new RequestAggregator(MAX_BODY_BYTES);
    private final ClientInput input;
    private final ReplyWriter replies;
    /** Reserved for the request that is coming in, but for its body. */
    private int reservedInputBytes;
    private long requests;
    private long acceptedAt;
    /** Since when it may have waited in the listener's backlog. */
    private long waitingSince = NO_BACKLOG;
    private Timers.Timer timer;

    private HttpConnection(Front front, LongSupplier clock, BooleanSupplier leaving, Connections connections) {
        this.front = front;
        this.clock = clock;
        this.leaving = leaving;
        this.connections = connections;
        this.replies = new ReplyWriter(this, connections);
        this.input = new ClientInput(new InputOwner(), decoder, connections.timers(), connections::now);
    }

    /** What turns the bytes of a connection into requests, and the connection itself. */
    public static ChannelHandler[] createHandlers(Front front, LongSupplier clock, BooleanSupplier leaving,
            Connections connections) {
        HttpConnection c = new HttpConnection(front, clock, leaving, connections);
        return new ChannelHandler[] {c.input, new HttpResponseEncoder(), c.decoder,
            new BodyBudget(connections), c.aggregator, c};
    }

    /** What the bytes that come in have to know of the connection, and the other way round. */
    private final class InputOwner implements ClientInput.Owner {
        @Override
        public void onBytesArrived() {
            allInputDecoded = false;
            onRequestBegun();
        }

        @Override
        public boolean discardsInput() {
            return ending || inputClosed;
        }

        @Override
        public boolean isEnding() {
            return ending;
        }

        @Override
        public boolean mayDecode(int decoded) {
            return ConnectionRules.mayDecode(decoded, connections.decodedInIteration(), ctx.channel().isWritable());
        }

        @Override
        public boolean awaitsWritability() {
            if (ctx.channel().isWritable()) {
                return false;
            }
            if (waiting.isEmpty()) {
                awaitClientReading();
            }
            return true;
        }

        @Override
        public void onDecoded() {
            accountForInput();
            sendContinueIfDue();
        }

        @Override
        public void onFlood() {
            flood();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext c) {
        ctx = c;
        replies.open(c);
        acceptedAt = connections.now();
        Long backlog = c.channel().attr(BacklogAge.WAITING_SINCE).getAndSet(null);
        waitingSince = backlog == null ? NO_BACKLOG : backlog;
        c.channel().config().setRecvByteBufAllocator(ChannelReads.READ_UNTIL_EMPTY_ALLOCATOR);
        c.channel().closeFuture().addListener(closeListener);
        connections.opened(this);
        overLimit = connections.isOverLimit();
        if (connections.isFull()) {
            close(CloseReason.FULL);
        } else {
            startTimer(REQUEST_TIMEOUT_US, this::rejectSlowRequest);
        }
    }

    /** Whether the client is there, by what had arrived a moment ago; reads on where the last look is older. */
    ClientPresence clientPresence() {
        boolean isRecent = connections.now() - input.emptiedAt() <= READ_AGAIN_US;
        boolean isKnown = isRecent || input.readToEnd();
        if (!ctx.channel().isActive()) {
            return ClientPresence.LEFT;
        }
        return isKnown ? ClientPresence.CONNECTED : ClientPresence.UNKNOWN;
    }

    /** Since when what is read now may have waited for that. */
    private long arrivalTime() {
        long unreadSince = clock.getAsLong();
        boolean first = unreadSince - acceptedAt <= SOON_AFTER_ACCEPT_US;
        return first ? Math.min(unreadSince, waitingSince) : unreadSince;
    }

    /** Between requests or before the first, also by what has come and was not read. */
    boolean isStillAwaitingRequest() {
        ChannelReads.readNow(ctx.channel());
        return connections.isAwaitingRequest(this) && ctx.channel().isActive();
    }

    private void onClosed() {
        connections.release(reservedInputBytes);
        reservedInputBytes = 0;
        connections.closed(this);
        connections.timers().cancel(timer);
    }

    private void startTimer(long wait, Runnable action) {
        connections.timers().cancel(timer);
        timer = connections.timers().schedule(connections.now() + wait, action);
    }

    void close(CloseReason reason) {
        if (!waiting.isEmpty() && reason != CloseReason.UNREAD) {
            connections.recordViolation(RuleViolations.Rule.CLOSED_UNANSWERED, ctx.channel().remoteAddress());
        }
        connections.recordClose(reason, ctx.channel().remoteAddress());
        ctx.close();
    }

    /** Between requests, with no byte of the next one read nor of a reply unwritten: all there is is its socket. */
    boolean isMovable() {
        return allInputDecoded && waiting.isEmpty() && !requestBegun && !ending && !overLimit
                && !replies.hasUnwritten();
    }

    /**
     * Leaves this event loop for another, where the taker gives it new handlers; false where it is not between
     * requests. Not to be called from within a read of it.
     */
    public boolean detach(Consumer<Channel> taker) {
        Channel channel = ctx.channel();
        if (!isMovable() || !channel.isActive()) {
            return false;
        }
        channel.closeFuture().removeListener(closeListener);
        onClosed();
        // What comes from here on stays in the socket until the other loop reads it.
        channel.config().setAutoRead(false);
        while (channel.pipeline().first() != null) {
            channel.pipeline().removeFirst();
        }
        channel.deregister().addListener(f -> {
            if (f.isSuccess()) {
                taker.accept(channel);
            } else {
                channel.close();
            }
        });
        return true;
    }

    private void onRequestBegun() {
        if (waiting.isEmpty() && !requestBegun) {
            requestBegun = true;
            connections.startHolding(this);
            boolean rested = connections.isIdle(this);
            connections.markBusy(this); // not closed for another over a request that has begun
            if (rested) {
                startTimer(REQUEST_TIMEOUT_US, this::rejectSlowRequest);
            }
        }
    }

    /** Guards against heads and bodies that come slowly or never end. */
    private void rejectSlowRequest() {
        long requestsBefore = requests;
        ChannelReads.readNow(ctx.channel());
        if (requests > requestsBefore || !ctx.channel().isActive()) {
            return; // it had come
        }
        if (!requestBegun) {
            close(CloseReason.NO_REQUEST);
            return;
        }
        Exchange e = new Exchange(this, HttpMethod.POST, "", EmptyHttpHeaders.INSTANCE, new byte[0],
                connections.now(), new TimeoutException(), false);
        waiting.add(e);
        front.reject(e, HttpResponseStatus.REQUEST_TIMEOUT, "the request took longer than " + REQUEST_TIMEOUT_US / 1000
                + " ms to come in");
    }

    @Override
    protected void channelRead0(ChannelHandlerContext c, FullHttpRequest r) {
        if (ending || inputClosed) {
            return;
        }
        requests++;
        input.onRequestDecoded();
        connections.onRequestDecoded();
        requestBegun = false;
        if (!replies.hasUnwritten()) {
            connections.stopHolding(this);
        }
        allInputDecoded = decoder.undecodedBytes() == 0;
        connections.timers().cancel(timer);
        connections.markBusy(this);
        Throwable fault = r.decoderResult().isFailure() ? r.decoderResult().cause() : null;
        if (fault == null && r.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            // Chunks have been put together by now; any other coding may hide a request in the body.
            fault = new IllegalArgumentException("a Transfer-Encoding other than chunked");
        }
        int size = r.content().readableBytes() + decoder.releaseHead();
        boolean hasRoom = connections.tryReserve(this, size);
        if (fault == null && !hasRoom) {
            fault = new BodyBudget.BodyBudgetExceededException();
        }
        Exchange e = new Exchange(this, r.method(), r.uri(), hasRoom ? r.headers() : EmptyHttpHeaders.INSTANCE,
                fault != null ? new byte[0] : ByteBufUtil.getBytes(r.content()), arrivalTime(), fault,
                fault == null && HttpUtil.isKeepAlive(r));
        e.reservedBytes = hasRoom ? size : 0;
        e.overQueueLimit = ConnectionRules.exceedsQueue(waiting.size());
        waiting.add(e);
        if (fault != null) {
            inputClosed = true; // what follows is the rest of this request, or cannot be told from it
        }
        if (ConnectionRules.isFlood(waiting.size())) {
            flood();
        }
        serveNext();
    }

    /** Far more than may wait has come: all that waits is refused in its turn, and no more is taken. */
    private void flood() {
        inputClosed = true;
        waiting.stream().skip(1).forEach(w -> w.overQueueLimit = true);
    }

    /** Reserves the memory that the request in progress takes; where there is none left, refuses the request. */
    private void accountForInput() {
        int held = ending || inputClosed ? 0 : decoder.heldBytes() + input.keptBytes();
        int more = held - reservedInputBytes;
        if (more > 0 && !connections.tryReserve(this, more)) {
            refuseForMemory();
            return;
        }
        if (more < 0) {
            connections.release(-more);
        }
        reservedInputBytes = held;
    }

    /** The request in progress is refused in its turn, and nothing more is read of this connection. */
    private void refuseForMemory() {
        connections.release(reservedInputBytes);
        reservedInputBytes = 0;
        connections.timers().cancel(timer);
        inputClosed = true;
        waiting.add(new Exchange(this, HttpMethod.POST, "", EmptyHttpHeaders.INSTANCE, new byte[0], connections.now(),
                new BodyBudget.BodyBudgetExceededException(), false));
        serveNext();
    }

    /** The client may wait for it with the body of the request that comes next, once all before it is answered. */
    private void sendContinueIfDue() {
        if (aggregator.isContinueExpected() && waiting.isEmpty() && !ending && !inputClosed) {
            aggregator.onContinueSent();
            replies.writeContinue();
        }
    }

    private void serveNext() {
        // A loop, not a recursion: replies given at once come back here through reply().
        if (serving) {
            return;
        }
        serving = true;
        try {
            serveWaiting();
        } finally {
            serving = false;
        }
        if (!waiting.isEmpty() && !waiting.peek().inProgress && !ending) {
            awaitClientReading();
        }
    }

    private void serveWaiting() {
        // Nor is anything served while the client does not read the replies that it has already.
        while (!waiting.isEmpty() && !ending && ctx.channel().isWritable()) {
            Exchange e = waiting.peek();
            if (e.inProgress) {
                break;
            }
            e.inProgress = true;
            if (overLimit || e.fault instanceof BodyBudget.BodyBudgetExceededException) {
                front.refuseOverloaded(e, "too many connections");
            } else if (e.overQueueLimit) {
                front.refuseOverloaded(e, "too many requests on one connection");
            } else if (e.fault != null) {
                rejectFaulty(e);
            } else {
                serve(e);
            }
            if (!e.isReplied()) {
                break;
            }
        }
    }

    private void rejectFaulty(Exchange e) {
        if (e.fault instanceof UnacceptableRequestException unacceptable) {
            front.reject(e, unacceptable.status(), unacceptable.getMessage());
        } else if (e.fault instanceof TooLongFrameException) {
            front.reject(e, HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, e.fault.getMessage());
        } else {
            front.reject(e, HttpResponseStatus.BAD_REQUEST, "malformed HTTP: " + e.fault.getMessage());
        }
    }

    /** A request that was read has to be answered, whatever goes wrong in the front. */
    private void serve(Exchange e) {
        try {
            front.serve(e);
        } catch (RuntimeException | VirtualMachineError fault) {
            LOG.log(Level.SEVERE, "a request failed", fault);
            front.reject(e, HttpResponseStatus.INTERNAL_SERVER_ERROR, "internal error");
        }
    }

    void reply(Exchange e, HttpResponseStatus status, String contentType, byte[] body, Map<String, String> extra) {
        waiting.remove(e);
        release(e);
        // Clients that ask once and keep their connection came so fast that all room was taken by them.
        boolean last = inputClosed && waiting.isEmpty();
        boolean close = !e.keepAlive || overLimit || last || connections.isNearLimit() || leaving.getAsBoolean();
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                e.method.equals(HttpMethod.HEAD) ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        extra.forEach(response.headers()::set);
        if (close) {
            connections.recordClose(closeReason(e), ctx.channel().remoteAddress());
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            ending = true;
        }
        ChannelFuture written = replies.write(response, body.length, this::onAllWritten);
        if (close) {
            if ((e.fault != null || inputClosed) && ctx.channel() instanceof DuplexChannel duplex) {
                written.addListener(f -> lingerAndClose(duplex));
            } else {
                written.addListener(ChannelFutureListener.CLOSE);
            }
            return;
        }
        if (waiting.isEmpty()) {
            awaitNextRequest();
        }
        serveNext();
    }

    private void onAllWritten() {
        if (!requestBegun) {
            connections.stopHolding(this);
        }
    }

    /** Another connection needs the memory that this one holds for what its client has not done for long. */
    void giveUpMemory() {
        connections.countMemoryGivenUp();
        if (replies.hasUnwritten()) {
            close(CloseReason.UNREAD);
        } else {
            refuseForMemory();
            input.dropUndecoded();
        }
    }

    /** Further requests wait until the client takes its replies, but not for ever. */
    private void awaitClientReading() {
        startTimer(ConnectionRules.MAX_UNREAD_REPLY_US, () -> close(CloseReason.UNREAD));
    }

    /** All that came is answered; but the next request may have begun behind it. */
    private void awaitNextRequest() {
        if (allInputDecoded) {
            connections.markIdle(this);
            startTimer(IDLE_TIMEOUT_US, () -> {
                if (isStillAwaitingRequest()) {
                    close(CloseReason.IDLE);
                }
            });
        } else {
            requestBegun = true;
            connections.startHolding(this);
            startTimer(REQUEST_TIMEOUT_US, this::rejectSlowRequest);
            sendContinueIfDue();
        }
    }

    private CloseReason closeReason(Exchange e) {
        if (e.fault != null) {
            return CloseReason.BAD_REQUEST;
        }
        if (!e.keepAlive) {
            return CloseReason.ASKED;
        }
        if (inputClosed) {
            return CloseReason.FLOODED;
        }
        return leaving.getAsBoolean() ? CloseReason.SHUTDOWN : CloseReason.SCARCE;
    }

    /** Closed over input that nobody read, the connection would be reset, and the reply lost on its way. */
    private void lingerAndClose(DuplexChannel channel) {
        waiting.forEach(this::release);
        waiting.clear();
        if (channel.isOpen()) {
            channel.shutdownOutput();
            channel.config().setAutoRead(true);
            connections.markClosing(this);
            startTimer(LINGER_TIMEOUT_US, () -> close(CloseReason.LINGERED));
        }
    }

    private void release(Exchange e) {
        connections.release(e.reservedBytes);
        e.reservedBytes = 0;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext c) {
        if (!c.channel().isWritable() || ending) {
            return;
        }
        connections.timers().cancel(timer);
        if (waiting.isEmpty()) {
            awaitNextRequest();
        }
        serveNext();
        input.resume();
    }

    @Override
    public void channelInactive(ChannelHandlerContext c) {
        ending = true;
        waiting.forEach(this::release);
        waiting.forEach(Exchange::clientDisconnected);
        waiting.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext c, Throwable cause) {
        // A client that goes, also in the middle of a request, is nothing to tell of.
        if (!(cause instanceof IOException || cause instanceof PrematureChannelClosureException)) {
            LOG.log(Level.WARNING, "client connection closed", cause);
            close(CloseReason.FAULT);
            return;
        }
        c.close();
    }
}
