import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Three coordinators that keep the store together, as README's "The store" starts them, each with its own folder. */
final class StoreCluster {

    final Rig rig;
    final List<Rig.Coordinator> members = new ArrayList<>();
    final int[] admin = new int[3];
    final int[] peers = new int[3];

    StoreCluster(Rig rig, String configuration, String operatorRest) throws IOException {
        this.rig = rig;
        int[] ports = Rig.freePorts(9);
        StringBuilder store = new StringBuilder("store:\n  directory: state\n  members:\n");
        for (int i = 0; i < 3; i++) {
            peers[i] = ports[3 + i];
            admin[i] = ports[6 + i];
            store.append("    n").append(i + 1).append(": {peers: \"127.0.0.1:").append(peers[i])
                    .append("\", admin: \"127.0.0.1:").append(admin[i]).append("\"}\n");
        }
        for (int i = 0; i < 3; i++) {
            members.add(rig.new Coordinator("n" + (i + 1), ports[i],
                    configuration.replace("\"position\": 0", "\"position\": " + i), operatorRest + store));
        }
    }

    void start() throws IOException {
        for (Rig.Coordinator c : members) {
            c.start();
        }
    }

    /** The number of the member that all asked members name as leader; waits for it. */
    int awaitLeader(int seconds, int... asked) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < until) {
            String named = null;
            boolean agreed = true;
            for (int m : asked) {
                String l = leaderAt(m);
                agreed &= l != null && (named == null || named.equals(l));
                named = l;
            }
            if (agreed && named != null) {
                rig.note("the store's leader is " + named);
                return Integer.parseInt(named.substring(1)) - 1;
            }
            Thread.sleep(100);
        }
        throw new Rig.CannotRun("the store has no leader");
    }

    String leaderAt(int member) {
        try {
            String body = Rig.Http.call(admin[member], "GET /store HTTP/1.1", "", 1000).body;
            int at = body.indexOf("\"leader\":\"");
            return at < 0 ? null : body.substring(at + 10, body.indexOf('"', at + 10));
        } catch (IOException e) {
            return null;
        }
    }

    /** The version of a key at a member; -1 where it does not answer or has none. */
    long version(int member, String key) {
        try {
            String body = Rig.Http.call(admin[member], "GET /store HTTP/1.1", "", 1000).body;
            int at = body.indexOf("\"" + key + "\":");
            if (at < 0) {
                return -1;
            }
            String digits = body.substring(at + key.length() + 3).replaceFirst("^(\\d+)[\\s\\S]*$", "$1");
            return Long.parseLong(digits);
        } catch (IOException e) {
            return -1;
        }
    }

    void awaitVersion(int member, String key, long least, int seconds) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (version(member, key) < least) {
            if (System.nanoTime() > until) {
                throw new Rig.CannotRun("n" + (member + 1) + " does not have " + key + " at version " + least);
            }
            Thread.sleep(50);
        }
    }
}
