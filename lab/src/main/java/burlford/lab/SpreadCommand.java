package burlford.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * How unevenly the kernel deals out connections to listeners that share a port (SO_REUSEPORT): the most that one of
 * them gets over the mean. One acceptor that counts leaves a difference of one at most.
 */
@Command(name = "spread", mixinStandardHelpOptions = true,
        description = "Measures how SO_REUSEPORT deals out connections on loopback.")
final class SpreadCommand implements Callable<Integer> {

    @Option(names = "--lanes", split = ",", defaultValue = "2,4")
    private List<Integer> lanes;
    @Option(names = "--connections", split = ",", defaultValue = "16,1000")
    private List<Integer> connections;
    @Option(names = "--times", defaultValue = "20")
    private int times;

    @Override
    public Integer call() throws IOException {
        System.out.printf("%-6s %-12s %-22s %-22s%n", "lanes", "connections", "most/mean (median)",
                "most/mean (worst)");
        for (int n : lanes) {
            for (int c : connections) {
                double[] worst = new double[times];
                for (int i = 0; i < times; i++) {
                    worst[i] = Arrays.stream(once(n, c)).max().getAsInt() * (double) n / c;
                }
                Arrays.sort(worst);
                System.out.printf(Locale.ROOT, "%-6d %-12d %-22.2f %-22.2f%n", n, c, worst[times / 2],
                        worst[times - 1]);
            }
        }
        return 0;
    }

    private static int[] once(int lanes, int connections) throws IOException {
        List<ServerSocketChannel> listeners = new ArrayList<>();
        List<SocketChannel> clients = new ArrayList<>();
        List<SocketChannel> accepted = new ArrayList<>();
        int[] counts = new int[lanes];
        try (Selector selector = Selector.open()) {
            int port = 0;
            for (int i = 0; i < lanes; i++) {
                ServerSocketChannel l = ServerSocketChannel.open();
                listeners.add(l);
                l.setOption(StandardSocketOptions.SO_REUSEPORT, true);
                l.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 2048);
                port = ((InetSocketAddress) l.getLocalAddress()).getPort();
                l.configureBlocking(false);
                l.register(selector, SelectionKey.OP_ACCEPT, i);
            }
            for (int i = 0; i < connections; i++) {
                clients.add(SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)));
            }
            while (accepted.size() < connections) {
                selector.select();
                for (SelectionKey key : selector.selectedKeys()) {
                    SocketChannel s = ((ServerSocketChannel) key.channel()).accept();
                    if (s != null) {
                        accepted.add(s);
                        counts[(int) key.attachment()]++;
                    }
                }
                selector.selectedKeys().clear();
            }
        } finally {
            for (SocketChannel s : clients) {
                s.close();
            }
            for (SocketChannel s : accepted) {
                s.close();
            }
            for (ServerSocketChannel l : listeners) {
                l.close();
            }
        }
        return counts;
    }
}
