package burlford.daemon;

import burlford.core.Site;
import burlford.policy.Aggregator;
import burlford.settings.InputFormatException;
import burlford.settings.SettingsParser;
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
final class DaemonContext {

    /** Settings checked and read; nothing of them is in force before {@link #apply}. */
    record ParsedConfiguration(Configuration configuration, Site site, Aggregator.Settings moduleSettings,
            OperatorFile operatorFile) { }

    final LongSupplier clock = startClock();
    private final Path operatorPath;
    private final byte[] operatorText;
    private volatile ParsedConfiguration inForce;
    private volatile ShutdownSchedule stop;

    DaemonContext(Configuration configuration, Path operatorFile) throws Configuration.InvalidConfigurationException {
        operatorPath = operatorFile;
        try {
            operatorText = operatorFile == null ? null : Files.readAllBytes(operatorFile);
        } catch (IOException e) {
            throw new Configuration.InvalidConfigurationException(operatorFile + " cannot be read: " + e);
        }
        inForce = parse(configuration);
    }

    /** What a configuration comes to. */
    ParsedConfiguration parse(Configuration configuration) throws Configuration.InvalidConfigurationException {
        Map<String, String> flat = configuration.flatSettings();
        String settings = flat.entrySet().stream().map(e -> e.getKey() + "=" + e.getValue())
                .collect(Collectors.joining("\n"));
        try {
            Aggregator.Settings module = SettingsParser.parse(settings);
            Site site = Site.of(flat);
            return new ParsedConfiguration(configuration, site, module, operatorText == null ? OperatorFile.NONE
                    : OperatorFile.read(operatorPath, operatorText, configuration.name(), site));
        } catch (Site.InvalidSettingException | InputFormatException e) {
            throw new Configuration.InvalidConfigurationException("settings: " + e.getMessage());
        }
    }

    void apply(ParsedConfiguration setup) {
        inForce = setup;
    }

    ParsedConfiguration parsedConfiguration() {
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
    void scheduleShutdown(long toldAt) {
        stop = ShutdownSchedule.of(toldAt, inForce.site().longestDeadline());
    }

    boolean isDraining() {
        return stop != null;
    }

    /** Connections end behind their answers. */
    boolean isClosingAfterReply() {
        ShutdownSchedule s = stop;
        return s != null && now() >= s.closeAfterReplyAt();
    }

    /** When the process may leave, once no client is connected; Long.MAX_VALUE while it is not to stop. */
    long earliestExitAt() {
        ShutdownSchedule s = stop;
        return s == null ? Long.MAX_VALUE : s.earliestExitAt();
    }

    /** When it leaves though clients are connected. */
    long exitDespiteClientsAt() {
        ShutdownSchedule s = stop;
        return s == null ? Long.MAX_VALUE : s.exitDespiteClientsAt();
    }

    /** When all is to be answered, whatever clients would wait. */
    long answerAllBy() {
        ShutdownSchedule s = stop;
        return s == null ? Long.MAX_VALUE : s.answerAllBy();
    }
}
