package burlford.play;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Three programs, one store: a write at any of them reaches all, and outlives the one that led. */
class StoreFailoverTest {

    @Test
    void aWriteAtAnyMemberReachesAll(@TempDir Path directory) throws Exception {
        try (StoreMembers members = new StoreMembers(directory, Map.of(), List.of("n1", "n2", "n3"))) {
            String leader = members.awaitLeader("");
            String other = members.otherThan(leader);
            String inventory = "id,ansible_host,ansible_port,cell\nr1,127.0.0.1,9,0\n";
            assertThat(members.put(other, "inventory", 0, inventory).body())
                    .isEqualTo("{\"key\":\"inventory\",\"version\":1}\n");
            for (CoordinatorProcess p : members.running().values()) {
                p.awaitLog("store: inventory is at version 1");
                HttpRequest health = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + p.port("platform")
                        + "/healthz")).build();
                assertThat(HttpClient.newHttpClient().send(health, BodyHandlers.ofString()).statusCode())
                        .isEqualTo(200);
            }
            members.kill(leader);
            members.awaitLeader(leader);
            assertThat(members.put(other, "inventory", 0, "id,ansible_host,ansible_port,cell\n").statusCode())
                    .isEqualTo(409);
            assertThat(members.put(other, "inventory", 1, "id,ansible_host,ansible_port,cell\n").statusCode())
                    .isEqualTo(200);
        }
    }
}
