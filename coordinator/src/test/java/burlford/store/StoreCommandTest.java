package burlford.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;

/** Replaces the standard output, and so runs alone. */
@Isolated
class StoreCommandTest {

    private static final String TEXT = "\u0150rs vez\u00e9r tere";

    /** Guards against keys and values that the command changes where the locale has no UTF-8. */
    @Test
    void keysAndValuesPassAsTheyAre() throws IOException {
        String[] path = new String[1];
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", exchange -> {
            path[0] = exchange.getRequestURI().getRawPath();
            byte[] value = TEXT.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, value.length);
            exchange.getResponseBody().write(value);
            exchange.close();
        });
        server.start();
        PrintStream out = System.out;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        try (PrintStream ascii = new PrintStream(printed, true, StandardCharsets.US_ASCII)) {
            System.setOut(ascii);
            assertThat(StoreCommand.get("127.0.0.1:" + server.getAddress().getPort(), "\u0150r 1%?")).isZero();
        } finally {
            System.setOut(out);
            server.stop(0);
        }
        assertThat(path[0]).isEqualTo("/store/%C5%90r%201%25%3F");
        assertThat(printed.toString(StandardCharsets.UTF_8)).isEqualTo(TEXT);
    }
}
