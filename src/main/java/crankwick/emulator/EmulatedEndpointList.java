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

/**
 * Publishes the endpoints of emulated databases to proxies: over HTTP with long polling, as discovery does, and in a
 * zone file.
 */
public final class EmulatedEndpointList implements AutoCloseable {
    private static final long MAX_LONG_POLL_TIMEOUT_MILLIS = 60_000;
    private static final long RECHECK_MILLIS = 100;

    private final Map<String, EmulatedEndpoint> pending = new LinkedHashMap<>();
    private final String zoneName;
    /** The zone file to which the endpoints are written; null if no zone file is written. */
    private final ZoneFile zoneFile;

    private final HttpServer server;
    private List<EmulatedEndpoint> published = List.of();
    private long version;

    /** Listens on an ephemeral port; writes no zone file if {@code zoneFile} is null. */
    public EmulatedEndpointList(String zoneName, Path zoneFile) throws IOException {
        this.zoneName = zoneName;
        this.zoneFile = zoneFile == null ? null : new ZoneFile(zoneName, zoneFile);
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "list");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/discovery/hosts", this::handleRequest);
        server.start();
    }

    /** The port on which the list is served over HTTP. */
    public int port() {
        return server.getAddress().getPort();
    }

    /**
     * Adds or replaces endpoints; proxies see the change after {@link #publish}. A role of UNKNOWN keeps the earlier
     * role.
     */
    synchronized void update(List<EmulatedEndpoint> endpoints) {
        for (EmulatedEndpoint endpoint : endpoints) {
            Role role = endpoint.role() == Role.UNKNOWN ? listedRole(endpoint.id()) : endpoint.role();
            pending.put(endpoint.id(), endpoint.withRole(role));
        }
    }

    private Role listedRole(String id) {
        EmulatedEndpoint listed = pending.get(id);
        if (listed != null) {
            return listed.role();
        }
        return id.endsWith("m0") ? Role.PRIMARY : Role.REPLICA;
    }

    /** Publishes all updates so far as a new version of the list. */
    synchronized void publish() {
        published = new ArrayList<>(pending.values());
        version++;
        notifyAll();
        if (zoneFile != null) {
            zoneFile.write(published);
        }
    }

    /** The complete published list, in the JSON format of discovery. */
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

    private void handleRequest(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        long knownVersion = query == null ? -1 : Long.parseLong(query.replaceAll("from=(\\d+).*", "$1"));
        long longPollTimeoutMillis = query == null ? 0 : Long.parseLong(query.replaceAll(".*hold_ms=(\\d+).*", "$1"));
        byte[] body = awaitVersionAfter(knownVersion, longPollTimeoutMillis).getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(HttpURLConnection.HTTP_OK, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    /**
     * Waits until the list is newer than {@code knownVersion} or the long poll times out, and returns the complete
     * list.
     */
    private synchronized String awaitVersionAfter(long knownVersion, long longPollTimeoutMillis) {
        long deadline = System.currentTimeMillis() + Math.min(MAX_LONG_POLL_TIMEOUT_MILLIS, longPollTimeoutMillis);
        while (knownVersion >= version && System.currentTimeMillis() < deadline) {
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
