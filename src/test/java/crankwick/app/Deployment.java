package crankwick.app;

import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.tomlj.Toml;

/** The real program as a process, a group of three databases, and the list that names them. */
final class Deployment implements AutoCloseable {
    private static final Path OPERATOR_FILE = Path.of("deploy/tds.toml");

    /** A client connection that has asked once, so that a test may let it wait before it asks for more. */
    final class Client implements AutoCloseable {
        final Socket socket;
        final DataInputStream in;

        Client(String team) throws IOException {
            socket = connect();
            wire.login(socket, team);
            in = new DataInputStream(socket.getInputStream());
            if (!execute("").kind().equals("EMPTY")) {
                throw new IOException("the empty query is not answered");
            }
        }

        void send(String statement) throws IOException {
            wire.send(socket, statement);
        }

        TestWireClient.Answer readAnswer() throws IOException {
            return wire.readAnswer(in);
        }

        TestWireClient.Answer execute(String statement) throws IOException {
            send(statement);
            return readAnswer();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    final TestWireClient wire;
    private final String originalText;
    private final String replacementText;
    final ScriptedDatabase.AttemptLog attemptLog = new ScriptedDatabase.AttemptLog();
    final List<ScriptedDatabase> databases = new ArrayList<>();
    final List<String> log = new CopyOnWriteArrayList<>();
    final Process process;
    /** Fills the log; ends when the program has. */
    private Thread reader;

    private final Path folder = Files.createTempDirectory("crankwick");
    private final Map<String, String> states = new LinkedHashMap<>();
    ScriptedDiscovery discovery;
    private final Path config = folder.resolve("config");
    private String zoneFile = "stations.zone";
    private final int port;
    private int version = 1;
    /** Watches that are open now are never answered. */
    private int unansweredCalls;

    private int watchCalls;
    /** Bytes that the system keeps for a client which does not read; as it likes where 0. */
    volatile int receiveBufferBytes;
    /** Databases of other groups that the list names besides. */
    volatile int otherGroupEndpoints;
    /** An entry that can't be read stands before the rest, and where those that drain are can't be read. */
    volatile boolean hasMalformedEntries;
    /** How long a call waits its turn; until when the last one is held. */
    private int callDelayMs;

    private long watchHoldEndsAt;

    Deployment(TestWireClient wire) throws IOException, InterruptedException {
        this(wire, "", "");
    }

    /** Replaces {@code originalText} in the operator's file and in the settings that are taken from it. */
    Deployment(TestWireClient wire, String originalText, String replacementText)
            throws IOException, InterruptedException {
        this.wire = wire;
        this.originalText = originalText;
        this.replacementText = replacementText;
        for (String name : List.of("s-a", "s-b", "s-c")) {
            databases.add(
                    new ScriptedDatabase(name, name.equals("s-a") ? "read-write" : "read-only", wire, attemptLog));
            states.put(name, "up");
        }
        discovery = new ScriptedDiscovery(this::answerWatch);
        writeZone();
        boolean pg = wire instanceof PgTestClient;
        Files.writeString(config, pg ? platformConfig() : operatorFile());
        process = start(pg ? config : null, pg ? null : config);
        port = awaitPort();
        client().close();
    }

    /** Replaces the configuration by another text and sends SIGHUP. */
    void reload(String text) throws IOException, InterruptedException {
        Files.writeString(config, text);
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
        Thread.sleep(500);
    }

    /** Discovery is at another place from now on, as the new configuration says; the old one. */
    ScriptedDiscovery moveDiscovery() throws IOException, InterruptedException {
        return moveDiscovery(this::answerWatch);
    }

    ScriptedDiscovery moveDiscovery(ScriptedDiscovery.ListSource listSource) throws IOException, InterruptedException {
        ScriptedDiscovery old = discovery;
        discovery = new ScriptedDiscovery(listSource);
        zoneFile = "moved.zone";
        writeZone();
        reload(wire instanceof PgTestClient ? platformConfig() : operatorFile());
        return old;
    }

    /** Starts the built program; either configuration may be null. */
    static Process start(Path platform, Path operator) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m"));
        command.addAll(List.of(System.getProperty("crankwick.jvm", "").split(" ")));
        command.removeIf(String::isEmpty);
        command.addAll(List.of("-jar", "target/crankwick.jar", "serve"));
        if (operator != null) {
            command.add(operator.toString());
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        if (platform != null) {
            builder.environment().put("ROUTER_CONFIG", platform.toString());
        }
        return builder.start();
    }

    private int awaitPort() throws IOException, InterruptedException {
        reader = collectLog(process, log);
        return awaitListenPort(log, 0);
    }

    /** Fills a log that is safe to read meanwhile; ends when the program has. */
    static Thread collectLog(Process process, List<String> log) {
        Thread reader = new Thread(
                () -> new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))
                        .lines()
                        .forEach(log::add));
        reader.setDaemon(true);
        reader.start();
        return reader;
    }

