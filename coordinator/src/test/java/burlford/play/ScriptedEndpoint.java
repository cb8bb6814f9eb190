package burlford.play;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One side of a recorded exchange: a client, or a stand-in that is connected to. Bytes are ISO 8859-1 text. */
final class ScriptedEndpoint implements AutoCloseable {

    private final ServerSocket listener;
    private Socket socket;
    /** Held: a socket that nobody holds is closed when garbage is collected. */
    private final List<Socket> left = new ArrayList<>();
    private final ByteArrayOutputStream unread = new ByteArrayOutputStream();

    /** A stand-in on a port of its own. */
    ScriptedEndpoint() throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        listener.setSoTimeout((int) CoordinatorProcess.TIMEOUT_MS);
    }

    /** A client. */
    ScriptedEndpoint(int port) throws IOException {
        listener = null;
        connected(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    int port() {
        return listener.getLocalPort();
    }

    void accept() throws IOException {
        if (socket != null) {
            socket.close();
        }
        acceptAnother();
    }

    /** Takes the next connection and leaves the one before as it is. */
    void acceptAnother() throws IOException {
        unread.reset();
        left.add(socket);
        connected(listener.accept());
    }

    private void connected(Socket s) throws IOException {
        socket = s;
        socket.setTcpNoDelay(true);
        socket.setSoTimeout((int) CoordinatorProcess.TIMEOUT_MS);
    }

    private Socket socket() throws IOException {
        if (socket == null) {
            accept();
        }
        return socket;
    }

    void send(String bytes) throws IOException {
        socket().getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        socket().getOutputStream().flush();
    }

    /** Reads until what came begins with a match, and takes that. */
    String expect(String regex) throws IOException {
        Pattern pattern = Pattern.compile(regex, Pattern.DOTALL);
        InputStream in = socket().getInputStream();
        byte[] some = new byte[4096];
        while (true) {
            String came = unread.toString(StandardCharsets.ISO_8859_1);
            Matcher m = pattern.matcher(came);
            if (m.lookingAt()) {
                unread.reset();
                unread.writeBytes(came.substring(m.end()).getBytes(StandardCharsets.ISO_8859_1));
                return m.group();
            }
            try {
                int n = in.read(some);
                if (n < 0) {
                    throw new AssertionError("ended; expected " + regex + ", came " + came);
                }
                unread.write(some, 0, n);
            } catch (SocketTimeoutException e) {
                throw new AssertionError("nothing more; expected " + regex + ", came " + came, e);
            }
        }
    }

    /** The other side has closed, and said nothing more. */
    void expectClose() throws IOException {
        int b;
        try {
            b = socket().getInputStream().read();
        } catch (java.net.SocketException e) {
            b = -1; // a reset is an end too
        }
        if (b >= 0 || unread.size() > 0) {
            throw new AssertionError("not ended, but said " + (char) b);
        }
    }

    void closeConnection() throws IOException {
        socket().close();
        socket = null;
        unread.reset();
    }

    /** Closes so that the other side is told of a broken connection. */
    void resetConnection() throws IOException {
        socket().setSoLinger(true, 0);
        closeConnection();
    }

    @Override
    public void close() throws IOException {
        if (socket != null) {
            socket.close();
        }
        if (listener != null) {
            listener.close();
        }
    }
}
