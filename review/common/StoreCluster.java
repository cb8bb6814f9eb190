import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Three coordinators that are the members of one replicated store and take their readers from its inventory. */
final class StoreCluster {

    static final int MEMBERS = 3;

    final List<Rig.Node> nodes = new ArrayList<>();
    private final Rig rig;
    private final int[] admin = new int[MEMBERS];
    private final List<Reader> readers;
    /** What the last acknowledged write of the inventory wrote, and its version. */
    String inventory;
    long version;

    StoreCluster(Rig rig, int memoryMb) throws Exception {
        this.rig = rig;
        readers = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            readers.add(new Reader(rig, "s-" + i, i % Settings.SETS, Reader.workers(), (r, part, list, value, o) ->
                    Reader.good(part, value)));
        }
        int[] ports = Rig.freePorts(3 * MEMBERS);
        StringBuilder operator = new StringBuilder("store:\n  directory: state\n  members:\n");
        for (int i = 0; i < MEMBERS; i++) {
            admin[i] = ports[2 * MEMBERS + i];
            operator.append(String.format(Locale.ROOT,
                    "    n%d: {peers: \"127.0.0.1:%d\", admin: \"127.0.0.1:%d\"}%n", i, ports[MEMBERS + i], admin[i]));
        }
        for (int i = 0; i < MEMBERS; i++) {
            nodes.add(rig.new Node("n" + i, ports[i], 0, i, memoryMb, operator.toString()));
            nodes.get(i).start();
        }
    }

    /** The inventory as a configuration tool keeps it: twelve hosts, each with many variables. */
    String makeInventory(int revision, int variablesPerHost) {
        StringBuilder text = new StringBuilder("all:\n  vars: {zone: angyalfold-room}\n  hosts:\n");
        for (Reader r : readers) {
            text.append(String.format(Locale.ROOT, "    %s:%n      ansible_host: 127.0.0.1%n"
                    + "      ansible_port: %d%n      cell: %d%n      inventory_revision: %d%n", r.id, r.port(), r.cell,
                    revision));
            for (int v = 0; v < variablesPerHost; v++) {
                text.append(String.format(Locale.ROOT, "      os_setting_%03d: value-%08x-%08x%n", v,
                        (r.id + v).hashCode(), revision));
            }
        }
        return text.toString();
    }

    /** Which member leads, as the members that answer say; -1: they do not agree on one. */
    int leader() {
        String named = null;
        for (int i = 0; i < MEMBERS; i++) {
            try {
                Matcher m = Pattern.compile("\"leader\":\"(n[0-9])\"")
                        .matcher(Rig.Http.get(admin[i], "/store", 2_000).body);
                if (!m.find() || named != null && !named.equals(m.group(1))) {
                    return -1;
                }
                named = m.group(1);
            } catch (IOException e) {
                if (nodes.get(i).process.isAlive()) {
                    return -1;
                }
            }
        }
        return named == null ? -1 : named.charAt(1) - '0';
    }

    int awaitLeader(long ms) throws IOException {
        long until = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < until) {
            int leader = leader();
            if (leader >= 0) {
                rig.note("member n" + leader + " leads the store");
                return leader;
            }
            Rig.sleep(200);
        }
        throw new IOException("no leader: " + nodes.get(0).complaints());
    }

    /** Writes the inventory some times, and expects each write to be acknowledged. */
    void write(int leader, int times, int variablesPerHost) throws IOException {
        for (int i = 0; i < times; i++) {
            String text = makeInventory((int) version + 1, variablesPerHost);
            Rig.Http.Answer a = Rig.Http.put(admin[leader], "/store/inventory?from=" + version, text, 15_000);
            for (int retry = 0; a.status == 503 && retry < 50; retry++) {
                Rig.sleep(100); // a new leader refuses writes until its term has begun for a majority
                a = Rig.Http.put(admin[leader], "/store/inventory?from=" + version, text, 15_000);
            }
            if (a.status != 200) {
                throw new IOException("a write was answered with " + a.status + " " + a.body);
            }
            inventory = text;
            version++;
            if (i == 0 || i == times - 1 || version % 50 == 0) {
                rig.note("the write that makes version " + version + " of the inventory (" + text.length()
                        + " bytes) is acknowledged by n" + leader);
            }
        }
    }

    /** Whether the member gives the last acknowledged inventory and is ready to serve, within the time. */
    boolean hasState(int member, long ms) {
        long began = System.nanoTime();
        String last = "";
        while (System.nanoTime() - began < ms * 1_000_000) {
            try {
                Rig.Http.Answer a = Rig.Http.get(admin[member], "/store/inventory", 2_000);
                int ready = Rig.Http.get(nodes.get(member).port, "/healthz", 2_000).status;
                last = "GET /store/inventory " + a.status + " version " + a.headers.get("etag") + ", GET /healthz "
                        + ready;
                if (a.status == 200 && a.body.equals(inventory) && ready == 200) {
                    rig.note("member n" + member + " has version " + version + " and is ready after "
                            + (System.nanoTime() - began) / 1_000_000 + " ms");
                    return true;
                }
            } catch (IOException e) {
                last = e.getMessage();
            }
            if (!nodes.get(member).process.isAlive()) {
                rig.note("the process of member n" + member + " has ended with status "
                        + nodes.get(member).process.exitValue());
                return false;
            }
            Rig.sleep(100);
        }
        rig.note("member n" + member + " does not have version " + version + " after " + ms + " ms: " + last);
        return false;
    }
}
