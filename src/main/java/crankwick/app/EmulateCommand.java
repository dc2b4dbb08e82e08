package crankwick.app;

import com.google.gson.Gson;
import crankwick.emulator.DatabaseEmulator;
import crankwick.emulator.EmulatedEndpointList;
import crankwick.pg.PgEmulatorCodec;
import crankwick.tds.TdsEmulatorCodec;
import crankwick.transport.CodecFilter;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code emulate}: emulated databases and discovery on loopback sockets. */
@Command(
        name = "emulate",
        description = "Runs modelled groups of three databases on loopback ports, and discovery that lists them. "
                + "Exits after --seconds; with code 1 if a key was applied twice, two attempts of a request were in "
                + "flight at once, or a database collapsed under overload.",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class)
final class EmulateCommand implements Callable<Integer> {
    private static final int MAX_GROUPS = 50;
    private static final int MAX_FAULTS = 10_000;
    private static final int MIN_INTERVAL_MILLIS = 100;
    private static final int MAX_INTERVAL_MILLIS = 3_600_000;
    private static final int MAX_DURATION_SECONDS = 86_400;

    @Option(names = "--wire", defaultValue = "pg", description = "Protocol: pg or tds; default ${DEFAULT-VALUE}.")
    private String protocol;

    @Option(
            names = "--groups",
            defaultValue = "4",
            description = "Number of groups, 1 to 50; default ${DEFAULT-VALUE}.")
    private int groups;

    @Option(
            names = "--changes",
            defaultValue = "0",
            description = "Total number of crashes, hangs and drains of primaries, 0 to 10000; "
                    + "default ${DEFAULT-VALUE}.")
    private int faults;

    @Option(
            names = "--every-ms",
            defaultValue = "3000",
            description = "Interval between faults in ms, 100 to 3600000; default ${DEFAULT-VALUE}.")
    private long intervalMillis;

    @Option(
            names = "--seconds",
            defaultValue = "60",
            description = "Duration of the run, 1 to 86400; default ${DEFAULT-VALUE}.")
    private long durationSeconds;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "Seed of the faults and delays; default ${DEFAULT-VALUE}.")
    private long seed;

    @Option(
            names = "--zone",
            defaultValue = "ulemiste",
            description = "Zone of all listed databases; default ${DEFAULT-VALUE}.")
    private String zone;

    @Option(
            names = "--zone-file",
            description = "File to which DNS-SD records are written as well, for the TDS listener.")
    private Path zoneFile;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Commands.require(spec, protocol.equals("pg") || protocol.equals("tds"), "--wire takes pg or tds");
        Commands.requireRange(spec, "--groups", groups, 1, MAX_GROUPS);
        Commands.requireRange(spec, "--changes", faults, 0, MAX_FAULTS);
        Commands.requireRange(spec, "--every-ms", intervalMillis, MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS);
        Commands.requireRange(spec, "--seconds", durationSeconds, 1, MAX_DURATION_SECONDS);
        CodecFilter codec = protocol.equals("pg") ? new PgEmulatorCodec() : new TdsEmulatorCodec();
        PrintWriter out = spec.commandLine().getOut();
        try (DatabaseEmulator emulator =
                new DatabaseEmulator(codec, groups, seed, new EmulatedEndpointList(zone, zoneFile))) {
            out.println("discovery at 127.0.0.1:" + emulator.discoveryPort());
            out.println(emulator.endpointsJson());
            out.flush();
            emulator.scheduleFaults(faults, TimeUnit.MILLISECONDS.toMicros(intervalMillis));
            TimeUnit.SECONDS.sleep(durationSeconds);
            out.println(new Gson().toJson(emulator.executionLog().statistics()));
            out.flush();
            return emulator.executionLog().hasNoViolations() ? 0 : 1;
        }
    }
}
