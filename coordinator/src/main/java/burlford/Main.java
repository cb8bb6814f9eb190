package burlford;

import burlford.adapter.SimulatorHost;
import burlford.daemon.Configuration;
import burlford.daemon.Daemon;
import burlford.inventory.Inventory;
import burlford.settings.InputFormatException;
import burlford.store.StoreCommand;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The command line. The exit status is 2 after a usage error or with an unusable configuration, 1 after other failures.
 */
public final class Main {

    private static final String USAGE = """
            usage: burlford serve [--operator FILE]       run a coordinator; PROXY_CONFIG names its configuration
                   burlford adapter                       speak the simulator's wire on standard input and output
                   burlford inventory check FILE          say whether an inventory (.csv, .yaml) can be used
                   burlford inventory convert FROM TO     write it in the other form, by the files' endings
                   burlford store status HOST:PORT        who leads the store, and the versions of its keys
                   burlford store get HOST:PORT KEY       print a value
                   burlford store put HOST:PORT KEY VERSION FILE
                                                          write a value made from that version, 0 for a new key""";

    private static final String LOG_FORMAT = "java.util.logging.SimpleFormatter.format";

    private Main() { }

    public static void main(String[] args) {
        // One line per log record, unless the operator's logging configuration sets another format.
        if (System.getProperty(LOG_FORMAT) == null) {
            System.setProperty(LOG_FORMAT, "%1$tF %1$tT.%1$tL %4$s %5$s%6$s%n");
        }
        System.exit(run(args));
    }

    private static int run(String... args) {
        String command = String.join(" ", List.of(args).subList(0, Math.min(args.length, 2)));
        try {
            if (command.equals("serve")) {
                Daemon.run(System.getenv(), null);
            } else if (command.equals("serve --operator") && args.length == 3) {
                Daemon.run(System.getenv(), Path.of(args[2]));
            } else if (command.equals("adapter")) {
                new SimulatorHost().run(new BufferedInputStream(System.in, 1 << 16),
                        new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16));
            } else if (command.equals("inventory check") && args.length == 3) {
                System.out.println(Inventory.load(Path.of(args[2]), Inventory.MAX_CELLS).hosts().size() + " readers");
            } else if (command.equals("inventory convert") && args.length == 4) {
                Path to = Path.of(args[3]);
                Files.writeString(to, Inventory.load(Path.of(args[2]), Inventory.MAX_CELLS)
                        .format(Inventory.isCsv(to)));
            } else if (command.equals("store status") && args.length == 3) {
                return StoreCommand.status(args[2]);
            } else if (command.equals("store get") && args.length == 4) {
                return StoreCommand.get(args[2], args[3]);
            } else if (command.equals("store put") && args.length == 6) {
                return StoreCommand.put(args[2], args[3], args[4], Path.of(args[5]));
            } else {
                System.err.println(USAGE);
                return 2;
            }
            return 0;
        } catch (Configuration.InvalidConfigurationException | Inventory.InvalidInventoryException e) {
            System.err.println("burlford: " + e.getMessage());
            return 2;
        } catch (InputFormatException e) {
            System.err.println("burlford: bad input: " + e.getMessage());
            return 1;
        } catch (IOException e) {
            System.err.println("burlford: input or output failed: " + e);
            return 1;
        }
    }
}
