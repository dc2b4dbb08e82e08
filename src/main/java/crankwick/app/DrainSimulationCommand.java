package crankwick.app;

import com.google.gson.Gson;
import crankwick.simulation.DrainSimulation;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code lab drains}: simulates a fleet's watches of an unreliable discovery. */
@Command(
        name = "drains",
        description = "Simulates a fleet's watches of one discovery that stalls or resets connections and becomes "
                + "unavailable, and checks that every proxy is notified of each drain in time. Exit code 1 if not.",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class)
final class DrainSimulationCommand implements Callable<Integer> {
    private static final int MAX_PROXIES = 1_024;
    private static final int MAX_ROUNDS = 10_000;
    private static final int MAX_DELAY_MILLIS = 60_000;

    @Option(
            names = "--proxies",
            defaultValue = "100",
            description = "Size of the fleet, 1 to 1024; default ${DEFAULT-VALUE}.")
    private int proxies;

    @Option(
            names = "--rounds",
            defaultValue = "100",
            description = "Number of faults, each followed by a drain, 1 to 10000; default ${DEFAULT-VALUE}.")
    private int rounds;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "The same seed gives the same run; default ${DEFAULT-VALUE}.")
    private long seed;

    @Option(
            names = "--turn-ms",
            defaultValue = "1900",
            description = "How long discovery takes to answer one call of every proxy, 0 to 60000 ms; "
                    + "default ${DEFAULT-VALUE}.")
    private long fullCycleMillis;

    @Option(
            names = "--late-ms",
            defaultValue = "0",
            description = "Delay of each timer, 0 to 60000 ms; a large delay is a deliberate defect that the check "
                    + "must detect; default ${DEFAULT-VALUE}.")
    private long timerDelayMillis;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        Commands.requireRange(spec, "--proxies", proxies, 1, MAX_PROXIES);
        Commands.requireRange(spec, "--rounds", rounds, 1, MAX_ROUNDS);
        Commands.requireRange(spec, "--turn-ms", fullCycleMillis, 0, MAX_DELAY_MILLIS);
        Commands.requireRange(spec, "--late-ms", timerDelayMillis, 0, MAX_DELAY_MILLIS);
        DrainSimulation simulation = new DrainSimulation(new DrainSimulation.Options(
                proxies,
                rounds,
                seed,
                TimeUnit.MILLISECONDS.toMicros(fullCycleMillis),
                TimeUnit.MILLISECONDS.toMicros(timerDelayMillis)));
        PrintWriter out = spec.commandLine().getOut();
        out.println(new Gson().toJson(simulation.run().figures()));
        if (simulation.firstViolation() != null) {
            out.println("violation: " + simulation.firstViolation());
        }
        return simulation.firstViolation() == null ? 0 : 1;
    }
}
