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
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

/**
 * Guards against requests that are found where none stands: sound and unsound requests one behind the other, cut
 * anywhere. The sound ones in front of the first unsound one are served, that one is rejected, and the rest is discarded.
 */
class RequestFramingTest {

    private static final int DESCRIPTORS = 1024;
    private static final int MEMORY_BYTES = 1 << 20;
    private static final int MAX_REQUESTS = 6;
    private static final String SOUND = "POST /sound HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";
    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 ([0-9]{3}) ");
    private static final String CONTINUE = "100";

    /** A request with another in its body, and the status it is answered with. */
    private enum Kind {
        PLAIN(200, "Content-Length: " + SOUND.length(), SOUND),
        EXPECTS_CONTINUE(200, "Expect: 100-continue\r\nContent-Length: " + SOUND.length(), SOUND),
        CHUNKED(200, "Transfer-Encoding: chunked", Integer.toHexString(SOUND.length()) + "\r\n" + SOUND
                + "\r\n0\r\n\r\n"),
        TOO_LONG(413, "Content-Length: 65537", SOUND),
        TOO_LONG_AND_EXPECTS_CONTINUE(413, "Expect: 100-continue\r\nContent-Length: 65537", SOUND),
        TOO_LONG_IN_CHUNKS(413, "Transfer-Encoding: chunked", "10001\r\n" + SOUND + " ".repeat(65537) + SOUND),
        EXPECTS_ELSE(417, "Expect: else\r\nContent-Length: " + SOUND.length(), SOUND),
        TWO_LENGTHS(400, "Content-Length: 5\r\nTransfer-Encoding: chunked", "0\r\n\r\n" + SOUND),
        OTHER_CODING(400, "Transfer-Encoding: gzip", SOUND);

        private final int status;
        private final String text;

        Kind(int status, String head, String body) {
            this.status = status;
            this.text = "POST /" + name() + " HTTP/1.1\r\n" + head + "\r\n\r\n" + body;
        }
    }

    private static final class CountingFront implements HttpConnection.Front {
        private int served;

        @Override
        public void serve(Exchange e) {
            assertThat(e.uri).as("a request out of a body").isNotEqualTo("/sound");
            served++;
            e.reply(HttpResponseStatus.OK, "text/plain", "served", Map.of());
        }

        @Override
        public void reject(Exchange e, HttpResponseStatus status, String fault) {
            e.reply(status, "text/plain", "rejected", Map.of());
        }

        @Override
        public void refuseOverloaded(Exchange e, String why) {
            throw new AssertionError(why);
        }
    }

    @Property(tries = 300, seed = "47")
    void requestsAreFoundWhereTheyStand(@ForAll @Size(min = 1, max = MAX_REQUESTS) List<Kind> requests,
            @ForAll long cutSeed) {
        CountingFront front = new CountingFront();
        EmbeddedChannel client = new EmbeddedChannel(HttpConnection.createHandlers(front, () -> 0, () -> false,
                new Connections(DESCRIPTORS, ClientLimits.singleLane(MEMORY_BYTES), new Counters(), new Timers(),
                        () -> 0)));
        StringBuilder input = new StringBuilder();
        requests.forEach(r -> input.append(r.text));
        sendInPieces(client, input.toString(), new Random(cutSeed));
        List<Integer> expected = new ArrayList<>();
        for (Kind request : requests) {
            expected.add(request.status);
            if (request.status != HttpResponseStatus.OK.code()) {
                break;
            }
        }
        assertThat(statuses(client)).isEqualTo(expected);
        assertThat(front.served).isEqualTo((int) expected.stream().filter(s -> s == 200).count());
        client.close();
    }

    private static void sendInPieces(EmbeddedChannel client, String input, Random random) {
        for (int at = 0; at < input.length() && client.isOpen();) {
            int end = Math.min(input.length(), at + 1 + random.nextInt(random.nextBoolean() ? 40 : 8192));
            client.writeInbound(Unpooled.copiedBuffer(input.substring(at, end), StandardCharsets.US_ASCII));
            at = end;
        }
    }

    /** The statuses of the final answers, in their order. */
    private static List<Integer> statuses(EmbeddedChannel client) {
        StringBuilder text = new StringBuilder();
        for (ByteBuf b = client.readOutbound(); b != null; b = client.readOutbound()) {
            text.append(b.toString(StandardCharsets.US_ASCII));
            b.release();
        }
        List<Integer> statuses = new ArrayList<>();
        for (Matcher m = STATUS.matcher(text); m.find();) {
            if (!m.group(1).equals(CONTINUE)) {
                statuses.add(Integer.parseInt(m.group(1)));
            }
        }
        return statuses;
    }
}
