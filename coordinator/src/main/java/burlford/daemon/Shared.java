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

    /** Settings checked and read; nothing of them is in force before {@link #adopt}. */
    record Setup(Configuration configuration, Site site, Aggregator.Settings module, OperatorFile operator) { }

    final LongSupplier clock = startClock();
    private final Path operatorPath;
    private final byte[] operatorText;
    private volatile Setup inForce;
    private volatile ShutdownSchedule stop;

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

    /** toldAt: when the process was told to stop. */
    void drain(long toldAt) {
        stop = ShutdownSchedule.of(toldAt, inForce.site().longestDeadline());
    }

    boolean draining() {
        return stop != null;
    }

    /** Connections end behind their answers. */
    boolean handingOver() {
        ShutdownSchedule s = stop;
        return s != null && now() >= s.handOverAt();
    }

    /** When the process may leave, once no client is connected; Long.MAX_VALUE while it is not to stop. */
    long leaveAt() {
        ShutdownSchedule s = stop;
        return s == null ? Long.MAX_VALUE : s.leaveAt();
    }

    /** When it leaves though clients are connected. */
    long stopAt() {
        ShutdownSchedule s = stop;
        return s == null ? Long.MAX_VALUE : s.stopAt();
    }

    /** When all is to be answered, whatever clients would wait. */
    long endBy() {
        ShutdownSchedule s = stop;
        return s == null ? Long.MAX_VALUE : s.endBy();
    }
}
