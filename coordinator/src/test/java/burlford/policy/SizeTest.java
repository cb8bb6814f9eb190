package burlford.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The users' limits on the module's text. */
class SizeTest {

    @Test
    void moduleFitsTheLimits() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/burlford/policy/Decide.java"));
        long count = lines.stream().filter(l -> !l.isBlank()).count();
        assertTrue(count <= 1010, "the module has " + count + " lines");
        for (String line : lines) {
            assertTrue(line.length() <= 110, "longer than 110 characters: " + line);
        }
        assertTrue(String.join("\n", lines.subList(0, 30)).contains("Aggregator.java"), "names its interface");
    }
}
