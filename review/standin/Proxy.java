import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The proxy under review as a separate process, started with the `run` command of deploy/balancer.toml. */
final class Proxy {
    private final Path root;
    private final Path folder;
    private final Map<String, String> environment = new HashMap<>();
    final InetSocketAddress address;
    final Path log;
    Process process;

    Proxy(Path root, Path folder, String name, String discovery, int sockets, String known, String settings)
            throws IOException {
        this.root = root;
        this.folder = folder;
        address = new InetSocketAddress("127.0.0.1", freePort());
        log = folder.resolve(name + ".log");
        String listen = "127.0.0.1:" + address.getPort();
        String config = "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
                + "},\"known\":" + known + ",\"settings\":" + settings + "}";
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, config);
        environment.put("ROUTER_NAME", name);
        environment.put("ROUTER_LISTEN", listen);
        environment.put("ROUTER_DISCOVERY", discovery);
        environment.put("ROUTER_CONFIG", file.toString());
        environment.put("TMPDIR", folder.toString());
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress("127.0.0.1", 0));
            return socket.getLocalPort();
        }
    }

    /** Starts the process and waits until it answers the empty query; false if it does not within 30 s. */
    boolean start() throws Exception {
        String run = null;
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                run = line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile());
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        for (int i = 0; i < 300 && process.isAlive(); i++) {
            Thread.sleep(100);
            try (Client client = new Client(address)) {
                client.send("");
                if (client.readAnswer(1_000).startsWith("empty")) {
                    return true;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
        }
        return false;
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    void end() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }
}
