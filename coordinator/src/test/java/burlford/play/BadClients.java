package burlford.play;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntFunction;

/** Clients that use a coordinator as the pages allow bad clients to: slowly, in bulk, without reading, or unsoundly. */
final class BadClients implements AutoCloseable {

    private static final int SMALL_BUFFER_BYTES = 4096;
    private static final int BATCH = 64;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long MOST_TIME_TO_CONNECT_NS = TimeUnit.SECONDS.toNanos(5);

    private final int port;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final List<Thread> threads = new CopyOnWriteArrayList<>();
    private volatile boolean over;

    BadClients(int port) {
        this.port = port;
    }

    /** Opens connections; on each the bytes are sent and nothing more. */
    void send(int count, byte[] bytes) {
        open(count, socket -> write(socket, bytes));
    }

    /** Opens connections that never read; each sends the bytes, and again, until it is closed. */
    void sendWithoutReading(int count, byte[] bytes) {
        open(count, socket -> {
            while (!over && write(socket, bytes)) { }
        });
    }

    /** As many as the process takes in time: one that stands still or has ended takes none. */
    private void open(int count, Consumer<Socket> use) {
        long until = System.nanoTime() + MOST_TIME_TO_CONNECT_NS;
        for (int i = 0; i < count && System.nanoTime() < until; i++) {
            try {
                Socket socket = connect();
                start(() -> use.accept(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** One client that sends requests at full speed, a batch a write, and reads all replies. */
    void flood(IntFunction<String> requests) {
        start(() -> {
            int number = 0;
            while (!over) {
                try {
                    Socket socket = connect();
                    start(() -> discardReplies(socket));
                    byte[] batch;
                    do {
                        StringBuilder text = new StringBuilder();
                        for (int i = 0; i < BATCH; i++) {
                            text.append(requests.apply(number++));
                        }
                        batch = text.toString().getBytes(StandardCharsets.ISO_8859_1);
                    } while (!over && write(socket, batch));
                    socket.close();
                    sockets.remove(socket);
                } catch (IOException e) {
                    // closed while it wrote: the next connection goes on
                }
            }
        });
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MS);
        sockets.add(socket);
        return socket;
    }

    private static boolean write(Socket socket, byte[] bytes) {
        try {
            socket.getOutputStream().write(bytes);
            return true;
        } catch (IOException e) {
            return false; // closed by the coordinator, which it may
        }
    }

    private static void discardReplies(Socket socket) {
        byte[] some = new byte[1 << 16];
        try {
            while (socket.getInputStream().read(some) >= 0) { }
        } catch (IOException e) {
            // closed
        }
    }

    private void start(Runnable body) {
        Thread thread = new Thread(body);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    @Override
    public void close() throws IOException, InterruptedException {
        over = true;
        for (Socket socket : sockets) {
            socket.close();
        }
        for (Thread thread : threads) {
            thread.join(TimeUnit.SECONDS.toMillis(5));
        }
    }
}
