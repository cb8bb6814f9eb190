import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Clients that send three requests at once, while one of two coordinators is told to end in a planned restart. */
final class Pipelined {

    private static final int CLIENTS = 8;
    private static final int AT_ONCE = 3;
    private static final int DEADLINE_MS = 5_000;
    private static final long BEFORE_TERM_MS = 5_000;
    /** The front deals out no new connections to a coordinator this long after it was told to end. */
    private static final double FRONT_STOPS_MS = 200;
    /** SIGKILL comes no sooner than 3 s and 0.7 s after SIGTERM. */
    private static final long KILL_AFTER_MS = 3_700;
    /** A request written so shortly before the end of its connection counts as one that crossed it. */
    private static final double CROSSING_MS = 100;

    private Pipelined() { }

    public static void main(String[] args) {
        Rig.main(args, Pipelined::holds);
    }

    private static boolean holds(Rig rig) throws Exception {
        ScheduledExecutorService work = Reader.workers();
        List<Reader> readers = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            readers.add(new Reader(rig, "s-" + i, i % Settings.SETS, work, (r, part, value, o) -> Reader.good(part,
                    value)));
        }
        Discovery discovery = new Discovery(readers);
        int[] ports = Rig.freePorts(2);
        List<Rig.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Rig.Node node = rig.new Node("n" + i, ports[i], discovery.port(), i, 192, null);
            node.start();
            nodes.add(node);
        }
        for (Rig.Node node : nodes) {
            if (!node.awaitReady(30_000)) {
                throw new IOException(node.name + " is not ready: " + node.complaints());
            }
        }
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger excused = new AtomicInteger();
        AtomicBoolean stop = new AtomicBoolean();
        AtomicLong termAt = new AtomicLong(Long.MAX_VALUE);
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int number = c;
            Thread client = new Thread(() -> {
                Random random = new Random(2000 + number);
                while (!stop.get()) {
                    int port = rig.now() < termAt.get() + FRONT_STOPS_MS ? ports[number % 2] : ports[1];
                    try (Socket s = new Socket("127.0.0.1", port)) {
                        s.setTcpNoDelay(true);
                        s.setSoTimeout(AT_ONCE * DEADLINE_MS + 1_000);
                        while (!stop.get() && batch(rig, s, random, number, answered, lost, excused)) {
                            Rig.sleep(random.nextInt(300));
                        }
                    } catch (IOException e) {
                        rig.note("client " + number + " has no connection any more: " + e.getMessage());
                    }
                }
            });
            client.start();
            clients.add(client);
        }
        Rig.sleep(BEFORE_TERM_MS);
        if (rig.trouble) {
            termAt.set((long) rig.now());
            nodes.get(0).signal("TERM");
            Rig.sleep(KILL_AFTER_MS);
            if (nodes.get(0).process.isAlive()) {
                nodes.get(0).kill();
            } else {
                rig.note("coordinator n0 had ended with status " + nodes.get(0).process.exitValue());
            }
        } else {
            Rig.sleep(KILL_AFTER_MS);
        }
        Rig.sleep(1_000);
        stop.set(true);
        for (Thread t : clients) {
            t.join();
        }
        rig.note("answered " + answered + ", lost " + lost + ", excused " + excused);
        System.out.println("answered " + answered + ", lost " + lost + ", excused " + excused);
        if (answered.get() == 0) {
            throw new IOException("nothing was answered");
        }
        return lost.get() == 0;
    }

    /** Sends some requests at once and reads their answers; false where the connection has ended. */
    private static boolean batch(Rig rig, Socket s, Random random, int client, AtomicInteger answered,
            AtomicInteger lost, AtomicInteger excused) throws IOException {
        List<Query> queries = new ArrayList<>();
        java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
        for (int i = 0; i < AT_ONCE; i++) {
            queries.add(new Query(random, DEADLINE_MS));
            all.writeBytes(queries.get(i).bytes());
        }
        s.getOutputStream().write(all.toByteArray());
        double sentAt = rig.now();
        rig.note("client " + client + " sends at once " + queries.stream().map(q -> q.id).toList());
        boolean closing = false;
        for (int i = 0; i < AT_ONCE; i++) {
            Query q = queries.get(i);
            try {
                Rig.Http.Answer a = Rig.Http.read(s.getInputStream());
                closing |= a.announcesClose();
                answered.incrementAndGet();
                rig.note("client " + client + " got " + a.status + " for " + q.id
                        + (a.announcesClose() ? ", the connection is to be closed" : ""));
            } catch (IOException e) {
                double age = rig.now() - sentAt;
                // The first request on a connection that is closed without sending it on has failed and is not lost;
                // one that crossed the close, unread, is sent again.
                boolean mayHaveCrossed = i == 0 || age < CROSSING_MS;
                (mayHaveCrossed ? excused : lost).incrementAndGet();
                rig.note("client " + client + (mayHaveCrossed ? " has no answer for " : " LOST ") + q.id + ", sent "
                        + Math.round(age) + " ms before the connection ended: " + e.getMessage());
                closing = true;
            }
        }
        return !closing;
    }
}
