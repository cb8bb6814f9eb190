import java.util.List;

/** A member of the store is killed and started again, behind many acknowledged writes of the inventory. */
final class RestartOfMember {

    private static final int WRITES = 520;
    private static final int VARIABLES_PER_HOST = 62;
    /** The pages want the state back within 5 s, and a coordinator ready within 30 s: the longer of the two. */
    private static final long BACK_WITHIN_MS = 30_000;

    private RestartOfMember() { }

    public static void main(String[] args) {
        Rig.main(args, RestartOfMember::holds);
    }

    private static boolean holds(Rig rig) throws Exception {
        StoreCluster store = new StoreCluster(rig, 192);
        int leader = store.awaitLeader(30_000);
        store.write(leader, WRITES, VARIABLES_PER_HOST);
        int killed = (leader + 1) % StoreCluster.MEMBERS;
        if (!store.hasState(killed, 10_000)) {
            throw new java.io.IOException("the writes do not reach the member that is to be killed");
        }
        if (rig.trouble) {
            store.nodes.get(killed).kill();
            store.nodes.get(killed).start();
        }
        boolean holds = store.hasState(killed, BACK_WITHIN_MS);
        if (!holds) {
            List<String> log = store.nodes.get(killed).complaints();
            rig.note("log of n" + killed + ": " + log);
            System.out.println("member n" + killed + " did not come back: " + log);
        }
        return holds;
    }
}
