package crankwick.app;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code lab}: deterministic simulations. */
@Command(
        name = "lab",
        description = "Runs deterministic simulations.",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        subcommands = {FailoverSimulationCommand.class, DrainSimulationCommand.class})
final class SimulationCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(
                spec.commandLine(),
                "missing simulation; expected one of: "
                        + String.join(", ", spec.subcommands().keySet()));
    }
}
