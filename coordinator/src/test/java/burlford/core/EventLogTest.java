package burlford.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

class EventLogTest {

    private final List<String> lines = new ArrayList<>();
    private long now;

    /** Guards against a log that floods under overload, and against one that hides that lines are missing. */
    @Test
    void eventsOverTheLimitAreCountedInsteadOfLogged() {
        Logger logger = Logger.getLogger(EventLogTest.class.getName());
        logger.setUseParentHandlers(false);
        logger.addHandler(new Handler() {
            @Override
            public void publish(LogRecord line) {
                lines.add(line.getMessage());
            }

            @Override
            public void flush() { }

            @Override
            public void close() { }
        });
        EventLog events = new EventLog(EventLogTest.class, () -> now);
        for (int i = 0; i < EventLog.MAX_EVENTS_PER_SECOND + 3; i++) {
            events.log("query", i);
        }
        assertThat(lines).hasSize(EventLog.MAX_EVENTS_PER_SECOND).startsWith("query 0");
        now += 1_000_000;
        events.log("query", "next");
        assertThat(lines).endsWith("3 further events were not logged", "query next");
    }
}
