package burlford.play;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A stand-in discovery: answers every call with the whole list, keeps it open and tells changes on it. */
final class SoakDiscovery implements AutoCloseable {

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> calls = new CopyOnWriteArrayList<>();
    private final List<SoakReader> readers;
    private final Audit audit;
    private final List<String> members = new ArrayList<>();
    private long revision = 41;

    SoakDiscovery(List<SoakReader> readers, Audit audit) throws IOException {
        this.readers = readers;
        this.audit = audit;
        for (int i = 0; i < readers.size(); i++) {
            members.add(member(i, "Ready", 0));
        }
        Thread acceptor = new Thread(this::accept);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket call = listener.accept();
                call.getOutputStream().write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                synchronized (this) {
                    write(call, list(true, members));
                    calls.add(call);
                }
            }
        } catch (IOException e) {
            // the test is over
        }
    }

    synchronized void drain(int reader) {
        tell(reader, member(reader, "Terminating", 0));
        audit.recordDrainNotified(readers.get(reader).name());
    }

    /** The reader's process is another from now on, in slow start. */
    synchronized void restart(int reader) {
        tell(reader, member(reader, "Ready", System.currentTimeMillis()));
        audit.recordRestartNotified(readers.get(reader).name());
    }

    private void tell(int reader, String member) {
        revision++;
        members.set(reader, member);
        calls.forEach(call -> write(call, list(false, List.of(member))));
    }

    private String member(int reader, String phase, long startedAtMs) {
        return "{\"id\":\"s" + reader + "\",\"host_port\":\"127.0.0.1:" + readers.get(reader).port() + "\",\"cell\":"
                + reader + ",\"phase\":\"" + phase + "\",\"up_since_ms\":" + startedAtMs + "}";
    }

    private String list(boolean complete, List<String> entries) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":["
                + String.join(",", entries) + "]}\n";
    }

    private static void write(Socket call, String text) {
        try {
            call.getOutputStream().write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            // the coordinator has closed the call
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket call : calls) {
            call.close();
        }
    }
}
