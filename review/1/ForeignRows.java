import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;

/**
 * A client of one member company asks and leaves before its answer. A bad client of another company sends the id of that
 * open request, and again as soon as it is turned away. Counted are answers that hold what was made for the first.
 */
public final class ForeignRows {

    private static final int ROUNDS = 40;
    private static final int LEAVES_AFTER_MS = 100;

    private ForeignRows() { }

    public static void main(String[] args) {
        Rig.main(args, ForeignRows::holds);
    }

    private static byte[] request(String id, String tenant, long key, int shard, String text) {
        String body = "{\"parts\":[{\"id\":" + shard + ",\"w\":1.0}],\"expr\":\"" + text + "\"}";
        return String.format(Locale.ROOT, "POST /api/%016x HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\n"
                + "Req-Kind: car-lookup\r\nReq-Owner: %s\r\nReq-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n%s", key, id,
                tenant, body.length(), body).getBytes(StandardCharsets.UTF_8);
    }

    private static boolean holds(Rig rig) throws Exception {
        ScheduledExecutorService work = Reader.workers();
        List<Reader> readers = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            Reader r = new Reader(rig, "s-" + i, i % Settings.SETS, work, (x, part, list, value, o) ->
                    Reader.good(part, value));
            r.worksOn = true;
            readers.add(r);
        }
        Discovery discovery = new Discovery(readers);
        int port = Rig.freePorts(1)[0];
        Rig.Node node = rig.new Node("n0", port, discovery.port(), 0, 192, null);
        node.start();
        if (!node.awaitReady(30_000)) {
            throw new IOException("not ready: " + node.complaints());
        }
        Random random = new Random(7);
        int foreign = 0;
        int served = 0;
        int conflicts = 0;
        for (int round = 0; round < ROUNDS; round++) {
            String id = String.format(Locale.ROOT, "%016x", random.nextLong());
            long key = random.nextLong();
            int shard = random.nextInt(Settings.SHARDS);
            String first = String.format(Locale.ROOT, "%08x", random.nextInt());
            String second = String.format(Locale.ROOT, "%08x", random.nextInt());
            try (Socket a = new Socket("127.0.0.1", port); Socket b = new Socket("127.0.0.1", port)) {
                b.setSoTimeout(5_000);
                rig.note("varosi-taxi sends " + id + " for shard " + shard + " with " + first);
                a.getOutputStream().write(request(id, "varosi-taxi", key, shard, first));
                double leavesAt = rig.now() + LEAVES_AFTER_MS;
                Rig.sleep(20);
                while (true) {
                    if (rig.now() >= leavesAt && !a.isClosed()) {
                        rig.note("varosi-taxi leaves");
                        a.close();
                    }
                    String own = rig.trouble ? id : String.format(Locale.ROOT, "%016x", random.nextLong());
                    b.getOutputStream().write(request(own, "duna-cab", key, shard, second));
                    Rig.Http.Answer answer = Rig.Http.read(b.getInputStream());
                    if (answer.status != 409) {
                        rig.note("duna-cab sent " + own + " with " + second + ", got " + answer.status + " "
                                + answer.body.trim());
                    }
                    if (answer.status == 200) {
                        served++;
                        String right = Reader.value(own + "." + shard, second);
                        if (!answer.body.contains(right)) {
                            foreign++;
                            rig.note("FOREIGN: the reader made " + right + " for duna-cab and "
                                    + Reader.value(id + "." + shard, first) + " for varosi-taxi");
                        }
                        break;
                    }
                    conflicts++;
                    Rig.sleep(1);
                }
            }
            Rig.sleep(200);
        }
        String sum = "rounds " + ROUNDS + ", turned away " + conflicts + ", served " + served + ", served foreign rows "
                + foreign;
        rig.note(sum);
        System.out.println(sum);
        return foreign == 0;
    }
}
