package burlford.clients;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.core.ClientLimits;
import burlford.core.Counters;
import burlford.core.Timers;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Many bodies sent all but for their last bytes: those there is no room for are refused, the rest go on. */
class BodyBudgetTest {

    private static final int LENGTH = 65_000;
    private final Connections connections = new Connections(4096, ClientLimits.singleLane(8 << 20), new Counters(),
            new Timers(), () -> 0);

    private final HttpConnection.Front front = new HttpConnection.Front() {
        @Override
        public void serve(Exchange e) {
            e.reply(HttpResponseStatus.OK, "text/plain", "served " + e.body.length, Map.of());
        }

        @Override
        public void reject(Exchange e, HttpResponseStatus status, String fault) {
            e.reply(status, "text/plain", fault, Map.of());
        }

        @Override
        public void refuseOverloaded(Exchange e, String why) {
            reject(e, HttpResponseStatus.SERVICE_UNAVAILABLE, "refused");
        }
    };

    private EmbeddedChannel client(int bytes) {
        EmbeddedChannel c = new EmbeddedChannel(HttpConnection.createHandlers(front, () -> 0, () -> false,
                connections));
        c.writeInbound(Unpooled.copiedBuffer("POST /api/a HTTP/1.1\r\nContent-Length: " + LENGTH + "\r\n\r\n"
                + "x".repeat(bytes), StandardCharsets.US_ASCII));
        return c;
    }

    private static String reply(EmbeddedChannel c) {
        StringBuilder text = new StringBuilder();
        for (ByteBuf b = c.readOutbound(); b != null; b = c.readOutbound()) {
            text.append(b.toString(StandardCharsets.US_ASCII));
            b.release();
        }
        return text.toString();
    }

    @Test
    void refusesWhatThereIsNoRoomFor() {
        List<EmbeddedChannel> waiting = new ArrayList<>();
        String refusal = "";
        while (refusal.isEmpty() && waiting.size() < 1000) {
            EmbeddedChannel c = client(LENGTH - 1);
            refusal = reply(c);
            waiting.add(c);
        }
        assertThat(refusal).startsWith("HTTP/1.1 503 ").contains("connection: close").endsWith("refused");
        assertThat(waiting.remove(waiting.size() - 1).isOpen()).isFalse();
        // One that goes makes room for another, and one that is served does; more than once over.
        for (EmbeddedChannel c : waiting) {
            c.close();
            EmbeddedChannel next = client(LENGTH);
            assertThat(reply(next)).endsWith("served " + LENGTH);
            next.close();
        }
        assertThat(connections.tryReserve(8 << 20)).isTrue();
    }
}
