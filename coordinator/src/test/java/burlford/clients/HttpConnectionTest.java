package burlford.clients;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.core.ClientLimits;
import burlford.core.Counters;
import burlford.core.Timers;
import burlford.policy.ClientPresence;
import burlford.policy.ConnectionRules;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What ends a client's connection, and what must not. */
class HttpConnectionTest {

    private static final String REQUEST = "POST /api/a HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";
    private static final int HALF = REQUEST.length() / 2;
    /** Clients that stop in the middle of a request are owed an error or an end within this. */
    private static final long OWED_TO_BAD_CLIENTS = 3_000_000;
    /** One connection, and one to be refused. */
    private static final int FEW_DESCRIPTORS = 2;
    private static final int MANY_DESCRIPTORS = 1024;
    private static final int REQUEST_MEMORY_BYTES = 1 << 20;

    private final Timers deadlines = new Timers();
    private final Counters counters = new Counters();
    private long now;
    private Exchange open;
    private int served;

    private final HttpConnection.Front front = new HttpConnection.Front() {
        @Override
        public void serve(Exchange e) {
            if (e.uri.equals("/open")) {
                open = e;
                return;
            }
            if (e.uri.equals("/fault")) {
                throw new IllegalStateException("made by the test");
            }
            if (e.uri.equals("/memory")) {
                throw new OutOfMemoryError("made by the test");
            }
            served++;
            e.reply(HttpResponseStatus.OK, "text/plain", "served", Map.of());
        }

        @Override
        public void reject(Exchange e, HttpResponseStatus status, String fault) {
            e.reply(status, "text/plain", fault, Map.of());
        }

        @Override
        public void refuseOverloaded(Exchange e, String why) {
            reject(e, HttpResponseStatus.SERVICE_UNAVAILABLE, why);
        }
    };

    private Connections connections(int descriptors) {
        return new Connections(descriptors, ClientLimits.singleLane(REQUEST_MEMORY_BYTES), counters, deadlines,
                () -> now);
    }

    private EmbeddedChannel client(Connections connections) {
        return new EmbeddedChannel(HttpConnection.createHandlers(front, () -> now, () -> false, connections));
    }

