package burlford.clients;

import burlford.core.Utf8;
import burlford.policy.ClientPresence;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One request of an HTTP client and its one reply. */
public final class Exchange {

    private final HttpConnection connection;
    public final HttpMethod method;
    public final String uri;
    public final HttpHeaders headers;
    public final byte[] body;
    /** When it came in, on the coordinator's clock. */
    public final long arrivedAt;
    /** What was wrong with it as HTTP; null when nothing was. */
    final Throwable fault;
    final boolean keepAlive;
    /** Its front has it and will reply, now or later. */
    boolean inProgress;
    /** One of too many that wait on its connection. */
    boolean overQueueLimit;
    /** Bytes held for it until it is replied to. */
    int reservedBytes;
    private Runnable onLeft;
    private boolean replied;

    Exchange(HttpConnection connection, HttpMethod method, String uri, HttpHeaders headers, byte[] body,
            long arrivedAt, Throwable fault, boolean keepAlive) {
        this.connection = connection;
        this.method = method;
        this.uri = uri;
        this.headers = headers;
        this.body = body;
        this.arrivedAt = arrivedAt;
        this.fault = fault;
        this.keepAlive = keepAlive;
    }

    /** What to do if the client closes its connection before it has its reply. */
    public void onClientDisconnect(Runnable action) {
        onLeft = action;
    }

    public void reply(HttpResponseStatus status, String contentType, String text, Map<String, String> extra) {
        if (!replied) {
            replied = true;
            connection.reply(this, status, contentType, text.getBytes(StandardCharsets.UTF_8), extra);
        }
    }

    /**
     * The values of a header field, whose bytes are taken as UTF-8. Throws where they are not: taken in another
     * encoding, they could stand for another name than the one that the client means.
     */
    public List<String> headerTexts(CharSequence name) throws Utf8.MalformedTextException {
        List<String> texts = new ArrayList<>();
        for (String value : headers.getAll(name)) {
            texts.add(Utf8.decodeLatin1(value));
        }
        return texts;
    }

    void clientDisconnected() {
        if (!replied && onLeft != null) {
            replied = true;
            onLeft.run();
        }
    }

    /** Whether its client is still there, as of now or of a moment ago. */
    public ClientPresence clientPresence() {
        return connection.clientPresence();
    }

    /** Whether its client is known to be there. */
    boolean isClientConnected() {
        return clientPresence() == ClientPresence.CONNECTED;
    }

    boolean isReplied() {
        return replied;
    }
}
