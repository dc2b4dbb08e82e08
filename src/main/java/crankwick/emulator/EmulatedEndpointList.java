package crankwick.emulator;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import crankwick.routing.api.Role;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** Tells proxies of the emulated databases: over HTTP as the platform's discovery, and as a zone's file. */
public final class EmulatedEndpointList implements AutoCloseable {
    private static final long WAIT_MOST = 60_000;

    /** A database's line; a role UNKNOWN leaves the one that was told before; the start in Unix ms. */
    record Entry(String server, int port, long group, Role role, boolean drains, long startedMs) {
        String state() {
            return drains ? "draining" : "up";
        }

        String mode() {
            return role == Role.PRIMARY ? "read-write" : "read-only";
        }
    }

    private final Map<String, Entry> current = new LinkedHashMap<>();
    private final String zoneName;
    private final Path zoneFile;
    private final HttpServer server;
    private List<Entry> shown = List.of();
    private long version;

    /** Listens at a port of its own; {@code zoneFile} may be null for none. */
    public EmulatedEndpointList(String zoneName, Path zoneFile) throws IOException {
        this.zoneName = zoneName;
        this.zoneFile = zoneFile;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "list");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/discovery/hosts", this::answer);
        server.start();
    }

    /** Where it listens. */
    public int port() {
        return server.getAddress().getPort();
    }

    synchronized void set(List<Entry> entries) {
        for (Entry e : entries) {
            Entry before = current.get(e.server());
            Role role = e.role() != Role.UNKNOWN
                    ? e.role()
                    : before != null ? before.role() : e.server().endsWith("m0") ? Role.PRIMARY : Role.REPLICA;
            current.put(e.server(), new Entry(e.server(), e.port(), e.group(), role, e.drains(), e.startedMs()));
        }
    }

    /** What has been set is told from now on. */
    synchronized void publish() {
        shown = new ArrayList<>(current.values());
        version++;
        notifyAll();
        if (zoneFile != null) {
            try {
                Path whole = zoneFile.resolveSibling(zoneFile.getFileName() + ".new");
                Files.writeString(whole, zone());
                Files.move(whole, zoneFile, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
            } catch (IOException e) {
                throw new IllegalStateException("the zone's file can't be written", e);
            }
        }
    }

    /** The whole list as discovery has it. */
    public synchronized String json() {
        JsonObject root = new JsonObject();
        root.addProperty("version", version);
        root.addProperty("full", true);
        JsonArray servers = new JsonArray();
        for (Entry e : shown) {
            JsonObject o = new JsonObject();
            o.addProperty("id", e.server());
            o.addProperty("addr", "127.0.0.1:" + e.port());
            o.addProperty("zone", zoneName);
            o.addProperty("cell", e.group());
            o.addProperty("state", e.state());
            o.addProperty("mode", e.mode());
            o.addProperty("started_ms", e.startedMs());
            servers.add(o);
        }
        root.add("servers", servers);
        return root.toString();
    }

    private String zone() {
        StringBuilder zone = new StringBuilder("$TTL 5\ndb.stations.example. IN A 127.0.0.1\n");
        for (Entry e : shown) {
            zone.append("@ IN PTR ")
                    .append(e.server())
                    .append("._tds._tcp.stations.example.\n")
                    .append(e.server())
                    .append(" IN SRV 0 0 ")
                    .append(e.port())
                    .append(" db.stations.example.\n")
                    .append(e.server())
                    .append(" IN TXT zone=")
                    .append(zoneName)
                    .append(" cell=")
                    .append(e.group())
                    .append(" mode=")
                    .append(e.mode())
                    .append(" state=")
                    .append(e.state())
                    .append(" started_ms=")
                    .append(e.startedMs())
                    .append('\n');
        }
        return zone.toString();
    }

    private void answer(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        long from = query == null ? -1 : Long.parseLong(query.replaceAll("from=(\\d+).*", "$1"));
        byte[] body;
        synchronized (this) {
            long hold = query == null ? 0 : Long.parseLong(query.replaceAll(".*hold_ms=(\\d+).*", "$1"));
            long until = System.currentTimeMillis() + Math.min(WAIT_MOST, hold);
            while (from >= version && System.currentTimeMillis() < until) {
                try {
                    wait(100);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    break;
                }
            }
            body = json().getBytes(StandardCharsets.UTF_8);
        }
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
