package burlford.lab;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line of the laboratory. Usage errors exit with 2, broken rules with 1. */
@Command(name = "burlford-lab", mixinStandardHelpOptions = true,
        subcommands = {CoresCommand.class, ReadersCommand.class, SpreadCommand.class},
        description = "Drives coordinators from outside.")
public final class Lab implements Runnable {

    private Lab() { }

    public static void main(String[] args) {
        System.exit(new CommandLine(new Lab()).execute(args));
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(new CommandLine(this), "name a command");
    }
}