    /** The port of the program's front, of several the one that comes up at that place. */
    static int awaitListenPort(List<String> log, int index) throws IOException, InterruptedException {
        for (int i = 0; i < 1_500; i++) {
            List<String> fronts =
                    log.stream().filter(line -> line.contains("listening on")).toList();
            if (fronts.size() > index) {
                return Integer.parseInt(fronts.get(index).replaceAll(".*:", ""));
            }
            Thread.sleep(20);
        }
        throw new IOException("not listening: " + log);
    }

    private String platformConfig() throws IOException {
        String settings = Toml.parse(operatorFile()).getTable("settings").toJson();
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                + discovery.port() + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"sockets\":512},\"known\":" + json(0) + ",\"settings\":" + settings + "}";
    }

    private String operatorFile() throws IOException {
        return Files.readString(OPERATOR_FILE)
                .replace("127.0.0.1:1433", "127.0.0.1:0")
                .replace("stations.zone", zoneFile)
                .replace(originalText, replacementText);
    }

    private String answerWatch(String query) throws InterruptedException {
        int from = query == null ? 0 : Integer.parseInt(query.replaceAll("from=(\\d+).*", "$1"));
        int hold = query == null ? 0 : Integer.parseInt(query.replaceAll(".*hold_ms=(\\d+).*", "$1"));
        synchronized (states) {
            int call = watchCalls++;
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(callDelayMs + hold);
            watchHoldEndsAt = until;
            pause(callDelayMs);
            while (from >= version && System.nanoTime() < until || call < unansweredCalls) {
                pause(50);
            }
            return json(from);
        }
    }

    private void pause(long millis) throws InterruptedException {
        if (millis > 0) {
            states.wait(millis);
        }
    }

    /**
     * The open watch falls silent, and another then waits its turn for so long. Returns when what it misses
     * counts as told, by {@link System#nanoTime}: 6 s from now, or 2 s after its hold.
     */
    long silenceWatch(int nextCallDelayMs) throws InterruptedException {
        synchronized (states) {
            while (watchHoldEndsAt < System.nanoTime()) {
                pause(50);
            }
            unansweredCalls = watchCalls;
            callDelayMs = nextCallDelayMs;
            return Math.max(
                    System.nanoTime() + TimeUnit.SECONDS.toNanos(6), watchHoldEndsAt + TimeUnit.SECONDS.toNanos(2));
        }
    }

