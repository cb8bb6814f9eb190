import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The settings in the store allow one attempt a part; does a member that was killed and started again keep to that? */
final class RestartSettings {

    private static final int QUERIES = 40;

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments[0], RestartSettings::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        Map<String, List<String>> sent = new ConcurrentHashMap<>();
        Map<Rig.Reader, Integer> readers = new LinkedHashMap<>();
        for (int cell = 0; cell < 3; cell++) {
            for (int copy = 0; copy < 2; copy++) {
                String name = "reader-" + cell + copy;
                // A reader that reports an error for shard 0: the part may have run.
                readers.put(new Rig.Reader(rig, name, part -> {
                    sent.computeIfAbsent(part.id, i -> java.util.Collections.synchronizedList(new ArrayList<>()))
                            .add(name);
                    rig.note("part " + part.id + " at " + name);
                    if (part.shard == 0) {
                        part.answer(500, "");
                    } else {
                        part.answerWhole();
                    }
                }), cell);
            }
        }
        String configuration = rig.exampleConfiguration();
        StoreCluster store = new StoreCluster(rig, configuration, "inventory: " + rig.inventory(readers) + "\n");
        store.start();
        for (Rig.Coordinator c : store.members) {
            c.awaitHealthy(20);
        }
        int leader = store.awaitLeader(20, 0, 1, 2);
        store.awaitVersion(leader, "configuration", 1, 10);
        String settings = Rig.settingsOf(configuration).replace("\"effect\": \"retryable\"", "\"effect\": \"fragile\"");
        Rig.Http put = Rig.put(store.admin[leader], "configuration", 1, settings, 12_000);
        rig.note("store put configuration from 1, every class fragile: " + put.status + " " + put.body.trim());
        if (put.status != 200) {
            throw new Rig.CannotRun("the settings were not stored");
        }
        for (int m = 0; m < 3; m++) {
            store.awaitVersion(m, "configuration", 2, 10);
        }
        int restarted = (leader + 1) % 3;
        Rig.Coordinator member = store.members.get(restarted);
        Thread.sleep(500);
        ask(rig, member, "before", 5);
        if (trouble) {
            member.kill();
            member.start();
            member.awaitHealthy(20);
        }
        ask(rig, member, "after", QUERIES);
        boolean held = true;
        for (Map.Entry<String, List<String>> e : sent.entrySet()) {
            if (e.getValue().size() > 1) {
                rig.note("part " + e.getKey() + " of a fragile class was sent " + e.getValue().size() + " times: "
                        + e.getValue());
                held = false;
            }
        }
        return held;
    }

    private static void ask(Rig rig, Rig.Coordinator member, String what, int count) throws Exception {
        for (int i = 0; i < count; i++) {
            String id = what + "-" + i;
            Rig.Http h = Rig.query(member.port, id, "car-lookup", 2000, "free cars", 0, 1);
            rig.note("query " + id + ": " + h.status + " " + h.body.trim());
            Thread.sleep(100);
        }
    }
}
