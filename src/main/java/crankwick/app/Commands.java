package crankwick.app;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The picocli command line. {@link Main} starts {@code serve} and {@code simhost} without it if they are given without
 * options.
 */
@Command(
        name = "crankwick",
        description = "A broker between services and groups of replicated databases.",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        subcommands = {ServeCommand.class, SimhostCommand.class, SimulationCommand.class, EmulateCommand.class})
final class Commands implements Runnable {
    @Spec
    private CommandSpec spec;

    /**
     * Runs a command. Returns 0; 1 if a check found a violation or the command threw an exception; or 2 after one line
     * on standard error if the usage is invalid.
     */
    static int run(String... args) {
        return new CommandLine(new Commands())
                .setParameterExceptionHandler(Commands::reportInvalidUsage)
                .execute(args);
    }

    private static int reportInvalidUsage(ParameterException e, String[] args) {
        e.getCommandLine().getErr().println(e.getMessage().lines().findFirst().orElse("invalid arguments"));
        return CommandLine.ExitCode.USAGE;
    }

    @Override
    public void run() {
        throw new ParameterException(
                spec.commandLine(),
                "missing command, expected one of: "
                        + String.join(", ", spec.subcommands().keySet()));
    }

    /** Throws a usage error with the message unless the condition holds. */
    static void require(CommandSpec spec, boolean condition, String message) {
        if (!condition) {
            throw new ParameterException(spec.commandLine(), message);
        }
    }

    /** Throws a usage error unless the option's value is between {@code min} and {@code max}, inclusive. */
    static void requireRange(CommandSpec spec, String option, long value, long min, long max) {
        if (value < min || value > max) {
            throw new ParameterException(spec.commandLine(), option + " must be between " + min + " and " + max);
        }
    }

    /** Reads the version from the jar's manifest. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Commands.class.getPackage().getImplementationVersion();
            return new String[] {"crankwick " + (version == null ? "unpackaged" : version)};
        }
    }
}
