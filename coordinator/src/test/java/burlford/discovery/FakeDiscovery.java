package burlford.discovery;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Discovery server of the tests: accepts connections, keeps them open and sends only what the test tells it to. */
final class FakeDiscovery implements AutoCloseable {

    static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    FakeDiscovery() throws IOException {
        Thread acceptor = new Thread(() -> {
            try {
                while (true) {
                    connections.add(listener.accept());
                }
            } catch (IOException e) {
                // the listener was closed at the end of the test
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
    }

    int connections() {
        return connections.size();
    }

    /** Sends text on the n-th accepted connection, counted from 0. */
    void send(int connection, String text) throws IOException {
        connections.get(connection).getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    static String list(long revision, boolean complete, String... members) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[" + String.join(",", members)
                + "]}\n";
    }

    static String member(String id, String phase) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:9\",\"cell\":0,\"phase\":\"" + phase + "\"}";
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket s : connections) {
            s.close();
        }
    }
}
