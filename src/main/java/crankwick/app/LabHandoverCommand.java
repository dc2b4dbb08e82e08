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

/** {@code lab handover}: simulates failovers by seed. */
@Command(
        name = "handover",
        description = "Runs changes of primaries of all kinds under load, and checks "
                + "each step. Exit code 1 on any violation, with its trace.",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class)
final class LabHandoverCommand implements Callable<Integer> {
    private static final int MAX_GROUPS = 1_000;
    private static final int MAX_FAILOVERS = 1_000_000;

    @Option(
            names = "--groups",
            defaultValue = "4",
            description = "Groups of three databases, 1 to 1000; " + "default ${DEFAULT-VALUE}.")
    private int groups;

    @Option(
            names = "--failovers",
            defaultValue = "500",
            description = "Changes of leader, 1 to 1000000; " + "default ${DEFAULT-VALUE}.")
    private int failovers;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "The same seed gives the same run; " + "default ${DEFAULT-VALUE}.")
    private long seed;

    @Option(names = "--json", description = "One JSON object as the last line.")
    private boolean json;

    @Option(names = "--without", description = "Leave changes to the router, as earlier versions.")
    private boolean withoutCoordinator;

    @Option(
            names = "--hope",
            defaultValue = "0.05",
            description =
                    "The least chance of being served " + "that lets a request wait, 0 to 1; default ${DEFAULT-VALUE}.")
    private double minSuccessProbability;

    @Option(
            names = "--fault",
            defaultValue = "none",
            description = "A deliberate defect, which must be "
                    + "found: resend-after-window, late-list-believed, held-sent-twice, release-without-pace; "
                    + "default ${DEFAULT-VALUE}.")
    private String defectName;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        Commands.requireRange(spec, "--groups", groups, 1, MAX_GROUPS);
        Commands.requireRange(spec, "--failovers", failovers, 1, MAX_FAILOVERS);
        Commands.require(spec, minSuccessProbability >= 0 && minSuccessProbability <= 1, "--hope takes 0 to 1");
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
            throw new ParameterException(spec.commandLine(), "--fault: there is no " + defectName, e);
        }
    }
}
