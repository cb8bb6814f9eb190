package burlford.play;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Members of a store that start again: from their first answer to a client on they work by the store's state. */
class StoreRecoveryTest {

    private static final List<String> THREE = List.of("n1", "n2", "n3");
    private static final int INVENTORIES = 3;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;

    /** Stores settings in which a class has another name, so that an answer shows which settings are in force. */
    private static void rename(StoreMembers members, String leader, String from, String to, long version)
            throws IOException, InterruptedException {
        members.running().get(leader).awaitLog("store: configuration is at version " + version);
        String settings = members.get(leader, "/store/configuration").body();
        assertThat(members.put(leader, "configuration", version, settings.replace(from, to)).statusCode())
                .isEqualTo(200);
    }

    private static String ask(CoordinatorProcess member, String path, String queryClass) throws IOException,
            InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + member.port("platform")
                + path));
        if (queryClass != null) {
            request.header("Req-Id", "q").header("Req-Kind", queryClass).header("Req-Owner", "duna-cab")
                    .header("Req-Deadline-Ms", "1000")
                    .POST(BodyPublishers.ofString("{\"parts\":[{\"id\":0}],\"expr\":\"e\"}"));
        }
        var answer = HttpClient.newHttpClient().send(request.build(), BodyHandlers.ofString());
        return answer.statusCode() == BAD_REQUEST ? BAD_REQUEST + " " + answer.body() : answer.body();
    }

    /** The first request that a member answers since its start is one for a class of the store's settings. */
    private static void assertServesByTheStore(CoordinatorProcess member, String queryClass) throws IOException,
            InterruptedException {
        assertThat(ask(member, "/api/a", queryClass)).as(member.log()).doesNotStartWith("400 ");
    }

    /** Guards against a fragile part that runs twice, since a member serves by its file's settings behind a start. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void restartedMemberServesByTheStoresSettings(int cores, @TempDir Path directory) throws Exception {
        try (StoreMembers members = new StoreMembers(directory, Map.of(), THREE, "cores: " + cores + "\n")) {
            String leader = members.awaitLeader("");
            rename(members, leader, "car-lookup", "second", 1);
            String follower = members.otherThan(leader);
            members.kill(follower);
            rename(members, leader, "second", "third", 2);
            members.start(follower);
            assertServesByTheStore(members.running().get(follower), "third");
            members.kill(leader);
            members.start(leader);
            assertServesByTheStore(members.running().get(leader), "third");
        }
    }

    /** Guards against the same where no other member is left that could tell the settings. */
    @Test
    void memberWithoutMajorityServesByTheLastSettingsInItsLog(@TempDir Path directory) throws Exception {
        try (StoreMembers members = new StoreMembers(directory, Map.of(), THREE)) {
            String leader = members.awaitLeader("");
            rename(members, leader, "car-lookup", "second", 1);
            for (String name : THREE) {
                members.kill(name);
            }
            members.start(leader);
            assertServesByTheStore(members.running().get(leader), "second");
            members.running().get(leader).awaitLog("store: no majority within 5,000 ms");
            assertThat(members.get(leader, "/store/configuration").statusCode()).isEqualTo(UNAVAILABLE);
        }
    }

    /** Guards against inventories that were replaced long ago and are in force again, one after the other. */
    @Test
    void restartedMemberTakesTheNewestInventoryAlone(@TempDir Path directory) throws Exception {
        try (StoreMembers members = new StoreMembers(directory, Map.of(), List.of("n1"))) {
            members.awaitLeader("");
            for (int i = 0; i < INVENTORIES; i++) {
                assertThat(members.put("n1", "inventory", i, "id,ansible_host,ansible_port,cell\nr" + i
                        + ",127.0.0.1,9,0\n").statusCode()).isEqualTo(200);
            }
            members.kill("n1");
            members.start("n1");
            assertThat(ask(members.running().get("n1"), "/counters", null)).contains("lists.whole 1\n");
        }
    }

    /** Guards against a member that does not leave in time while it waits for the others. */
    @Test
    void memberThatWaitsForAMajorityLeavesWhenTold(@TempDir Path directory) throws Exception {
        try (StoreMembers members = new StoreMembers(directory, Map.of(), THREE)) {
            members.awaitLeader("");
            for (String name : THREE) {
                members.kill(name);
            }
            members.start("n1");
            CoordinatorProcess waiting = members.running().get("n1");
            waiting.port("store");
            waiting.terminate();
            assertThat(waiting.awaitExit()).isZero();
            assertThat(waiting.log()).doesNotContain("serves platform").doesNotContain("no majority");
        }
    }
}
