import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;

/** Readers give some answers a length that is too small, while other parts wait on the same connection. */
final class ShortLength {

    private static final int CLIENTS = 12;
    private static final long RUN_MS = 40_000;
    private static final int DEADLINE_MS = 5_000;
    /** One answer in so many is spoilt, where other parts wait on its connection. */
    private static final int SPOILT_ONE_IN = 20;
    private static final int CUT_BYTES = 4;

    private ShortLength() { }

    public static void main(String[] args) {
        Rig.main(args, ShortLength::holds);
    }

    private static boolean holds(Rig rig) throws Exception {
        ScheduledExecutorService work = Reader.workers();
        AtomicInteger spoilt = new AtomicInteger();
        Random draw = new Random(7);
        Reader.Writer writer = (reader, part, list, value, othersWait) -> {
            byte[] answer = Reader.good(part, value);
            boolean spoil;
            synchronized (draw) {
                spoil = rig.trouble && othersWait && draw.nextInt(SPOILT_ONE_IN) == 0;
            }
            if (spoil) {
                Reader.setLength(answer, answer.length - 4 - CUT_BYTES);
                spoilt.incrementAndGet();
                rig.note("reader " + reader.id + " SPOILT the answer to " + part + ": its length is " + CUT_BYTES
                        + " too small");
            }
            return answer;
        };
        List<Reader> readers = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            readers.add(new Reader(rig, "s-" + i, i % Settings.SETS, work, writer));
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
        AtomicInteger wrong = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        long until = System.nanoTime() + RUN_MS * 1_000_000;
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int port = ports[c % 2];
            Random random = new Random(1000 + c);
            Thread client = new Thread(() -> {
                Socket s = null;
                while (System.nanoTime() < until) {
                    Query q = new Query(random, DEADLINE_MS);
                    try {
                        if (s == null) {
                            s = new Socket("127.0.0.1", port);
                            s.setSoTimeout(DEADLINE_MS + 1_000);
                        }
                        rig.note("client sends " + q.id + " for shards " + q.shards);
                        s.getOutputStream().write(q.bytes());
                        Rig.Http.Answer a = Rig.Http.read(s.getInputStream());
                        String fault = a.status == 200 ? q.faultOf(a.body) : null;
                        (a.status != 200 ? other : fault == null ? answered : wrong).incrementAndGet();
                        rig.note("client got " + a.status + " for " + q.id + " " + a.body.trim()
                                + (fault == null ? "" : " WRONG: " + fault));
                        if (a.announcesClose()) {
                            s.close();
                            s = null;
                        }
                    } catch (IOException e) {
                        rig.note("client got no answer for " + q.id + ": " + e);
                        other.incrementAndGet();
                        s = null;
                    }
                    Rig.sleep(random.nextInt(400));
                }
            });
            client.start();
            clients.add(client);
        }
        for (Thread t : clients) {
            t.join();
        }
        rig.note("right answers " + answered + ", wrong answers " + wrong + ", refused or failed " + other
                + ", spoilt by readers " + spoilt);
        System.out.println("right " + answered + ", wrong " + wrong + ", refused or failed " + other + ", spoilt "
                + spoilt);
        if (answered.get() == 0 || rig.trouble && spoilt.get() == 0) {
            throw new IOException("nothing was answered or nothing was spoilt");
        }
        return wrong.get() == 0;
    }
}
