package burlford.play;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Members of a store are killed and started again, in an order that a seed draws, while settings are written. From its
 * first answer on each serves by the newest settings, or, where it found no majority, by none older than it had.
 */
class StoreRecoverySoakTest {

    private static final int SEEDS = Integer.getInteger("soak.stores", 1);
    private static final int FIRST = Integer.getInteger("soak.first", 1);
    private static final int ROUNDS = 4;
    private static final int MAX_DELAY_MS = 400;
    private static final int BAD_REQUEST = 400;
    private static final List<String> NAMES = List.of("n1", "n2", "n3");
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient client = HttpClient.newHttpClient();

    @Test
    void noMemberServesByOlderSettingsThanItHad() throws Exception {
        for (int seed = FIRST; seed < FIRST + SEEDS; seed++) {
            Path directory = Files.createTempDirectory("burlford-store-soak");
            Random random = new Random(seed);
            String operator = "cores: " + (1 + random.nextInt(2)) + "\n";
            try (StoreMembers members = new StoreMembers(directory, Map.of(), NAMES, operator)) {
                new Run(seed, random, members).play();
            }
        }
    }

    /** One seed. Revision r of the settings has a class with the name "r" and the number; the first has none. */
    private final class Run {
        private final int seed;
        private final Random random;
        private final StoreMembers members;
        /** The newest revision whose write was confirmed. */
        private long confirmed = 1;
        private String className = "car-lookup";

        Run(int seed, Random random, StoreMembers members) {
            this.seed = seed;
            this.random = random;
            this.members = members;
        }

        void play() throws IOException, InterruptedException {
            members.running().get(members.awaitLeader("")).awaitLog("store: configuration is at version 1");
            for (int round = 0; round < ROUNDS; round++) {
                write();
                List<String> killed = new ArrayList<>(NAMES);
                Collections.shuffle(killed, random);
                killed = killed.subList(0, 1 + random.nextInt(NAMES.size()));
                Map<String, Long> known = new HashMap<>();
                for (String name : killed) {
                    known.put(name, versionAt(name));
                    members.kill(name);
                    Thread.sleep(random.nextInt(MAX_DELAY_MS));
                }
                if (killed.size() == 1 && random.nextBoolean()) {
                    write();
                }
                Collections.shuffle(killed, random);
                for (String name : killed) {
                    members.start(name);
                    if (random.nextBoolean()) {
                        checkFirstAnswer(name, known.get(name));
                    }
                }
                for (String name : killed) {
                    checkFirstAnswer(name, known.get(name));
                }
                members.awaitLeader("");
                awaitConfirmedEverywhere();
            }
        }

        private void write() throws IOException, InterruptedException {
            String next = "r" + (confirmed + 1);
            long until = System.nanoTime() + CoordinatorProcess.TIMEOUT_MS * 1_000_000;
            while (System.nanoTime() < until) {
                String leader = members.awaitLeader("");
                HttpResponse<String> held = members.get(leader, "/store/configuration");
                if (held.body().contains("\"" + next + "\"")) {
                    break; // a write that was refused has been made
                }
                if (held.statusCode() == 200 && members.put(leader, "configuration", confirmed,
                        held.body().replace("\"" + className + "\"", "\"" + next + "\"")).statusCode() == 200) {
                    break;
                }
            }
            assertThat(versionAt(members.awaitLeader(""))).as(message("a write is confirmed"))
                    .isEqualTo(confirmed + 1);
            confirmed++;
            className = next;
        }

        private long versionAt(String name) throws IOException, InterruptedException {
            return JSON.readTree(members.get(name, "/store").body()).at("/versions/configuration").asLong(0);
        }

        private void checkFirstAnswer(String name, long known) throws IOException, InterruptedException {
            CoordinatorProcess member = members.running().get(name);
            member.port("platform");
            boolean hadMajority = !member.log().contains("store: no majority");
            long served = servedRevision(member);
            assertThat(served).as(message(name + " had " + known + ", majority " + hadMajority + "\n" + member.log()))
                    .isGreaterThanOrEqualTo(hadMajority ? confirmed : known);
        }

        /** The revision by which a member serves; a query for a class of another one is told 400. */
        private long servedRevision(CoordinatorProcess member) throws IOException, InterruptedException {
            for (long revision = confirmed; revision > 1; revision--) {
                HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + member.port("platform")
                        + "/api/a")).header("Req-Id", "q").header("Req-Kind", "r" + revision)
                        .header("Req-Owner", "duna-cab").header("Req-Deadline-Ms", "1000")
                        .POST(BodyPublishers.ofString("{\"parts\":[{\"id\":0}],\"expr\":\"e\"}")).build();
                if (client.send(request, BodyHandlers.discarding()).statusCode() != BAD_REQUEST) {
                    return revision;
                }
            }
            return 1;
        }

        private void awaitConfirmedEverywhere() throws IOException, InterruptedException {
            long until = System.nanoTime() + CoordinatorProcess.TIMEOUT_MS * 1_000_000;
            for (CoordinatorProcess member : members.running().values()) {
                while (servedRevision(member) < confirmed) {
                    assertThat(System.nanoTime()).as(message("all follow\n" + member.log())).isLessThan(until);
                    Thread.sleep(MAX_DELAY_MS);
                }
            }
        }

        private String message(String what) {
            return "seed " + seed + ", revision " + confirmed + ": " + what;
        }
    }
}
