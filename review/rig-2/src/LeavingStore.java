import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The three members of a store are restarted as planned. Is a write that comes on an open connection answered? */
final class LeavingStore {

    /** As long as the store command waits. */
    private static final int LONGEST_WAIT_MS = 15_000;

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments[0], LeavingStore::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        Map<Rig.Reader, Integer> readers = new LinkedHashMap<>();
        for (int cell = 0; cell < 3; cell++) {
            for (int copy = 0; copy < 2; copy++) {
                readers.put(new Rig.Reader(rig, "reader-" + cell + copy, Rig.Part::answerWhole), cell);
            }
        }
        StoreCluster store = new StoreCluster(rig, rig.exampleConfiguration(),
                "inventory: " + rig.inventory(readers) + "\n");
        store.start();
        for (Rig.Coordinator c : store.members) {
            c.awaitHealthy(20);
        }
        int leader = store.awaitLeader(20, 0, 1, 2);
        store.awaitVersion(leader, "readers", 1, 10);
        boolean held;
        try (Socket operator = new Socket("127.0.0.1", store.admin[leader])) {
            operator.setSoTimeout(LONGEST_WAIT_MS);
            Rig.Http before = put(operator, "note-1");
            rig.note("put note-1 from 0 on the operator's connection: " + before.status + " " + before.body.trim());
            if (before.status != 200) {
                throw new Rig.CannotRun("the store takes no write");
            }
            if (trouble) {
                for (Rig.Coordinator c : store.members) {
                    c.signal("TERM");
                }
            }
            Thread.sleep(1500);
            double sentAt = rig.seconds();
            try {
                Rig.Http h = put(operator, "note-2");
                rig.note("put note-2 from 0 on the same connection, 1.5 s later: " + h.status + " " + h.body.trim());
                held = true;
            } catch (IOException e) {
                rig.note("put note-2 from 0 on the same connection, 1.5 s later: no answer; after "
                        + Math.round((rig.seconds() - sentAt) * 1000) + " ms: " + e);
                held = false;
            }
        }
        if (trouble) {
            Rig.Coordinator last = store.members.get(leader);
            last.process.waitFor(6, TimeUnit.SECONDS);
            rig.note(last.name + (last.process.isAlive() ? " still runs" : " has left with status "
                    + last.process.exitValue()));
        }
        return held;
    }

    private static Rig.Http put(Socket operator, String key) throws IOException {
        String value = "gate 4 is closed";
        OutputStream out = operator.getOutputStream();
        out.write(("PUT /store/" + key + "?from=0 HTTP/1.1\r\nHost: store\r\nContent-Length: " + value.length()
                + "\r\n\r\n" + value).getBytes(StandardCharsets.US_ASCII));
        out.flush();
        return Rig.Http.read(operator.getInputStream());
    }
}
