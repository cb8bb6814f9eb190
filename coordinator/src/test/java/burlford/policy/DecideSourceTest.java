package burlford.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks the source of the decision module: no line is too long, and the head of Decide.java names its interface. */
class DecideSourceTest {

    private static final Path SOURCE_DIRECTORY = Path.of("src/main/java/burlford/policy");
    private static final int MAX_LINE_LENGTH = 110;
    private static final int HEAD_LINES = 30;

    @Test
    void linesAreShortAndTheHeadNamesTheInterface() throws IOException {
        try (Stream<Path> files = Files.list(SOURCE_DIRECTORY)) {
            for (Path file : files.filter(f -> f.getFileName().toString().startsWith("Decide")).toList()) {
                assertThat(Files.readAllLines(file)).as(file.toString()).allMatch(l -> l.length() <= MAX_LINE_LENGTH);
            }
        }
        List<String> head = Files.readAllLines(SOURCE_DIRECTORY.resolve("Decide.java")).subList(0, HEAD_LINES);
        assertThat(String.join("\n", head)).contains("Aggregator.java");
    }
}
