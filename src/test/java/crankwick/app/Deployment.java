package crankwick.app;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
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

/** Runs the program as a process, with a group of three scripted databases and the endpoint list that names them. */
final class Deployment implements AutoCloseable {
    static final int DEFAULT_SOCKETS = 512;
    private static final Path OPERATOR_FILE = Path.of("deploy/tds.toml");

    /** A client whose login and first query are complete, so that a test may leave it idle before the next query. */
    final class Client implements AutoCloseable {
        final Socket socket;
        final DataInputStream in;

        Client(String team) throws IOException {
            socket = connect();
            wire.login(socket, team);
            in = new DataInputStream(socket.getInputStream());
            if (!execute("").kind().equals("EMPTY")) {
                throw new IOException("the empty query got no empty answer");
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
    /** Collects the log; ends with the program. */
    private Thread logReader;

    private final Path directory = Files.createTempDirectory("crankwick");
    private final Map<String, String> states = new LinkedHashMap<>();
    ScriptedDiscovery discovery;
    private final Path config = directory.resolve("config");
    private String zoneFile = "stations.zone";
    private final int port;
    private int version = 1;
    /** Calls to discovery with a lower number are never answered. */
    private int firstAnsweredCall;

    private int discoveryCalls;
    /** Receive buffer of a client's socket in bytes; the system's default if 0. */
    volatile int receiveBufferBytes;
    /** Number of databases of other groups in the list. */
    volatile int otherGroupEndpoints;
    /** Adds malformed entries to the list, and omits the ports of draining databases. */
    volatile boolean hasMalformedEntries;
    /** How long discovery delays the handling of each call. */
    private int callDelayMillis;

    /** When the long poll of the last call times out, by {@link System#nanoTime}. */
    private long watchTimeoutAt;

    Deployment(TestWireClient wire) throws IOException, InterruptedException {
        this(wire, "", "");
    }

    /**
     * Starts the program with {@code originalText} replaced in the operator's file, and thus also in the settings of
     * the platform configuration, which are read from that file.
     */
    Deployment(TestWireClient wire, String originalText, String replacementText)
            throws IOException, InterruptedException {
        this(wire, originalText, replacementText, List.of(), "-Xmx64m");
    }

    /** Starts the program on one core, see {@link ProxyProcess#allowedCore}, with the heap of the deploy file. */
    static Deployment onOneCore(TestWireClient wire, int core, int sockets) throws IOException, InterruptedException {
        String limit = "sockets = ";
        List<String> launcher = List.of("taskset", "-c", ProxyProcess.allowedCore(core));
        return new Deployment(wire, limit + DEFAULT_SOCKETS, limit + sockets, launcher, "-Xmx48m");
    }

    private Deployment(
            TestWireClient wire, String originalText, String replacementText, List<String> launcher, String heap)
            throws IOException, InterruptedException {
        this.wire = wire;
        this.originalText = originalText;
        this.replacementText = replacementText;
        for (String name : List.of("s-a", "s-b", "s-c")) {
            databases.add(
                    new ScriptedDatabase(name, name.equals("s-a") ? "read-write" : "read-only", wire, attemptLog));
            states.put(name, "up");
        }
        discovery = new ScriptedDiscovery(this::answerCall);
        writeZone();
        boolean pg = wire instanceof PgTestClient;
        Files.writeString(config, pg ? platformConfig() : operatorFile());
        process = ProxyProcess.start(pg ? config : null, pg ? null : config, launcher, heap);
        port = awaitPort();
        client().close();
    }

    /** Replaces the configuration by another text and sends SIGHUP. */
    void reload(String text) throws IOException, InterruptedException {
        Files.writeString(config, text);
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
        Thread.sleep(500);
    }

    /** Starts a discovery server on another port, reloads the configuration with it and returns the old server. */
    ScriptedDiscovery changeDiscoveryAddress() throws IOException, InterruptedException {
        return changeDiscoveryAddress(this::answerCall);
    }

    ScriptedDiscovery changeDiscoveryAddress(ScriptedDiscovery.ListSource listSource)
            throws IOException, InterruptedException {
        ScriptedDiscovery old = discovery;
        discovery = new ScriptedDiscovery(listSource);
        zoneFile = "moved.zone";
        writeZone();
        reload(wire instanceof PgTestClient ? platformConfig() : operatorFile());
        return old;
    }

    private int awaitPort() throws IOException, InterruptedException {
        logReader = ProxyProcess.collectLog(process, log);
        return ProxyProcess.awaitListenPort(log, 0);
    }

    private String platformConfig() throws IOException {
        String settings = Toml.parse(operatorFile()).getTable("settings").toJson();
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                + discovery.port() + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"sockets\":" + Toml.parse(operatorFile()).getLong("sockets") + "},\"known\":" + json(0)
                + ",\"settings\":" + settings + "}";
    }

    private String operatorFile() throws IOException {
        return Files.readString(OPERATOR_FILE)
                .replace("127.0.0.1:1433", "127.0.0.1:0")
                .replace("stations.zone", zoneFile)
                .replace(originalText, replacementText);
    }

    private String answerCall(String query) throws InterruptedException {
        int from = query == null ? 0 : Integer.parseInt(query.replaceAll("from=(\\d+).*", "$1"));
        int pollTimeoutMillis = query == null ? 0 : Integer.parseInt(query.replaceAll(".*hold_ms=(\\d+).*", "$1"));
        synchronized (states) {
            int call = discoveryCalls++;
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(callDelayMillis + pollTimeoutMillis);
            watchTimeoutAt = until;
            pause(callDelayMillis);
            while (from >= version && System.nanoTime() < until || call < firstAnsweredCall) {
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
     * Leaves the open watch unanswered, and delays each later call by {@code nextCallDelayMillis}. Returns the time, by
     * {@link System#nanoTime}, from which the changes that this watch misses count as announced: 6 s from now, or 2 s
     * after the watch's long poll times out if that is later.
     */
    long silenceWatch(int nextCallDelayMillis) throws InterruptedException {
        synchronized (states) {
            while (watchTimeoutAt < System.nanoTime()) {
                pause(50);
            }
            firstAnsweredCall = discoveryCalls;
            callDelayMillis = nextCallDelayMillis;
            return Math.max(
                    System.nanoTime() + TimeUnit.SECONDS.toNanos(6), watchTimeoutAt + TimeUnit.SECONDS.toNanos(2));
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
                    + (lacksPort(d) ? "" : ":" + d.listener.getLocalPort())
                    + "\",\"zone\":\"ulemiste\",\"cell\":0,\"state\":\"" + states.get(d.name)
                    + "\",\"mode\":\"" + d.mode + "\",\"started_ms\":0}");
        }
        return "{\"version\":" + version + ",\"full\":" + (from == 0) + ",\"servers\":[" + String.join(",", entries)
                + "]}";
    }

    private boolean lacksPort(ScriptedDatabase d) {
        return hasMalformedEntries && states.get(d.name).equals("draining");
    }

    private void writeZone() throws IOException {
        StringBuilder zone = new StringBuilder("$TTL 5\ndb.stations.example. IN A 127.0.0.1\n");
        for (ScriptedDatabase d : databases) {
            zone.append(hasMalformedEntries ? "@ IN PTR nowhere._tds._tcp.stations.example.\n" : "")
                    .append("@ IN PTR ")
                    .append(d.name)
                    .append("._tds._tcp.stations.example.\n");
            if (!lacksPort(d)) {
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
        Path newFile = Files.writeString(directory.resolve("new.zone"), zone);
        Files.move(
                newFile,
                directory.resolve(zoneFile),
                StandardCopyOption.REPLACE_EXISTING,
                StandardCopyOption.ATOMIC_MOVE);
    }

    /** Changes the state of one database in the list, and waits 1 s for the program to receive it. */
    void publishState(ScriptedDatabase database, String state) throws IOException, InterruptedException {
        publishStates(Map.of(database.name, state));
    }

    /** Changes this database to draining and the others to up, in one update of the list; waits as above. */
    void drainOnly(ScriptedDatabase database) throws IOException, InterruptedException {
        Map<String, String> all = new LinkedHashMap<>();
        databases.forEach(d -> all.put(d.name, d == database ? "draining" : "up"));
        publishStates(all);
    }

    /** Changes the states of several databases in one update of the list; waits as above. */
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

    /** Log lines at level ERROR; lines at other levels may contain the word as a request's outcome. */
    List<String> errorLines() {
        return log.stream().filter(line -> line.matches("\\[[^]]*\\] ERROR .*")).toList();
    }

    /** Sends SIGTERM, waits for the program to end and returns the log line with its counters. */
    String terminate() throws IOException, InterruptedException {
        process.toHandle().destroy();
        if (!process.waitFor(10, TimeUnit.SECONDS)) {
            throw new IOException("the program did not end within 10 s of SIGTERM");
        }
        logReader.join();
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
