import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A toy reader to try burlford with: {@code java examples/ToyReader.java 7001 7002 7003} listens on those
 * loopback ports and answers every part with its shard and the text it came with.
 */
public final class ToyReader {

    public static void main(String[] ports) throws IOException {
        for (String port : ports) {
            ServerSocket listener = new ServerSocket(Integer.parseInt(port), 50, InetAddress.getLoopbackAddress());
            new Thread(() -> accept(listener)).start();
            System.out.println("toy reader at 127.0.0.1:" + port);
        }
    }

    private static void accept(ServerSocket listener) {
        while (true) {
            try {
                Socket s = listener.accept();
                new Thread(() -> serve(s)).start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void serve(Socket socket) {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
                in.readFully(frame);
                String text = new String(frame, 1, frame.length - 1, StandardCharsets.UTF_8);
                switch (frame[0]) {
                    case 'D' -> {
                        String[] line = text.substring(0, text.indexOf('\n')).split(" ");
                        String value = "shard " + line[1] + " of " + text.substring(text.indexOf('\n') + 1);
                        send(socket, 'O', line[0] + " 200 0 inflight=1,qps=1\n" + value);
                    }
                    case 'U' -> send(socket, 'U', "inflight=1,qps=1");
                    case 'I' -> send(socket, 'I', "200");
                    default -> { } // K: it answers at once, so there is nothing to give up
                }
            }
        } catch (EOFException e) {
            // the coordinator has closed the connection
        } catch (IOException e) {
            System.out.println("connection ended: " + e.getMessage());
        }
    }

    private static void send(Socket socket, char letter, String rest) throws IOException {
        byte[] bytes = (letter + rest).getBytes(StandardCharsets.UTF_8);
        byte[] frame = new byte[4 + bytes.length];
        for (int i = 0; i < 4; i++) {
            frame[i] = (byte) (bytes.length >> 8 * i);
        }
        System.arraycopy(bytes, 0, frame, 4, bytes.length);
        OutputStream out = socket.getOutputStream();
        out.write(frame);
        out.flush();
    }

    private ToyReader() { }
}
