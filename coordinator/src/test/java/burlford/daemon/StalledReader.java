package burlford.daemon;

import burlford.core.ReaderEntry;
import burlford.policy.Aggregator.Status;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A stand-in reader that takes one connection and reads nothing on it before it is told to; it never answers. */
final class StalledReader implements AutoCloseable {

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<String> parts = new CopyOnWriteArrayList<>();

    StalledReader() throws IOException { }

    ReaderEntry entry(Status status) {
        return new ReaderEntry("unread", "127.0.0.1", listener.getLocalPort(), "", 0, status, 1, 0);
    }

    /** The parts that came whole. */
    List<String> parts() {
        return parts;
    }

    /** Reads what comes for so long, or until the connection ends, while meanwhile is run over and over. */
    void readFor(long millis, Runnable meanwhile) throws Exception {
        Thread reading = new Thread(this::read);
        reading.setDaemon(true);
        reading.start();
        for (long end = System.nanoTime() + millis * 1_000_000; reading.isAlive() && System.nanoTime() < end;) {
            meanwhile.run();
        }
    }

    private void read() {
        try (Socket socket = listener.accept()) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
                in.readFully(frame);
                if (frame[0] == 'D') {
                    parts.add(new String(frame, 1, frame.length - 1, StandardCharsets.UTF_8).split(" ")[0]);
                }
            }
        } catch (EOFException | SocketException e) {
            // the coordinator has closed the connection
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
