package burlford.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlford.FreePorts;
import burlford.core.Timers;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Three members on loopback, on one event loop that the test runs by hand. */
class ReplicatedStoreTest {

    private static final long TIMEOUT_S = 60;
    private static final StoreLimits LIMITS = new StoreLimits(1 << 20, 1 << 16);
    private static final int LONG_VALUE_CHARACTERS = 60_000;
    private static final int WRITES = 100;
    private static final int VERSIONS = 5;

    @TempDir
    private Path directory;
    private final ManualIoEventLoop loop = new ManualIoEventLoop(Thread.currentThread(), NioIoHandler.newFactory());
    private final Timers timers = new Timers();
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final Map<String, ReplicatedStore> runningStores = new LinkedHashMap<>();
    /** By member: what its watchers have been told of since it was started. */
    private final Map<String, List<Long>> reportedVersions = new HashMap<>();

    @BeforeEach
    void start() throws IOException {
        for (String name : new String[] {"a", "b", "c"}) {
            addresses.put(name, new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.take(1).get(0)));
        }
        for (String name : addresses.keySet()) {
            start(name);
        }
    }

    @AfterEach
    void stop() {
        runningStores.values().forEach(ReplicatedStore::close);
        runEventLoop();
    }

    private void start(String name) throws IOException {
        ReplicatedStore store = new ReplicatedStore(loop, new Bootstrap().group(loop).channel(NioSocketChannel.class),
                timers, () -> System.nanoTime() / 1000, name, directory, addresses, LIMITS);
        List<Long> versions = new ArrayList<>();
        reportedVersions.put(name, versions);
        store.watch((key, entry) -> versions.add(entry.version()));
        ChannelFuture bound = store.start(new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class),
                addresses.get(name));
        await(bound::isDone);
        assertThat(bound.isSuccess()).isTrue();
        runningStores.put(name, store);
    }

    private void stop(String name) {
        runningStores.remove(name).close();
        runEventLoop();
    }

    private void runEventLoop() {
        loop.run(5_000_000);
        timers.runDue(System.nanoTime() / 1000);
    }

    private void await(BooleanSupplier condition) {
        long deadlineNs = System.nanoTime() + TIMEOUT_S * 1_000_000_000;
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("waited too long").isLessThan(deadlineNs);
            runEventLoop();
        }
    }

    /** Waits until all running members agree on a leader that is running, and returns its name. */
    private String leader() {
        String[] leader = new String[1];
        await(() -> {
            leader[0] = runningStores.values().iterator().next().leader();
            return leader[0] != null && runningStores.containsKey(leader[0])
                    && runningStores.values().stream().allMatch(s -> leader[0].equals(s.leader()));
        });
        return leader[0];
    }

    private Store.WriteResult put(String member, long expectedVersion, String value) {
        Store.WriteResult[] result = new Store.WriteResult[1];
        runningStores.get(member).put("k", expectedVersion, value, w -> result[0] = w);
        await(() -> result[0] != null);
        return result[0];
    }

    private void awaitEverywhere(long version, String value) {
        await(() -> runningStores.values().stream().allMatch(s -> new Store.Entry(version, value).equals(s.get("k"))));
    }

    private String follower(String leader) {
        return runningStores.keySet().stream().filter(m -> !m.equals(leader)).findFirst().orElseThrow();
    }

    @Test
    void writesReachAllMembersAndStaleWritesAreRejected() {
        String leader = leader();
        assertThat(put(leader, 0, "one")).isEqualTo(new Store.WriteResult(Store.Outcome.STORED, 1, ""));
        awaitEverywhere(1, "one");
        assertThat(put(leader, 0, "other").outcome()).isEqualTo(Store.Outcome.STALE);
        assertThat(put(leader, 1, "two").version()).isEqualTo(2);
        awaitEverywhere(2, "two");
    }

    @Test
    void newLeaderIsElectedWhenLeaderIsLostAndLaggingMemberCatchesUp() throws IOException {
        String first = leader();
        put(first, 0, "one");
        awaitEverywhere(1, "one");
        stop(first);
        String second = leader();
        assertThat(second).isNotEqualTo(first);
        assertThat(put(second, 1, "two").version()).isEqualTo(2);
        start(first);
        awaitEverywhere(2, "two");
    }

    @Test
    void writesAreRefusedWithoutMajority() {
        String leader = leader();
        put(leader, 0, "one");
        awaitEverywhere(1, "one");
        stop(follower(leader));
        stop(follower(leader));
        assertThat(put(leader, 1, "two").outcome()).isEqualTo(Store.Outcome.REFUSED);
        assertThat(runningStores.get(leader).get("k")).as("reads go on").isEqualTo(new Store.Entry(1, "one"));
    }

    @Test
    void incompleteLastRecordIsTruncatedAndDamageElsewherePreventsStart() throws IOException {
        String leader = leader();
        put(leader, 0, "one");
        awaitEverywhere(1, "one");
        String torn = follower(leader);
        stop(torn);
        Path log = directory.resolve(torn + ".log");
        Files.write(log, new byte[] {0, 0, 0, 99, 1, 2, 3, 4, 5}, StandardOpenOption.APPEND);
        start(torn);
        assertThat(put(leader(), 1, "two").version()).isEqualTo(2);
        awaitEverywhere(2, "two");
        stop(torn);
        ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(log));
        Files.write(log, bytes.put(20, (byte) ~bytes.get(20)).array());
        assertThatThrownBy(() -> start(torn)).isInstanceOf(IOException.class).hasMessageContaining("damaged at byte 0");
    }

    /** Guards against a log without a bound in bytes, which outgrows the memory with which a member starts again. */
    @Test
    void logIsCompactedByItsLengthWhetherOrNotAMemberLags() throws IOException {
        String leader = leader();
        String lagging = follower(leader);
        String value = "v".repeat(LONG_VALUE_CHARACTERS);
        assertThat(put(leader, 0, value).outcome()).isEqualTo(Store.Outcome.STORED);
        stop(lagging);
        for (int i = 1; i < WRITES; i++) {
            assertThat(put(leader, i, value + i).outcome()).isEqualTo(Store.Outcome.STORED);
        }
        start(lagging);
        awaitEverywhere(WRITES, value + (WRITES - 1));
        for (String member : addresses.keySet()) {
            // The entries up to the limit, those kept for a member that lags, and a snapshot of one value.
            assertThat(Files.size(directory.resolve(member + ".log"))).isLessThan(LIMITS.logBytes()
                    + (ReplicatedStore.MAX_ENTRIES_PER_MESSAGE + 2) * LONG_VALUE_CHARACTERS);
            stop(member);
        }
        for (String member : addresses.keySet()) {
            start(member);
        }
        leader();
        awaitEverywhere(WRITES, value + (WRITES - 1));
    }

    /** Guards against a text that can be neither logged nor sent, behind which nothing is written any more. */
    @Test
    void textThatCannotBeEncodedIsRefusedAndTheNextIsWritten() {
        String leader = leader();
        assertThat(put(leader, 0, "half of a pair: \ud800").outcome()).isEqualTo(Store.Outcome.REFUSED);
        assertThat(put(leader, 0, "whole: \ud83d\ude95").outcome()).isEqualTo(Store.Outcome.STORED);
        awaitEverywhere(1, "whole: \ud83d\ude95");
    }

    /** Guards against settings and lists that were replaced long ago and are in force again while a log is replayed. */
    @Test
    void watchersOfARestartedMemberAreToldOfTheNewestStateAlone() throws IOException {
        String leader = leader();
        String restarted = follower(leader);
        for (int i = 0; i < VERSIONS; i++) {
            assertThat(put(leader, i, "v" + i).outcome()).isEqualTo(Store.Outcome.STORED);
        }
        awaitEverywhere(VERSIONS, "v" + (VERSIONS - 1));
        stop(restarted);
        put(leader, VERSIONS, "written while it was down");
        start(restarted);
        await(() -> !reportedVersions.get(restarted).isEmpty());
        stop(leader);
        start(leader);
        await(() -> !reportedVersions.get(leader).isEmpty());
        awaitEverywhere(VERSIONS + 1, "written while it was down");
        assertThat(reportedVersions.get(restarted)).containsExactly(VERSIONS + 1L);
        assertThat(reportedVersions.get(leader)).containsExactly(VERSIONS + 1L);
        assertThat(put(leader(), VERSIONS + 1, "next").outcome()).isEqualTo(Store.Outcome.STORED);
        await(() -> reportedVersions.get(restarted).equals(List.of(VERSIONS + 1L, VERSIONS + 2L)));
    }

    /** A member that finds no majority has the last state of its own log, and the current one once there is one. */
    @Test
    void memberWithoutMajorityHasItsLastKnownState() throws IOException {
        String leader = leader();
        for (int i = 0; i < VERSIONS; i++) {
            put(leader, i, "v" + i);
        }
        awaitEverywhere(VERSIONS, "v" + (VERSIONS - 1));
        List<String> members = List.copyOf(runningStores.keySet());
        members.forEach(this::stop);
        start(members.get(0));
        boolean[] done = new boolean[1];
        runningStores.get(members.get(0)).reportLastKnown(() -> done[0] = true);
        await(() -> done[0]);
        assertThat(reportedVersions.get(members.get(0))).containsExactly((long) VERSIONS);
        assertThat(runningStores.get(members.get(0)).isCurrent()).isFalse();
        start(members.get(1));
        await(() -> runningStores.values().stream().allMatch(ReplicatedStore::isCurrent));
        assertThat(reportedVersions.get(members.get(0))).containsExactly((long) VERSIONS, (long) VERSIONS);
    }

    /** The same where the log has a snapshot, and entries behind it. */
    @Test
    void memberWithoutMajorityHasItsLastKnownStateBehindASnapshot() throws IOException {
        String leader = leader();
        String value = "v".repeat(LONG_VALUE_CHARACTERS);
        for (int i = 0; i < WRITES; i++) {
            assertThat(put(leader, i, value + i).outcome()).isEqualTo(Store.Outcome.STORED);
        }
        awaitEverywhere(WRITES, value + (WRITES - 1));
        List.copyOf(runningStores.keySet()).forEach(this::stop);
        assertThat(Files.size(directory.resolve(leader + ".log"))).as("compacted")
                .isLessThan((long) WRITES * LONG_VALUE_CHARACTERS / 2);
        start(leader);
        boolean[] done = new boolean[1];
        runningStores.get(leader).reportLastKnown(() -> done[0] = true);
        await(() -> done[0]);
        assertThat(reportedVersions.get(leader)).containsExactly((long) WRITES);
    }
}
