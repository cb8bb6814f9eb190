import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;

/** Bookings, while one of twelve slot servers takes parts and answers none. */
final class BookedTwice {

    private static final int SERVERS = 12;
    private static final int CLIENTS = 8;
    private static final int DEADLINE_MS = 5_000;
    /** How long a server drops a repeated booking part. */
    private static final long WINDOW_NS = 2_500_000_000L;
    /** The trouble: up to 15% of the servers take parts and answer none for 8.9 to 25 s. Here one of twelve. */
    private static final String HANGING = "s-0";
    private static final double TROUBLE_FROM_MS = 5_000;
    private static final double TROUBLE_MS = 20_000;
    private static final double RUN_MS = 30_000;

    private BookedTwice() { }

    public static void main(String[] args) {
        Rig.main(args, BookedTwice::holds);
    }

    private static boolean holds(Rig rig) throws Exception {
        ScheduledExecutorService work = Reader.workers();
        double[] servingSince = {Double.MAX_VALUE};
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger dropped = new AtomicInteger();
        AtomicInteger withoutKey = new AtomicInteger();
        AtomicInteger twice = new AtomicInteger();
        // What the holders of a block know of bookings: by idempotency key and block, when it was first booked.
        Map<String, Long> bookedAt = new ConcurrentHashMap<>();
        // The judge's book: how often each part was booked.
        Map<String, Integer> bookings = new ConcurrentHashMap<>();
        Reader.Writer writer = (server, part, list, value, othersWait) -> {
            String key = null;
            for (String field : list.split(",")) {
                key = field.startsWith("k=") ? field.substring(2) : key;
            }
            String block = part.substring(part.lastIndexOf('.') + 1);
            Long before = key == null ? null : bookedAt.putIfAbsent(key + "." + block, System.nanoTime());
            if (before != null && System.nanoTime() - before < WINDOW_NS) {
                dropped.incrementAndGet();
                rig.note("server " + server.id + " drops " + part + ", a repeat");
            } else {
                if (key == null) {
                    withoutKey.incrementAndGet();
                }
                int times = bookings.merge(part, 1, Integer::sum);
                rig.note("server " + server.id + " BOOKS " + part + (times > 1 ? ", for the " + times + ". time" : ""));
                if (times == 2) {
                    twice.incrementAndGet();
                }
            }
            double t = rig.now() - servingSince[0] - TROUBLE_FROM_MS;
            if (rig.trouble && t >= 0 && t < TROUBLE_MS && server.id.equals(HANGING)) {
                unanswered.incrementAndGet();
                rig.note("server " + server.id + " hangs and does not answer " + part);
                return null;
            }
            return Reader.frame('O', part + " 200 1840277719 qps=5\n" + value);
        };
        List<Reader> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new Reader(rig, "s-" + i, i, work, writer));
        }
        Discovery discovery = new Discovery(servers);
        int[] ports = Rig.freePorts(2);
        List<Rig.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Rig.Node node = rig.new Node("n" + i, ports[i], Settings.havn("n" + i, ports[i], discovery.port(), i), null);
            node.start();
            nodes.add(node);
        }
        for (Rig.Node node : nodes) {
            if (!node.awaitReady(30_000)) {
                throw new IOException(node.name + " is not ready: " + node.complaints());
            }
        }
        servingSince[0] = rig.now();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int port = ports[c % 2];
            Random random = new Random(3000 + c);
            Thread client = new Thread(() -> {
                Socket s = null;
                while (rig.now() - servingSince[0] < RUN_MS) {
                    String id = String.format(Locale.ROOT, "%016x", random.nextLong());
                    try {
                        if (s == null) {
                            s = new Socket("127.0.0.1", port);
                            s.setSoTimeout(DEADLINE_MS + 1_000);
                        }
                        String request = booking(id, random);
                        rig.note("client sends booking " + id);
                        s.getOutputStream().write(request.getBytes(java.nio.charset.StandardCharsets.UTF_8));
                        Rig.Http.Answer a = Rig.Http.read(s.getInputStream());
                        (a.status == 200 ? answered : other).incrementAndGet();
                        rig.note("client got " + a.status + " for " + id);
                        if (a.announcesClose()) {
                            s.close();
                            s = null;
                        }
                    } catch (IOException e) {
                        rig.note("client got no answer for " + id + ": " + e);
                        other.incrementAndGet();
                        s = null;
                    }
                    Rig.sleep(100 + random.nextInt(500));
                }
            });
            client.start();
            clients.add(client);
        }
        for (Thread t : clients) {
            t.join();
        }
        Rig.sleep(500);
        String sum = "bookings answered " + answered + ", refused or failed " + other + ", parts not answered by the hanging server " + unanswered
                + ", repeats dropped " + dropped + ", parts without k " + withoutKey + ", parts booked twice " + twice;
        rig.note(sum);
        System.out.println(sum);
        if (answered.get() == 0 || rig.trouble && unanswered.get() == 0) {
            throw new IOException("nothing was answered or the hanging server got nothing");
        }
        return twice.get() == 0;
    }

    /** A booking of one or two blocks, with a fresh id and a fresh idempotency key. */
    private static String booking(String id, Random random) {
        Set<Integer> blocks = new HashSet<>();
        for (int count = 1 + random.nextInt(2); blocks.size() < count;) {
            blocks.add(random.nextInt(24));
        }
        StringBuilder parts = new StringBuilder();
        for (int b : blocks) {
            parts.append(parts.length() == 0 ? "" : ",").append(String.format(Locale.ROOT,
                    "{\"id\":%d,\"w\":%.6f,\"hint\":%d}", b, 1.0 / blocks.size(), 100_000 + random.nextInt(40_000)));
        }
        String body = String.format(Locale.ROOT, "{\"parts\":[%s],\"expr\":\"%08x\"}", parts, random.nextInt());
        return String.format(Locale.ROOT, "POST /api/%016x HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\n"
                + "Req-Kind: slot-book\r\nReq-Owner: ro-ro-terminal\r\nReq-Deadline-Ms: %d\r\n"
                + "Idempotency-Key: %016x%016x\r\nContent-Length: %d\r\n\r\n%s", random.nextLong(), id, DEADLINE_MS,
                random.nextLong(), random.nextLong(), body.length(), body);
    }
}
