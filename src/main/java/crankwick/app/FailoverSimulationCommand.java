package crankwick.app;

import com.google.gson.Gson;
import crankwick.failover.FailoverSettings;
import crankwick.simulation.FailoverSimulation;
import java.io.PrintWriter;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code lab handover}: simulates failovers that a seed determines. */
@Command(
        name = "handover",
        description = "Simulates planned and unplanned failovers under load and checks every step. "
                + "Prints the first violation with its trace; exit code 1 on any violation.",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class)
final class FailoverSimulationCommand implements Callable<Integer> {
    private static final int MAX_GROUPS = 1_000;
    private static final int MAX_FAILOVERS = 1_000_000;

    @Option(
            names = "--groups",
            defaultValue = "4",
            description = "Number of groups of three databases, 1 to 1000; default ${DEFAULT-VALUE}.")
    private int groups;

    @Option(
            names = "--failovers",
            defaultValue = "500",
            description = "Number of failovers after which the run ends, 1 to 1000000; default ${DEFAULT-VALUE}.")
    private int failovers;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "The same seed gives the same run; default ${DEFAULT-VALUE}.")
    private long seed;

    @Option(names = "--json", description = "Print the figures as one JSON object on the last line.")
    private boolean json;

    @Option(names = "--without", description = "Run without the failover coordinator, as earlier versions did.")
    private boolean withoutCoordinator;

    @Option(
            names = "--hope",
            defaultValue = "0.05",
            description =
                    "Minimum probability of success for a request to be buffered, 0 to 1; default ${DEFAULT-VALUE}.")
    private double minSuccessProbability;

    @Option(
            names = "--fault",
            defaultValue = "none",
            description = "A deliberate defect that the audit must detect: "
                    + "resend-after-window, late-list-believed, held-sent-twice, release-without-pace; "
                    + "default ${DEFAULT-VALUE}.")
    private String defectName;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        Commands.requireRange(spec, "--groups", groups, 1, MAX_GROUPS);
        Commands.requireRange(spec, "--failovers", failovers, 1, MAX_FAILOVERS);
        Commands.require(
                spec, minSuccessProbability >= 0 && minSuccessProbability <= 1, "--hope must be between 0 and 1");
        FailoverSimulation simulation = new FailoverSimulation(new FailoverSimulation.Options(
                groups,
                failovers,
                seed,
                withoutCoordinator ? null : FailoverSettings.DEFAULT.withMinSuccessProbability(minSuccessProbability),
                defect()));
        Map<String, Object> figures = simulation.run().figures();
        PrintWriter out = spec.commandLine().getOut();
        if (simulation.firstViolation() != null) {
            out.println("violation: " + simulation.firstViolation());
            out.println("replay: lab handover --groups " + groups + " --failovers " + failovers
                    + " --seed " + seed + (withoutCoordinator ? " --without" : "") + " --hope " + minSuccessProbability
                    + " --fault "
                    + defectName);
        }
        if (json) {
            out.println(new Gson().toJson(figures));
        } else {
            figures.forEach((name, value) -> out.println(name + " " + value));
        }
        out.flush();
        return simulation.firstViolation() == null ? 0 : 1;
    }

    private FailoverSimulation.Defect defect() {
        try {
            return FailoverSimulation.Defect.valueOf(
                    defectName.toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), "--fault: unknown defect " + defectName, e);
        }
    }
}
