import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A store of one member is given two more in the operator's file, and its coordinator is restarted as planned. Is what
 * it had accepted still there, and does one member lead?
 */
final class GrownStore {

    private static final int ROUNDS = 16;
    /** Two that both lead are counted only behind this many rounds of a second: an election takes its time. */
    private static final int FIRST_JUDGED_ROUND = 6;

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments[0], GrownStore::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        Map<Rig.Reader, Integer> readers = new LinkedHashMap<>();
        for (int cell = 0; cell < 3; cell++) {
            for (int copy = 0; copy < 2; copy++) {
                readers.put(new Rig.Reader(rig, "reader-" + cell + copy, Rig.Part::answerWhole), cell);
            }
        }
        int[] ports = Rig.freePorts(9);
        String one = "inventory: " + rig.inventory(readers) + "\nstore:\n  directory: state\n  members:\n"
                + member(ports, 0);
        String three = one + member(ports, 1) + member(ports, 2);
        String configuration = rig.exampleConfiguration();
        List<Rig.Coordinator> all = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            all.add(rig.new Coordinator("n" + i, ports[i],
                    configuration.replace("\"position\": 0", "\"position\": " + i), i == 0 && trouble ? one : three));
        }
        // With the trouble n0 is the only member at first; without it there are three from the start.
        for (Rig.Coordinator c : trouble ? all.subList(0, 1) : all) {
            c.start();
            c.awaitHealthy(20);
        }
        awaitStored(rig, ports, "note", "ring the quay office before closing gate 4");
        Rig.Coordinator n0 = all.get(0);
        n0.signal("TERM");
        if (!n0.process.waitFor(10, TimeUnit.SECONDS)) {
            throw new Rig.CannotRun("n0 does not leave on SIGTERM");
        }
        rig.note("n0 has left with status " + n0.process.exitValue());
        if (trouble) {
            rig.note("the operator's file now names n0, n1 and n2");
            all.set(0, rig.new Coordinator("n0", ports[0], configuration, three));
        }
        for (Rig.Coordinator c : trouble ? all : all.subList(0, 1)) {
            c.start();
        }
        for (int i = 0; i < 3; i++) {
            try {
                all.get(i).awaitHealthy(20);
            } catch (Rig.CannotRun e) {
                if (trouble && i == 0 && !all.get(0).process.isAlive() && all.get(0).process.exitValue() == 2) {
                    rig.note("n0 does not start with that file: exit status 2, as for one that cannot be used");
                    return true;
                }
                throw e;
            }
        }
        return judge(rig, ports);
    }

    private static String member(int[] ports, int i) {
        return "    n" + i + ": {peers: \"127.0.0.1:" + ports[3 + i] + "\", admin: \"127.0.0.1:" + ports[6 + i]
                + "\"}\n";
    }

    private static void awaitStored(Rig rig, int[] ports, String key, String value) throws Exception {
        for (int tries = 0; tries < 40; tries++) {
            Rig.Http h = Rig.put(ports[6], key, 0, value, 12_000);
            if (h.status == 200) {
                rig.note("store put " + key + " 0 at n0: 200 " + h.body.trim());
                return;
            }
            Thread.sleep(250); // no leader yet
        }
        throw new Rig.CannotRun("the store takes no write");
    }

    private static boolean judge(Rig rig, int[] ports) throws Exception {
        int roundsWithTwo = 0;
        for (int round = 1; round <= ROUNDS; round++) {
            Thread.sleep(1000);
            List<String> leading = new ArrayList<>();
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < 3; i++) {
                String status = status(ports[6 + i]);
                line.append(" | ").append(status);
                if (status.contains("\"leader\":\"n" + i + "\"")) {
                    leading.add("n" + i);
                }
            }
            rig.note("store status, round " + round + line);
            if (round >= FIRST_JUDGED_ROUND && leading.size() > 1) {
                roundsWithTwo++;
                rig.note("at the same time these say that they lead: " + leading);
            }
        }
        boolean held = true;
        if (roundsWithTwo > 1) {
            rig.note("two processes acted as the one leader in " + roundsWithTwo + " rounds");
            held = false;
        }
        int withNote = 0;
        for (int i = 0; i < 3; i++) {
            Rig.Http h = Rig.Http.call(ports[6 + i], "GET /store/note HTTP/1.1", "", 2000);
            rig.note("store get note at n" + i + ": " + h.status + " " + h.body.trim());
            withNote += h.status == 200 ? 1 : 0;
        }
        if (withNote < 2) {
            rig.note("the accepted write is at " + withNote + " of 3 members: no majority has it");
            held = false;
        }
        return held;
    }

    private static String status(int port) {
        try {
            return Rig.Http.call(port, "GET /store HTTP/1.1", "", 1000).body.trim();
        } catch (IOException e) {
            return e.toString();
        }
    }
}
