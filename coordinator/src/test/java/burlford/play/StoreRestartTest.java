package burlford.play;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Members of a store that have the memory of a coordinator of 192 MB and start again behind many writes. */
class StoreRestartTest {

    /** As deploy/serve has it. */
    private static final Map<String, String> MEMORY = Map.of("JAVA_TOOL_OPTIONS",
            "-Xmx64m -XX:MaxDirectMemorySize=16m");
    /** More than 16 MB of them, and fewer than lead to a snapshot by their number. */
    private static final int WRITES = 520;
    private static final int WRITES_WHILE_DOWN = 320;
    private static final int KEYS = 160;
    private static final int VALUE_CHARACTERS = 36_000;
    private static final int LONG_VALUE_CHARACTERS = 60_000;

    /** Writes a key so often, and returns its last value. */
    private static String write(StoreMembers members, String member, int times, int characters)
            throws IOException, InterruptedException {
        String value = "";
        for (int version = 0; version < times; version++) {
            value = version + "v".repeat(characters);
            assertThat(members.put(member, "note", version, value).statusCode()).isEqualTo(200);
        }
        return value;
    }

    /** Guards against a member that never starts again, since its log is longer than the memory to read it with. */
    @Test
    void memberStartsAgainBehindALongLog(@TempDir Path directory) throws Exception {
        try (StoreMembers members = new StoreMembers(directory, MEMORY, List.of("n1"))) {
            members.awaitLeader("");
            String last = write(members, "n1", WRITES, VALUE_CHARACTERS);
            members.kill("n1");
            members.start("n1");
            members.awaitValue("n1", "note", last);
            assertThat(members.put("n1", "note", WRITES, "next").statusCode()).isEqualTo(200);
        }
    }

    /** Guards against a member that does not come back since what it missed is sent to it in one message. */
    @Test
    void memberThatWasDownCatchesUp(@TempDir Path directory) throws Exception {
        try (StoreMembers members = new StoreMembers(directory, MEMORY, List.of("n1", "n2", "n3"))) {
            String leader = members.awaitLeader("");
            String follower = members.otherThan(leader);
            members.kill(follower);
            String last = write(members, leader, WRITES_WHILE_DOWN, LONG_VALUE_CHARACTERS);
            members.start(follower);
            members.awaitValue(follower, "note", last);
        }
    }

    /** Guards against a snapshot that is longer than the memory to read, send or install it with. */
    @Test
    void memberStartsAgainFromALargeState(@TempDir Path directory) throws Exception {
        try (StoreMembers members = new StoreMembers(directory, MEMORY, List.of("n1", "n2", "n3"))) {
            String leader = members.awaitLeader("");
            String follower = members.otherThan(leader);
            members.kill(follower);
            for (int i = 0; i < KEYS; i++) {
                assertThat(members.put(leader, "key" + i, 0, i + "v".repeat(LONG_VALUE_CHARACTERS)).statusCode())
                        .isEqualTo(200);
            }
            members.start(follower);
            members.awaitValue(follower, "key" + (KEYS - 1), KEYS - 1 + "v".repeat(LONG_VALUE_CHARACTERS));
            members.kill(follower);
            members.start(follower);
            members.awaitValue(follower, "key0", 0 + "v".repeat(LONG_VALUE_CHARACTERS));
            members.awaitValue(follower, "key" + (KEYS - 1), KEYS - 1 + "v".repeat(LONG_VALUE_CHARACTERS));
        }
    }
}
