package burlford.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The text of the decision modules: no line is too long, and the main one names its interface. */
class DecideSourceTest {

    private static final Path MODULES = Path.of("src/main/java/burlford/policy");
    private static final int LONGEST_LINE = 110;
    private static final int HEAD_LINES = 30;

    @Test
    void linesAreShortAndTheInterfaceIsNamed() throws IOException {
        try (Stream<Path> files = Files.list(MODULES)) {
            for (Path file : files.filter(f -> f.getFileName().toString().startsWith("Decide")).toList()) {
                assertThat(Files.readAllLines(file)).as(file.toString())
                        .allMatch(l -> l.length() <= LONGEST_LINE);
            }
        }
        List<String> head = Files.readAllLines(MODULES.resolve("Decide.java")).subList(0, HEAD_LINES);
        assertThat(String.join("\n", head)).contains("Aggregator.java");
    }
}
