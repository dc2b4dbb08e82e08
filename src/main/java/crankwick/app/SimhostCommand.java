package crankwick.app;

import crankwick.simulator.SimulatorCommand;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** {@code simhost}: the adapter to the simulator. */
@Command(
        name = "simhost",
        description = "Hosts routers on the simulator's wire, standard input to " + "standard output.",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class)
final class SimhostCommand implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
        SimulatorCommand.run();
        return 0;
    }
}
