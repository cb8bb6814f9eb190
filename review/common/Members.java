import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Three coordinators that follow discovery and are the members of one replicated store; twelve readers, four to a set.
 */
final class Members {

    static final int COUNT = 3;

    final List<Rig.Node> nodes = new ArrayList<>();
    final List<Reader> readers = new ArrayList<>();
    final Agent agent;
    final int[] admin = new int[COUNT];
    final AtomicInteger answered = new AtomicInteger();
    final AtomicInteger other = new AtomicInteger();
    private final Rig rig;

    Members(Rig rig) throws Exception {
        this.rig = rig;
        ScheduledExecutorService work = Reader.workers();
        for (int i = 0; i < 12; i++) {
            readers.add(new Reader(rig, "s-" + i, i % Settings.SETS, work, (r, part, list, value, o) ->
                    Reader.good(part, value)));
        }
        agent = new Agent(rig, readers);
        int[] ports = Rig.freePorts(3 * COUNT);
        StringBuilder operator = new StringBuilder("store:\n  directory: state\n  members:\n");
        for (int i = 0; i < COUNT; i++) {
            admin[i] = ports[2 * COUNT + i];
            operator.append(String.format(Locale.ROOT,
                    "    n%d: {peers: \"127.0.0.1:%d\", admin: \"127.0.0.1:%d\"}%n", i, ports[COUNT + i], admin[i]));
        }
        for (int i = 0; i < COUNT; i++) {
            nodes.add(rig.new Node("n" + i, ports[i], agent.port(), i, 192, operator.toString()));
            nodes.get(i).start();
        }
        for (Rig.Node node : nodes) {
            if (!node.awaitReady(30_000)) {
                throw new IOException(node.name + " is not ready: " + node.complaints());
            }
        }
    }

    /** Which member leads, once all name the same and the store has these keys. */
    int awaitLeader(long ms, String... keys) throws IOException {
        long until = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < until) {
            String named = null;
            boolean agreed = true;
            for (int i = 0; i < COUNT; i++) {
                String status = Rig.Http.get(admin[i], "/store", 2_000).body;
                Matcher m = Pattern.compile("\"leader\":\"(n[0-9])\"").matcher(status);
                agreed &= m.find() && (named == null || named.equals(m.group(1)));
                named = agreed ? m.group(1) : named;
                for (String key : keys) {
                    agreed &= status.contains("\"" + key + "\":");
                }
            }
            if (agreed) {
                rig.note("member " + named + " leads the store");
                return named.charAt(1) - '0';
            }
            Rig.sleep(200);
        }
        throw new IOException("no leader: " + nodes.get(0).complaints());
    }

    /** Writes a value made from the one held, and expects the write to be acknowledged. */
    void change(int leader, String key, java.util.function.UnaryOperator<String> how) throws IOException {
        Rig.Http.Answer held = Rig.Http.get(admin[leader], "/store/" + key, 2_000);
        String version = held.headers.get("etag").replace("\"", "");
        String text = how.apply(held.body);
        if (text.equals(held.body)) {
            throw new IOException("nothing to change in " + held.body);
        }
        Rig.Http.Answer a = Rig.Http.put(admin[leader], "/store/" + key + "?from=" + version, text, 15_000);
        if (a.status != 200) {
            throw new IOException("a write was answered with " + a.status + " " + a.body);
        }
        rig.note("the write of " + key + " made from version " + version + " is acknowledged by n" + leader + ": "
                + a.body.trim());
    }

    /** What the member's front of the store answers, for the record; the value itself is not written. */
    String stored(int member, String key) {
        try {
            Rig.Http.Answer a = Rig.Http.get(admin[member], "/store/" + key, 1_000);
            return key + " at n" + member + ": " + a.status + " version " + a.headers.get("etag");
        } catch (IOException e) {
            return key + " at n" + member + ": " + e.getMessage();
        }
    }

    /** A client that asks one member, a query after the other, until the time is over. */
    Thread client(int member, int seed, double untilMs, int deadlineMs, int restMs) {
        Random random = new Random(seed);
        int port = nodes.get(member).port;
        Thread client = new Thread(() -> {
            Socket s = null;
            while (rig.now() < untilMs) {
                Query q = new Query(random, deadlineMs);
                try {
                    if (s == null) {
                        s = new Socket("127.0.0.1", port);
                        s.setSoTimeout(deadlineMs + 1_000);
                    }
                    rig.note("client " + seed + " sends " + q.id + " for shards " + q.shards + " to n" + member);
                    s.getOutputStream().write(q.bytes());
                    Rig.Http.Answer a = Rig.Http.read(s.getInputStream());
                    (a.status == 200 ? answered : other).incrementAndGet();
                    rig.note("client " + seed + " got " + a.status + " for " + q.id);
                    if (a.announcesClose()) {
                        s.close();
                        s = null;
                    }
                } catch (IOException e) {
                    rig.note("client " + seed + " got no answer for " + q.id + ": " + e);
                    other.incrementAndGet();
                    s = null;
                    Rig.sleep(20);
                }
                Rig.sleep(restMs / 2 + random.nextInt(restMs));
            }
        });
        client.start();
        return client;
    }
}
