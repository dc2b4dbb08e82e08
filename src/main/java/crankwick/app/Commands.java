package crankwick.app;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command line. {@link Main} starts {@code serve} and {@code simhost} without it where it can. */
@Command(
        name = "crankwick",
        description = "A broker between services and groups of replicated databases.",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        subcommands = {ServeCommand.class, SimhostCommand.class, LabCommand.class, EmulateCommand.class})
final class Commands implements Runnable {
    @Spec
    private CommandSpec spec;

    /** Runs a command line; 0, 1 where a check found something, 2 with one line for misuse. */
    static int run(String... args) {
        return new CommandLine(new Commands())
                .setParameterExceptionHandler(Commands::misuse)
                .execute(args);
    }

    private static int misuse(ParameterException e, String[] args) {
        e.getCommandLine().getErr().println(e.getMessage().lines().findFirst().orElse("unusable arguments"));
        return CommandLine.ExitCode.USAGE;
    }

    @Override
    public void run() {
        throw new ParameterException(
                spec.commandLine(),
                "a command is wanted: " + String.join(", ", spec.subcommands().keySet()));
    }

    /** Ends the command as misuse, with the message, unless the condition holds. */
    static void require(CommandSpec spec, boolean condition, String message) {
        if (!condition) {
            throw new ParameterException(spec.commandLine(), message);
        }
    }

    /** Ends the command as misuse unless the option's value is within the bounds, which count as allowed. */
    static void requireRange(CommandSpec spec, String option, long value, long min, long max) {
        if (value < min || value > max) {
            throw new ParameterException(spec.commandLine(), option + " takes " + min + " to " + max);
        }
    }

    /** The version in the jar's manifest. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Commands.class.getPackage().getImplementationVersion();
            return new String[] {"crankwick " + (version == null ? "unpackaged" : version)};
        }
    }
}
