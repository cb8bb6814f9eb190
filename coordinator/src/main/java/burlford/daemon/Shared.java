package burlford.daemon;

import burlford.core.Site;
import burlford.policy.Aggregator;
import burlford.settings.BadInput;
import burlford.settings.Settings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * What all loops of the process share: the clock, the configuration and settings in force, and when the process
 * stops. The thread that started the process writes it; all read it.
 */
final class Shared {

    /** After SIGTERM new connections keep coming for a while. */
    private static final long LEAST_DRAIN = 800_000;
    /**
     * Those who stop us kill us no sooner than the longest deadline and 0.7 s after SIGTERM. Until the longest
     * deadline is over we serve on the connections there are: the next coordinator may not be up yet. What comes
     * then is answered before the kill, with time to spare, whatever its client would wait.
     */
    private static final long LONGEST_SERVING = 3_000_000;
    private static final long ANSWERED_AFTER = 500_000;
    /**
     * So long before the end connections end behind their answers: one closed between requests may cross the next
     * one, and that one was lost.
     */
    private static final long HANDING_OVER = 500_000;

    /** Settings checked and read; nothing of them is in force before {@link #adopt}. */
    record Setup(Configuration configuration, Site site, Aggregator.Settings module, OperatorFile operator) { }

    /** When the process stops. From handOverAt on connections end behind their answers. */
    private record Stop(long leaveAt, long stopAt, long handOverAt, long endBy) { }

    final LongSupplier clock = startClock();
    private final Path operatorPath;
    private final byte[] operatorText;
    private volatile Setup inForce;
    private volatile Stop stop;

    Shared(Configuration configuration, Path operatorFile) throws Configuration.Bad {
        operatorPath = operatorFile;
        try {
            operatorText = operatorFile == null ? null : Files.readAllBytes(operatorFile);
        } catch (IOException e) {
            throw new Configuration.Bad(operatorFile + " cannot be read: " + e);
        }
        inForce = read(configuration);
    }

    /** What a configuration comes to. */
    Setup read(Configuration configuration) throws Configuration.Bad {
        Map<String, String> flat = configuration.flat();
        String settings = flat.entrySet().stream().map(e -> e.getKey() + "=" + e.getValue())
                .collect(Collectors.joining("\n"));
        try {
            Aggregator.Settings module = Settings.parse(settings);
            Site site = Site.of(flat);
            return new Setup(configuration, site, module, operatorText == null ? OperatorFile.NONE
                    : OperatorFile.read(operatorPath, operatorText, configuration.name(), site));
        } catch (Site.BadSetting | BadInput e) {
            throw new Configuration.Bad("settings: " + e.getMessage());
        }
    }

    void adopt(Setup setup) {
        inForce = setup;
    }

    Setup setup() {
        return inForce;
    }

    Configuration configuration() {
        return inForce.configuration();
    }

    /** Microseconds that only advance, and that began as wall clock: the list's times need no converting. */
    private static LongSupplier startClock() {
        long wall = System.currentTimeMillis() * 1000;
        long start = System.nanoTime();
        return () -> wall + (System.nanoTime() - start) / 1000;
    }

    long now() {
        return clock.getAsLong();
    }

    // ---- stopping

    void drain() {
        long now = now();
        long serving = Math.max(LEAST_DRAIN, Math.min(LONGEST_SERVING, inForce.site().longestDeadline()));
        stop = new Stop(now + LEAST_DRAIN, now + serving, now + Math.max(LEAST_DRAIN, serving - HANDING_OVER),
                now + serving + ANSWERED_AFTER);
    }

    boolean draining() {
        return stop != null;
    }

    /** Connections end behind their answers. */
    boolean handingOver() {
        Stop s = stop;
        return s != null && now() >= s.handOverAt;
    }

    /** When the process may leave, once no client is connected; Long.MAX_VALUE while it is not to stop. */
    long leaveAt() {
        Stop s = stop;
        return s == null ? Long.MAX_VALUE : s.leaveAt;
    }

    /** When it leaves though clients are connected. */
    long stopAt() {
        Stop s = stop;
        return s == null ? Long.MAX_VALUE : s.stopAt;
    }

    /** When all is to be answered, whatever clients would wait. */
    long endBy() {
        Stop s = stop;
        return s == null ? Long.MAX_VALUE : s.endBy;
    }
}
