package burlford.play;

import java.nio.charset.StandardCharsets;

/** What bad clients do to a process in a soak. */
enum Misbehaviour {
    /** There are no bad clients. */
    NONE,
    /** Heads of very many short fields that do not end. */
    HALF_HEADS,
    /** Large requests that stop half way. */
    HALF_BODIES,
    /** Large requests, and behind each the first bytes of another. */
    REQUESTS_BEGUN,
    /** Requests whose replies are not read. */
    UNREAD_REPLIES,
    /** Small requests on one connection at full speed. */
    FLOOD,
    /** The same with ever new names. */
    NEW_NAMES,
    /** Bytes that are no HTTP, at full speed. */
    UNSOUND;

    private static final int CONNECTIONS = 30;
    private static final int BODY_BYTES = 65_000;
    private static final int SHORT_FIELDS = 1_900;
    private static final int PIPELINED = 60;

    void play(BadClients clients) {
        String large = "POST /none HTTP/1.1\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n" + "x".repeat(BODY_BYTES);
        switch (this) {
            case NONE -> { }
            case HALF_HEADS -> clients.send(CONNECTIONS, ascii("POST /a HTTP/1.1\r\n" + "a:\r\n".repeat(SHORT_FIELDS)));
            case HALF_BODIES -> clients.send(CONNECTIONS, ascii(large.substring(0, BODY_BYTES)));
            case REQUESTS_BEGUN -> clients.send(CONNECTIONS, ascii(large + "POST /api"));
            case UNREAD_REPLIES -> clients.sendWithoutReading(CONNECTIONS,
                    ascii("GET /counters HTTP/1.1\r\n\r\n".repeat(PIPELINED)));
            case FLOOD -> clients.flood(i -> "GET /none HTTP/1.1\r\n\r\n");
            case NEW_NAMES -> clients.flood(i -> "POST /api/key" + i + " HTTP/1.1\r\nReq-Id: id" + i
                    + "\r\nReq-Kind: kind" + i + "\r\nContent-Length: 2\r\n\r\n{}");
            case UNSOUND -> clients.flood(i -> i % PIPELINED == 0 ? "\0\r\n\r\n" : "\r\n\r\n");
        }
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
