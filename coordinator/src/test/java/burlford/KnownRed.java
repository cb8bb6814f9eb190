package burlford;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * The tests that KNOWN-RED.txt lists: they fail over a fault that is known and not mended yet, and a run passes over
 * exactly these and prints each. {@code -DknownRed=run} runs them all the same.
 */
public final class KnownRed implements ExecutionCondition {

    private static final Path FILE = Path.of("..", "KNOWN-RED.txt");
    private static final Set<String> NAMES = names();
    private static final ConditionEvaluationResult RUN = ConditionEvaluationResult.enabled("not a known failure");

    /** Whether a run passes over this test. An entry begins with the test's name, up to the first {@code " | "}. */
    public static boolean shouldSkip(String test) {
        boolean listed = NAMES.contains(test) && !"run".equals(System.getProperty("knownRed"));
        if (listed) {
            System.out.println("known red, not run: " + test);
        }
        return listed;
    }

    @Override
    public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
        return context.getTestMethod()
                .map(m -> m.getDeclaringClass().getSimpleName() + "#" + m.getName())
                .filter(KnownRed::shouldSkip)
                .map(name -> ConditionEvaluationResult.disabled("listed in KNOWN-RED.txt"))
                .orElse(RUN);
    }

    private static Set<String> names() {
        try {
            List<String> lines = Files.exists(FILE) ? Files.readAllLines(FILE) : List.of();
            return lines.stream().filter(l -> !l.isBlank() && !l.startsWith("#"))
                    .map(l -> l.split(" \\| ")[0].trim()).collect(Collectors.toSet());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
