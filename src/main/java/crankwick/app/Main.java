package crankwick.app;

import crankwick.broker.Contract;
import crankwick.discovery.Discovery;
import crankwick.discovery.DnsSdZoneFile;
import crankwick.discovery.EndpointList;
import crankwick.discovery.EndpointListCodec;
import crankwick.discovery.HttpEndpointWatch;
import crankwick.failover.FailoverSettings;
import crankwick.pg.PgClientCodec;
import crankwick.pg.PgDatabaseCodec;
import crankwick.simulator.SimulatorCommand;
import crankwick.tds.TdsClientCodec;
import crankwick.tds.TdsDatabaseCodec;
import crankwick.transport.Transport;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The entry point. If given without options, {@code serve} (a proxy) and {@code simhost} (the simulator adapter) are
 * started without loading picocli; {@link Commands} handles all other command lines.
 */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /** Exits with status 2 and one line on standard error if the command or a configuration is invalid. */
    public static void main(String[] args) throws IOException, InterruptedException {
        if (args.length == 1 && args[0].equals("simhost")) {
            SimulatorCommand.run();
        } else if (args.length >= 1
                && args[0].equals("serve")
                && (args.length == 1 || args.length == 2 && !args[1].startsWith("-"))) {
            serve(args.length == 2 ? Path.of(args[1]) : null);
        } else {
            System.exit(Commands.run(args));
        }
    }

    /**
     * Starts the platform listener if ROUTER_CONFIG is set and the TDS listener if an operator file is given. Does not
     * return until the process ends.
     */
    static void serve(Path operatorFile) throws IOException, InterruptedException {
        System.setProperty("java.util.logging.config.class", LoggingBridge.class.getName());
        List<Service> services = new CopyOnWriteArrayList<>();
        onHangup(() -> services.forEach(Service::reload));
        try {
            String platformFile = System.getenv("ROUTER_CONFIG");
            if (platformFile == null && operatorFile == null) {
                exitWithUsage("no listener configured: ROUTER_CONFIG is not set and no operator file is given");
            }
            PlatformConfig platform = platformFile == null ? null : PlatformConfig.read(Path.of(platformFile));
            OperatorConfig operator = operatorFile == null ? null : OperatorConfig.read(operatorFile);
            Transport transport = new Transport();
            if (platform != null) {
                FailoverSettings failoverSettings = operator == null ? null : operator.failoverSettings();
                services.add(startPlatform(Path.of(platformFile), platform, transport, failoverSettings));
            }
            if (operator != null) {
                services.add(startTds(operatorFile, operator, transport));
            }
        } catch (IllegalArgumentException e) {
            exitWithUsage(e.getMessage());
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> close(services), "shutdown"));
        Thread.currentThread().join();
    }

    /** Begins to shut down all services before waiting for any, because one SIGKILL deadline applies to all of them. */
    private static void close(List<Service> services) {
        services.forEach(Service::beginClose);
        services.forEach(Service::awaitClosed);
    }

    /** Reloads on SIGHUP. Must be installed before the services start: without a handler, the JVM exits on SIGHUP. */
    @SuppressWarnings("sunapi")
    private static void onHangup(Runnable reload) {
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> reload.run());
    }

    /** Starts the platform listener; the failover settings come from the operator file and may be null. */
    private static Service startPlatform(
            Path file, PlatformConfig config, Transport transport, FailoverSettings failoverSettings)
            throws IOException {
        var protocol = new Service.Protocol("pg", new PgClientCodec(), new PgDatabaseCodec());
        Service service = new Service(
                protocol,
                config.settings(),
                config.seed(),
                Map.of("", Contract.UNLIMITED),
                config.sockets(),
                transport,
                failoverSettings);
        EndpointListCodec lists = new EndpointListCodec(config.settings().zoneNames());
        service.start(
                config.listen(),
                config.sockets(),
                config.initialEndpoints(),
                (loop, clock) -> new HttpEndpointWatch(
                        transport,
                        loop,
                        clock,
                        lists,
                        new HttpEndpointWatch.InitialState(
                                config.discovery(),
                                () -> PlatformConfig.read(file).discovery(),
                                config.initialEndpoints(),
                                config.endpointListVersion(),
                                config.seed()),
                        service::onEndpointsUpdated));
        return service;
    }

    private static Service startTds(Path file, OperatorConfig config, Transport transport) throws IOException {
        var protocol = new Service.Protocol("tds", new TdsClientCodec(), new TdsDatabaseCodec());
        List<String> zones = config.settings().zoneNames();
        Service service = new Service(
                protocol,
                config.settings(),
                System.nanoTime(),
                config.contracts(),
                config.sockets(),
                transport,
                config.failoverSettings());
        Discovery.ListUpdate initialEndpoints =
                EndpointList.requireComplete(DnsSdZoneFile.parse(config.dnsZone(), zones));
        service.start(
                config.listen(),
                config.sockets(),
                initialEndpoints,
                (loop, clock) -> new DnsSdZoneFile(
                        config.dnsZone(),
                        () -> OperatorConfig.read(file).dnsZone(),
                        zones,
                        initialEndpoints,
                        config.rereadIntervalMicros(),
                        loop,
                        service::onEndpointsUpdated));
        return service;
    }

    private static void exitWithUsage(String message) {
        System.err.println(message);
        System.exit(EXIT_USAGE);
    }
}
