package crankwick.emulator;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import crankwick.routing.api.Role;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** Lists the emulated databases for proxies: over HTTP as the platform's discovery, and as a zone file. */
public final class EmulatedEndpointList implements AutoCloseable {
    private static final long MAX_HOLD_MILLIS = 60_000;
    private static final long RECHECK_MILLIS = 100;

    private final Map<String, EmulatedEndpoint> current = new LinkedHashMap<>();
    private final String zoneName;
    /** Null for none. */
    private final ZoneFile zoneFile;

    private final HttpServer server;
    private List<EmulatedEndpoint> published = List.of();
    private long version;

    /** Listens at a port of its own; {@code zoneFile} may be null for none. */
    public EmulatedEndpointList(String zoneName, Path zoneFile) throws IOException {
        this.zoneName = zoneName;
        this.zoneFile = zoneFile == null ? null : new ZoneFile(zoneName, zoneFile);
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

    /** Sets endpoints, which are served once they are published. */
    synchronized void set(List<EmulatedEndpoint> endpoints) {
        for (EmulatedEndpoint endpoint : endpoints) {
            Role role = endpoint.role() == Role.UNKNOWN ? listedRole(endpoint.id()) : endpoint.role();
            current.put(endpoint.id(), endpoint.withRole(role));
        }
    }

    private Role listedRole(String id) {
        EmulatedEndpoint listed = current.get(id);
        if (listed != null) {
            return listed.role();
        }
        return id.endsWith("m0") ? Role.PRIMARY : Role.REPLICA;
    }

    /** Serves what has been set from now on. */
    synchronized void publish() {
        published = new ArrayList<>(current.values());
        version++;
        notifyAll();
        if (zoneFile != null) {
            zoneFile.write(published);
        }
    }

    /** The whole list as discovery has it. */
    public synchronized String json() {
        JsonObject root = new JsonObject();
        root.addProperty("version", version);
        root.addProperty("full", true);
        JsonArray servers = new JsonArray();
        published.forEach(endpoint -> servers.add(json(endpoint)));
        root.add("servers", servers);
        return root.toString();
    }

    private JsonObject json(EmulatedEndpoint endpoint) {
        JsonObject server = new JsonObject();
        server.addProperty("id", endpoint.id());
        server.addProperty("addr", "127.0.0.1:" + endpoint.port());
        server.addProperty("zone", zoneName);
        server.addProperty("cell", endpoint.groupId());
        server.addProperty("state", endpoint.state());
        server.addProperty("mode", endpoint.mode());
        server.addProperty("started_ms", endpoint.startedAtMillis());
        return server;
    }

    private void answer(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        long from = query == null ? -1 : Long.parseLong(query.replaceAll("from=(\\d+).*", "$1"));
        long hold = query == null ? 0 : Long.parseLong(query.replaceAll(".*hold_ms=(\\d+).*", "$1"));
        byte[] body = awaitVersionAfter(from, hold).getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(HttpURLConnection.HTTP_OK, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    /** The list once it is newer than a version, or as it is at the end of the hold. */
    private synchronized String awaitVersionAfter(long from, long holdMillis) {
        long until = System.currentTimeMillis() + Math.min(MAX_HOLD_MILLIS, holdMillis);
        while (from >= version && System.currentTimeMillis() < until) {
            try {
                wait(RECHECK_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        return json();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
