package crankwick.app;

import crankwick.broker.Contract;
import crankwick.discovery.HttpWatch;
import crankwick.discovery.ListCodec;
import crankwick.net.Transport;
import crankwick.pg.PgDatabaseCodec;
import crankwick.pg.PgFrontCodec;
import crankwick.simhost.Simhost;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.slf4j.bridge.SLF4JBridgeHandler;

/** {@code serve} is one real proxy; {@code simhost} speaks the simulator's wire with the same decisions. */
public final class Main {
    private static final String USAGE = "usage: crankwick.jar serve | simhost";

    private Main() {
    }

    /** Exits 2 with one line where the command or a configuration can't be used. */
    public static void main(String[] args) throws IOException, InterruptedException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "simhost" -> Simhost.run();
            case "serve" -> serve();
            default -> refuse(USAGE);
        }
    }

    private static void serve() throws IOException, InterruptedException {
        SLF4JBridgeHandler.removeHandlersForRootLogger();
        SLF4JBridgeHandler.install();
        List<Service> services = new ArrayList<>();
        try {
            Transport transport = new Transport();
            String platform = System.getenv("ROUTER_CONFIG");
            if (platform != null) {
                services.add(platform(PlatformConfig.read(Path.of(platform)), transport));
            }
        } catch (IllegalArgumentException e) {
            refuse(e.getMessage());
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> services.forEach(Service::close), "shutdown"));
        Thread.currentThread().join();
    }

    private static Service platform(PlatformConfig config, Transport transport) throws IOException {
        var wire = new Service.Wire("pg", new PgFrontCodec(), new PgDatabaseCodec());
        Service service = new Service(wire, config.settings(), config.seed(),
                Map.of("", Contract.UNLIMITED), config.sockets(), transport);
        ListCodec lists = new ListCodec(config.settings().zoneNames());
        service.start(config.listen(), config.sockets(), config.known(), loop -> new HttpWatch(transport,
                loop, config.discovery(), lists, config.version(), service::onListed));
        return service;
    }

    private static void refuse(String why) {
        System.err.println(why);
        System.exit(2);
    }
}