    private String json(int from) {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < otherGroupEndpoints; i++) {
            entries.add("{\n  \"id\": \"s-" + (10_000 + i) + "\",\n  \"addr\": \"127.0.0.1:1\",\n"
                    + "  \"zone\": \"ulemiste\",\n  \"cell\": " + (1 + i / 5)
                    + ",\n  \"state\": \"up\",\n  \"started_ms\": 0\n}");
        }
        for (ScriptedDatabase d : databases) {
            entries.add((hasMalformedEntries && d.name.equals("s-a") ? "{\"id\":\"s-x\",\"state\":\"odd\"}," : "")
                    + "{\"id\":\"" + d.name + "\",\"addr\":\"127.0.0.1"
                    + (isUnreadable(d) ? "" : ":" + d.listener.getLocalPort())
                    + "\",\"zone\":\"ulemiste\",\"cell\":0,\"state\":\"" + states.get(d.name)
                    + "\",\"mode\":\"" + d.mode + "\",\"started_ms\":0}");
        }
        return "{\"version\":" + version + ",\"full\":" + (from == 0) + ",\"servers\":[" + String.join(",", entries)
                + "]}";
    }

    private boolean isUnreadable(ScriptedDatabase d) {
        return hasMalformedEntries && states.get(d.name).equals("draining");
    }

    private void writeZone() throws IOException {
        StringBuilder zone = new StringBuilder("$TTL 5\ndb.stations.example. IN A 127.0.0.1\n");
        for (ScriptedDatabase d : databases) {
            zone.append(hasMalformedEntries ? "@ IN PTR nowhere._tds._tcp.stations.example.\n" : "")
                    .append("@ IN PTR ")
                    .append(d.name)
                    .append("._tds._tcp.stations.example.\n");
            if (!isUnreadable(d)) {
                zone.append(d.name)
                        .append(" IN SRV 0 0 ")
                        .append(d.listener.getLocalPort())
                        .append(" db.stations.example.\n");
            }
            zone.append(d.name)
                    .append(" IN TXT zone=ulemiste cell=0 mode=")
                    .append(d.mode)
                    .append(" state=")
                    .append(states.get(d.name))
                    .append('\n');
        }
        Path whole = Files.writeString(folder.resolve("new.zone"), zone);
        Files.move(
                whole, folder.resolve(zoneFile), StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Changes the list, and gives the program time to hear of it. */
    void publishState(ScriptedDatabase database, String state) throws IOException, InterruptedException {
        publishStates(Map.of(database.name, state));
    }

    /** Only this database drains; the change is told at once, as above. */
    void drainOnly(ScriptedDatabase database) throws IOException, InterruptedException {
        Map<String, String> all = new LinkedHashMap<>();
        databases.forEach(d -> all.put(d.name, d == database ? "draining" : "up"));
        publishStates(all);
    }

    /** As above, several at once. */
    void publishStates(Map<String, String> changed) throws IOException, InterruptedException {
        synchronized (states) {
            states.putAll(changed);
            version++;
            states.notifyAll();
        }
        writeZone();
        Thread.sleep(1_000);
    }

    Socket connect() throws IOException {
        Socket socket = new Socket();
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.connect(new InetSocketAddress("127.0.0.1", port));
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(30_000);
        return socket;
    }

    Client client() throws IOException {
        return new Client("collectors");
    }

    ScriptedDatabase primary() {
        return databases.get(0);
    }

    List<ScriptedDatabase> replicas() {
        return databases.subList(1, 3);
    }

    /** Lines of the log at level ERROR; a request's outcome in a line of another level has that name too. */
    List<String> errorLines() {
        return log.stream().filter(line -> line.matches("\\[[^]]*\\] ERROR .*")).toList();
    }

    /** Tells the program to end and waits for that; what it counted, as it says last. */
    String terminate() throws IOException, InterruptedException {
        process.toHandle().destroy();
        if (!process.waitFor(10, TimeUnit.SECONDS)) {
            throw new IOException("does not end");
        }
        reader.join();
        return log.stream()
                .filter(line -> line.contains("counters: "))
                .findAny()
                .orElseThrow();
    }

    @Override
    public void close() throws IOException {
        process.toHandle().destroy();
        try {
            if (!process.waitFor(20, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        discovery.close();
        for (ScriptedDatabase database : databases) {
            database.close();
        }
    }
}
