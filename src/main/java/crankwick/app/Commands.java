package crankwick.app;

import com.google.gson.Gson;
import crankwick.emulator.DatabaseEmulator;
import crankwick.emulator.EmulatedEndpointList;
import crankwick.failover.FailoverSettings;
import crankwick.pg.PgEmulatorCodec;
import crankwick.simulation.DrainSimulation;
import crankwick.simulation.FailoverSimulation;
import crankwick.tds.TdsEmulatorCodec;
import crankwick.transport.CodecFilter;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command line. {@link Main} starts {@code serve} and {@code simhost} without it where it can. */
@Command(
        name = "crankwick",
        description = "A broker between services and groups of replicated databases.",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        subcommands = {Commands.Serve.class, Commands.Simhost.class, Commands.Lab.class, Commands.Emulate.class})
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

    /** The version in the jar's manifest. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Commands.class.getPackage().getImplementationVersion();
            return new String[] {"crankwick " + (version == null ? "unpackaged" : version)};
        }
    }

    /** One real proxy. */
    @Command(
            name = "serve",
            description = "Serves as one proxy: the platform's front where ROUTER_CONFIG "
                    + "names a configuration, the TDS front where an operator's file is given.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    static final class Serve implements Callable<Integer> {
        @Parameters(arity = "0..1", paramLabel = "OPERATOR.toml", description = "The operator's file.")
        private Path operator;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Main.serve(operator);
            return 0;
        }
    }

    /** The simulator's wire. */
    @Command(
            name = "simhost",
            description = "Hosts routers on the simulator's wire, standard input to " + "standard output.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    static final class Simhost implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            crankwick.simulator.SimulatorCommand.run();
            return 0;
        }
    }

    /** Modelled databases on sockets. */
    @Command(
            name = "emulate",
            description = "Modelled groups of three databases on loopback ports, and "
                    + "discovery that lists them. Ends by itself; exit code 1 if a key was applied twice, a request "
                    + "sent twice at once, or a database pushed over.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    static final class Emulate implements Callable<Integer> {
        @Option(names = "--wire", defaultValue = "pg", description = "pg or tds; default ${DEFAULT-VALUE}.")
        private String wire;

        @Option(names = "--groups", defaultValue = "4", description = "1 to 50; default ${DEFAULT-VALUE}.")
        private int groups;

        @Option(
                names = "--changes",
                defaultValue = "0",
                description = "Changes of primaries, 0 to 10000; " + "default ${DEFAULT-VALUE}.")
        private int changes;

        @Option(
                names = "--every-ms",
                defaultValue = "3000",
                description = "From one to the next, 100 to " + "3600000; default ${DEFAULT-VALUE}.")
        private long every;

        @Option(
                names = "--seconds",
                defaultValue = "60",
                description = "How long it runs, 1 to 86400; " + "default ${DEFAULT-VALUE}.")
        private long seconds;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "Of troubles and delays; default " + "${DEFAULT-VALUE}.")
        private long seed;

        @Option(
                names = "--zone",
                defaultValue = "ulemiste",
                description = "The zone that all are listed in; " + "default ${DEFAULT-VALUE}.")
        private String zone;

        @Option(names = "--zone-file", description = "Also writes DNS-SD records here, for the TDS front.")
        private Path zoneFile;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException, InterruptedException {
            require(spec, wire.equals("pg") || wire.equals("tds"), "--wire takes pg or tds");
            require(spec, groups >= 1 && groups <= 50, "--groups takes 1 to 50");
            require(spec, changes >= 0 && changes <= 10_000, "--changes takes 0 to 10000");
            require(spec, every >= 100 && every <= 3_600_000, "--every-ms takes 100 to 3600000");
            require(spec, seconds >= 1 && seconds <= 86_400, "--seconds takes 1 to 86400");
            CodecFilter codec = wire.equals("pg") ? new PgEmulatorCodec() : new TdsEmulatorCodec();
            PrintWriter out = spec.commandLine().getOut();
            try (DatabaseEmulator emulation =
                    new DatabaseEmulator(codec, groups, seed, new EmulatedEndpointList(zone, zoneFile))) {
                out.println("discovery at 127.0.0.1:" + emulation.listPort());
                out.println(emulation.list());
                out.flush();
                emulation.scheduleFaults(changes, every * 1_000);
                Thread.sleep(seconds * 1_000);
                out.println(new Gson().toJson(emulation.executionLog().figures()));
                out.flush();
                return emulation.executionLog().isSound() ? 0 : 1;
            }
        }
    }

    private static void require(CommandSpec spec, boolean holds, String fault) {
        if (!holds) {
            throw new ParameterException(spec.commandLine(), fault);
        }
    }

    /** Experiments in simulated time. */
    @Command(
            name = "lab",
            description = "Experiments in simulated time.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            subcommands = {Commands.LabHandover.class, Commands.LabDrains.class})
    static final class Lab implements Runnable {
        @Spec
        private CommandSpec spec;

        @Override
        public void run() {
            throw new ParameterException(
                    spec.commandLine(),
                    "an experiment is wanted: "
                            + String.join(", ", spec.subcommands().keySet()));
        }
    }

    /** A fleet's watches before discovery. */
    @Command(
            name = "drains",
            description = "Plays a fleet's watches before one discovery that falls silent, "
                    + "resets and goes down, and checks that every drain is heard in time. Exit code 1 if not.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    static final class LabDrains implements Callable<Integer> {
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
                description = "How long discovery takes to "
                        + "answer all proxies once, 0 to 60000; default ${DEFAULT-VALUE}.")
        private long turn;

        @Option(
                names = "--late-ms",
                defaultValue = "0",
                description = "How late each timer is, 0 to 60000: "
                        + "shows that the check finds what it is for; default ${DEFAULT-VALUE}.")
        private long late;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            require(spec, proxies >= 1 && proxies <= 1_024, "--proxies takes 1 to 1024");
            require(spec, rounds >= 1 && rounds <= 10_000, "--rounds takes 1 to 10000");
            require(spec, turn >= 0 && turn <= 60_000, "--turn-ms takes 0 to 60000");
            require(spec, late >= 0 && late <= 60_000, "--late-ms takes 0 to 60000");
            DrainSimulation lab =
                    new DrainSimulation(new DrainSimulation.Options(proxies, rounds, seed, turn * 1_000, late * 1_000));
            PrintWriter out = spec.commandLine().getOut();
            out.println(new Gson().toJson(lab.run().figures()));
            if (lab.violation() != null) {
                out.println("violation: " + lab.violation());
            }
            return lab.violation() == null ? 0 : 1;
        }
    }

    /** Changes of primaries, explored by seed. */
    @Command(
            name = "handover",
            description = "Runs changes of primaries of all kinds under load, and checks "
                    + "each step. Exit code 1 on any violation, with its trace.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    static final class LabHandover implements Callable<Integer> {
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
        private boolean without;

        @Option(
                names = "--hope",
                defaultValue = "0.05",
                description = "The least chance of being served "
                        + "that lets a request wait, 0 to 1; default ${DEFAULT-VALUE}.")
        private double hope;

        @Option(
                names = "--fault",
                defaultValue = "none",
                description = "A deliberate defect, which must be "
                        + "found: resend-after-window, late-list-believed, held-sent-twice, release-without-pace; "
                        + "default ${DEFAULT-VALUE}.")
        private String fault;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            require(spec, groups >= 1 && groups <= 1_000, "--groups takes 1 to 1000");
            require(spec, failovers >= 1 && failovers <= 1_000_000, "--failovers takes 1 to 1000000");
            require(spec, hope >= 0 && hope <= 1, "--hope takes 0 to 1");
            FailoverSimulation lab = new FailoverSimulation(new FailoverSimulation.Options(
                    groups,
                    failovers,
                    seed,
                    without ? null : FailoverSettings.DEFAULT.withMinSuccessProbability(hope),
                    fault()));
            Map<String, Object> figures = lab.run().figures();
            PrintWriter out = spec.commandLine().getOut();
            if (lab.violation() != null) {
                out.println("violation: " + lab.violation());
                out.println("replay: lab handover --groups " + groups + " --failovers " + failovers
                        + " --seed " + seed + (without ? " --without" : "") + " --hope " + hope + " --fault "
                        + fault);
            }
            if (json) {
                out.println(new Gson().toJson(figures));
            } else {
                figures.forEach((name, value) -> out.println(name + " " + value));
            }
            out.flush();
            return lab.violation() == null ? 0 : 1;
        }

        private FailoverSimulation.Defect fault() {
            try {
                return FailoverSimulation.Defect.valueOf(
                        fault.toUpperCase(Locale.ROOT).replace('-', '_'));
            } catch (IllegalArgumentException e) {
                throw new ParameterException(spec.commandLine(), "--fault: there is no " + fault, e);
            }
        }
    }
}
