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
 * {@code serve} is one real proxy; {@code simhost} speaks the simulator's wire with the same decisions. Both
 * start without the command line's library; {@link Commands} has the rest.
 */
public final class Main {
    private Main() {}

    /** Exits 2 with one line where the command or a configuration can't be used. */
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

    /** The platform's front where the platform configures one, the TDS front where an operator does. */
    static void serve(Path operator) throws IOException, InterruptedException {
        System.setProperty("java.util.logging.config.class", LibraryLog.class.getName());
        List<Service> services = new CopyOnWriteArrayList<>();
        onHangup(() -> services.forEach(Service::reload));
        try {
            String platform = System.getenv("ROUTER_CONFIG");
            if (platform == null && operator == null) {
                refuse("neither ROUTER_CONFIG nor an operator's file is given");
            }
            PlatformConfig config = platform == null ? null : PlatformConfig.read(Path.of(platform));
            OperatorConfig file = operator == null ? null : OperatorConfig.read(operator);
            Transport transport = new Transport();
            if (config != null) {
                services.add(platform(Path.of(platform), config, transport, file == null ? null : file.changes()));
            }
            if (file != null) {
                services.add(tds(operator, file, transport));
            }
        } catch (IllegalArgumentException e) {
            refuse(e.getMessage());
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> close(services), "shutdown"));
        Thread.currentThread().join();
    }

    /** All fronts end side by side: the time until SIGKILL is the same for each. */
    private static void close(List<Service> services) {
        services.forEach(Service::beginClose);
        services.forEach(Service::awaitClosed);
    }

    /** SIGHUP asks for a reload; the JVM would end on it, so this comes before all else. */
    @SuppressWarnings("sunapi")
    private static void onHangup(Runnable reload) {
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> reload.run());
    }

    /** An operator's file holds for the platform's front too in what it says of changes of primaries. */
    private static Service platform(Path file, PlatformConfig config, Transport transport, FailoverSettings changes)
            throws IOException {
        var wire = new Service.Wire("pg", new PgClientCodec(), new PgDatabaseCodec());
        Service service = new Service(
                wire,
                config.settings(),
                config.seed(),
                Map.of("", Contract.UNLIMITED),
                config.sockets(),
                transport,
                changes);
        EndpointListCodec lists = new EndpointListCodec(config.settings().zoneNames());
        service.start(
                config.listen(),
                config.sockets(),
                config.known(),
                (loop, clock) -> new HttpEndpointWatch(
                        transport,
                        loop,
                        clock,
                        config.discovery(),
                        () -> PlatformConfig.read(file).discovery(),
                        lists,
                        config.known(),
                        config.version(),
                        config.seed(),
                        service::onListed));
        return service;
    }

    private static Service tds(Path path, OperatorConfig file, Transport transport) throws IOException {
        var wire = new Service.Wire("tds", new TdsClientCodec(), new TdsDatabaseCodec());
        List<String> zones = file.settings().zoneNames();
        Service service = new Service(
                wire, file.settings(), System.nanoTime(), file.contracts(), file.sockets(), transport, file.changes());
        Discovery.ListUpdate known = EndpointList.complete(DnsSdZoneFile.parse(file.zone(), zones));
        service.start(
                file.listen(),
                file.sockets(),
                known,
                (loop, clock) -> new DnsSdZoneFile(
                        file.zone(),
                        () -> OperatorConfig.read(path).zone(),
                        zones,
                        known,
                        file.rereadEvery(),
                        loop,
                        service::onListed));
        return service;
    }

    private static void refuse(String why) {
        System.err.println(why);
        System.exit(2);
    }
}
