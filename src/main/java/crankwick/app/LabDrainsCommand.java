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
        description = "Plays a fleet's watches before one discovery that falls silent, "
                + "resets and goes down, and checks that every drain is heard in time. Exit code 1 if not.",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class)
final class LabDrainsCommand implements Callable<Integer> {
    private static final int MAX_PROXIES = 1_024;
    private static final int MAX_ROUNDS = 10_000;
    private static final int MAX_DELAY_MILLIS = 60_000;

    @Option(names = "--proxies", defaultValue = "100", description = "1 to 1024; default " + "${DEFAULT-VALUE}.")
    private int proxies;

    @Option(
            names = "--rounds",
            defaultValue = "100",
            description = "Troubles with a drain each, 1 to " + "10000; default ${DEFAULT-VALUE}.")
    private int rounds;

    @Option(names = "--seed", defaultValue = "1", description = "Default ${DEFAULT-VALUE}.")
    private long seed;

    @Option(
            names = "--turn-ms",
            defaultValue = "1900",
            description =
                    "How long discovery takes to " + "answer all proxies once, 0 to 60000; default ${DEFAULT-VALUE}.")
    private long responseMillis;

    @Option(
            names = "--late-ms",
            defaultValue = "0",
            description = "How late each timer is, 0 to 60000: "
                    + "shows that the check finds what it is for; default ${DEFAULT-VALUE}.")
    private long timerDelayMillis;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        Commands.requireRange(spec, "--proxies", proxies, 1, MAX_PROXIES);
        Commands.requireRange(spec, "--rounds", rounds, 1, MAX_ROUNDS);
        Commands.requireRange(spec, "--turn-ms", responseMillis, 0, MAX_DELAY_MILLIS);
        Commands.requireRange(spec, "--late-ms", timerDelayMillis, 0, MAX_DELAY_MILLIS);
        DrainSimulation simulation = new DrainSimulation(new DrainSimulation.Options(
                proxies,
                rounds,
                seed,
                TimeUnit.MILLISECONDS.toMicros(responseMillis),
                TimeUnit.MILLISECONDS.toMicros(timerDelayMillis)));
        PrintWriter out = spec.commandLine().getOut();
        out.println(new Gson().toJson(simulation.run().figures()));
        if (simulation.firstViolation() != null) {
            out.println("violation: " + simulation.firstViolation());
        }
        return simulation.firstViolation() == null ? 0 : 1;
    }
}