    private static void send(EmbeddedChannel client, String text) {
        client.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private static String reply(EmbeddedChannel client) {
        StringBuilder text = new StringBuilder();
        for (ByteBuf b = client.readOutbound(); b != null; b = client.readOutbound()) {
            text.append(b.toString(StandardCharsets.US_ASCII));
            b.release();
        }
        return text.toString();
    }

    /** Guards against closing a new connection to make room though its first request had begun to come in. */
    @Test
    void roomIsNotMadeOfAConnectionWhoseFirstRequestHasBegun() {
        Connections few = connections(FEW_DESCRIPTORS);
        EmbeddedChannel first = client(few);
        send(first, REQUEST.substring(0, HALF));
        EmbeddedChannel second = client(few);
        send(second, REQUEST);
        assertThat(reply(second)).startsWith("HTTP/1.1 503 ");
        send(first, REQUEST.substring(HALF));
        assertThat(reply(first)).startsWith("HTTP/1.1 200 ");
    }

    /** Guards against resting a connection, for 5 s and without an answer, on which the next request had begun. */
    @Test
    void halfARequestBehindAnotherIsToldThatItTookTooLong() {
        EmbeddedChannel client = client(connections(MANY_DESCRIPTORS));
        send(client, REQUEST + REQUEST.substring(0, HALF));
        assertThat(reply(client)).startsWith("HTTP/1.1 200 ");
        now += OWED_TO_BAD_CLIENTS;
        deadlines.runDue(now);
        assertThat(reply(client)).startsWith("HTTP/1.1 408 ");
    }

    /** Guards against a connection that answered nothing any more, or closed bare, behind a fault of its front. */
    @Test
    void requestIsAnsweredThoughItsFrontFails() {
        EmbeddedChannel client = client(connections(MANY_DESCRIPTORS));
        send(client, REQUEST.replace("/api/a", "/fault"));
        assertThat(reply(client)).startsWith("HTTP/1.1 500 ");
        send(client, REQUEST);
        assertThat(reply(client)).startsWith("HTTP/1.1 200 ");
    }

    /** Guards against the same where there is no memory for the request. */
    @Test
    void requestIsAnsweredThoughThereIsNoMemoryForIt() {
        EmbeddedChannel client = client(connections(MANY_DESCRIPTORS));
        send(client, REQUEST.replace("/api/a", "/memory"));
        assertThat(reply(client)).startsWith("HTTP/1.1 500 ");
        send(client, REQUEST);
        assertThat(reply(client)).startsWith("HTTP/1.1 200 ");
    }

    /** A connection that rests is served again, and ends only when it has rested for long. */
    @Test
    void restingConnectionIsServedAgain() {
        EmbeddedChannel client = client(connections(MANY_DESCRIPTORS));
        for (int i = 0; i < 3; i++) {
            send(client, REQUEST);
            assertThat(reply(client)).startsWith("HTTP/1.1 200 ");
            now += OWED_TO_BAD_CLIENTS;
            deadlines.runDue(now);
        }
        assertThat(client.isOpen()).isTrue();
    }

    /** Guards against heads of very many short fields, each of which takes far more memory than its bytes. */
    @Test
    void headOfTooManyFieldsIsRejected() {
        EmbeddedChannel client = client(connections(MANY_DESCRIPTORS));
        send(client, REQUEST.replace("\r\n\r\n", "\r\n" + "a:\r\n".repeat(ConnectionRules.MAX_HEADER_FIELDS) + "\r\n"));
        assertThat(reply(client)).startsWith("HTTP/1.1 431 ").contains("connection: close");
    }

    /** Guards against heads that wait for their turn or for their rest without being counted. */
    @Test
    void memoryOfHeadsIsReservedUntilTheyAreAnswered() {
        Connections connections = connections(MANY_DESCRIPTORS);
        EmbeddedChannel client = client(connections);
        send(client, "POST /api/a HTTP/1.1\r\n" + "a:\r\n".repeat(ConnectionRules.MAX_HEADER_FIELDS));
        int held = ConnectionRules.MAX_HEADER_FIELDS * ConnectionRules.FIELD_OVERHEAD_BYTES;
        assertThat(connections.tryReserve(REQUEST_MEMORY_BYTES - held)).isFalse();
        client.close();
        assertThat(connections.tryReserve(REQUEST_MEMORY_BYTES)).isTrue();
    }

    /** Guards against an event loop that goes on for ever looking for the end of a channel that does not read. */
    @Test
    @Timeout(10)
    void clientOfAChannelThatDoesNotReadIsUnknown() {
        EmbeddedChannel client = client(connections(MANY_DESCRIPTORS));
        send(client, REQUEST.replace("/api/a", "/open"));
        assertThat(open.clientPresence()).isEqualTo(ClientPresence.CONNECTED);
        now += OWED_TO_BAD_CLIENTS;
        assertThat(open.clientPresence()).isEqualTo(ClientPresence.UNKNOWN);
    }

    /** Guards against the body of a request that is answered by its head alone being read as further requests. */
    @ParameterizedTest
    @ValueSource(strings = {
        "HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 60000000",
        "HTTP/1.1\r\nContent-Length: 60000000",
        "HTTP/1.1\r\nExpect: the best\r\nContent-Length: 40",
        "HTTP/1.1\r\nExpect: the best\r\nTransfer-Encoding: chunked",
        "HTTP/1.1\r\nTransfer-Encoding: gzip",
        "HTTP/1.1\r\nTransfer-Encoding: chunked, gzip",
        "HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity",
        "HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked",
        "HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 5\r\nTransfer-Encoding: chunked",
        "HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked",
        "HTTP/1.2\r\nContent-Length: 5\r\nTransfer-Encoding: chunked",
        "HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: gzip",
        "HTTP/2.0\r\nContent-Length: 5\r\nTransfer-Encoding: chunked"})
    void bodyOfARequestThatItsHeadForbidsIsNotReadAsRequests(String head) {
        EmbeddedChannel client = client(connections(MANY_DESCRIPTORS));
        send(client, "POST /api/a " + head + "\r\n\r\n0\r\n\r\n" + REQUEST + REQUEST);
        if (client.isOpen()) {
            send(client, REQUEST);
        }
        assertThat(reply(client)).startsWith("HTTP/1.1 4").contains("connection: close")
                .containsOnlyOnce("content-length: ");
        assertThat(served).isZero();
    }

    /** Guards against an early answer that overtakes the answer to the request in front of it. */
    @ParameterizedTest
    @ValueSource(strings = {"Expect: 100-continue\r\nContent-Length: 60000000",
        "Expect: the best\r\nContent-Length: 40", "Expect: 100-continue\r\nContent-Length: 40"})
    void earlyAnswerWaitsForTheAnswersInFrontOfIt(String head) {
        EmbeddedChannel client = client(connections(MANY_DESCRIPTORS));
        send(client, REQUEST.replace("/api/a", "/open"));
        send(client, "POST /api/a HTTP/1.1\r\n" + head + "\r\n\r\n");
        assertThat(reply(client)).isEmpty();
        open.reply(HttpResponseStatus.OK, "text/plain", "first", Map.of());
        assertThat(reply(client)).startsWith("HTTP/1.1 200 ").containsPattern("first(?=HTTP/1.1 (100|413|417) )");
    }

    /** Guards against a body that nobody waits for and that takes the memory of other clients' requests. */
    @Test
    void bodyBehindAnEarlyAnswerThatWaitsTakesNoMemory() {
        Connections connections = connections(MANY_DESCRIPTORS);
        EmbeddedChannel client = client(connections);
        send(client, REQUEST.replace("/api/a", "/open"));
        send(client, "POST /api/a HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
        for (int i = 0; i < REQUEST_MEMORY_BYTES / 2 / HttpConnection.MAX_BODY_BYTES; i++) {
            send(client, " ".repeat(HttpConnection.MAX_BODY_BYTES));
        }
        assertThat(connections.tryReserve(REQUEST_MEMORY_BYTES * 9 / 10)).isTrue();
        open.reply(HttpResponseStatus.OK, "text/plain", "first", Map.of());
        assertThat(reply(client)).contains("firstHTTP/1.1 413 ");
    }

    /** A client that sends its body at once is not told to go on. */
    @Test
    void bodyThatIsHereIsNotAskedFor() {
        EmbeddedChannel client = client(connections(MANY_DESCRIPTORS));
        send(client, "POST /api/a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n{}");
        assertThat(reply(client)).startsWith("HTTP/1.1 200 ");
        send(client, "POST /api/a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        assertThat(reply(client)).isEqualTo("HTTP/1.1 100 Continue\r\n\r\n");
        send(client, "{");
        assertThat(reply(client)).isEmpty();
        send(client, "}");
        assertThat(reply(client)).startsWith("HTTP/1.1 200 ");
    }
}
