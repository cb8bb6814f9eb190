package burlford;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports for programs that have to be told theirs before they listen. They are below those that the system gives to
 * connections that are opened: one of these could be the source port of a connection by the time it is needed.
 */
public final class FreePorts {

    private static final int LOWEST = 12_000;
    private static final int END = 30_000;
    private static final AtomicInteger NEXT = new AtomicInteger(ThreadLocalRandom.current().nextInt(LOWEST, END));

    private FreePorts() { }

    /** So many ports at which nothing listens; none is given twice in a run until all others have been. */
    public static List<Integer> take(int count) {
        List<Integer> ports = new ArrayList<>();
        for (int tried = 0; ports.size() < count; tried++) {
            if (tried > END - LOWEST) {
                throw new AssertionError("no free port from " + LOWEST + " to below " + END);
            }
            int port = LOWEST + NEXT.getAndIncrement() % (END - LOWEST);
            if (isFree(port)) {
                ports.add(port);
            }
        }
        return ports;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
