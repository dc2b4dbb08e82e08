package crankwick.app;

import crankwick.simulator.SimulatorCommand;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** {@code simhost}: runs routers for the simulator. */
@Command(
        name = "simhost",
        description = "Hosts routers for the simulator: reads its protocol from standard input "
                + "and writes replies to standard output.",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class)
final class SimhostCommand implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
        SimulatorCommand.run();
        return 0;
    }
}
