package crankwick.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.Role;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Reads discovery's lists of databases. */
public final class EndpointListCodec {
    private final List<String> zones;

    /** {@code zones} names them in the settings' order. */
    public EndpointListCodec(List<String> zones) {
        this.zones = zones;
    }

    /** A list's version, whether it claims to be whole, and its entries as far as they can be read. */
    public record VersionedList(long version, boolean full, List<EndpointList.Entry> entries) {}

    /** Reads a list; throws IllegalArgumentException or another RuntimeException on what is none. */
    public VersionedList parse(String json) {
        return parse(JsonParser.parseString(json).getAsJsonObject());
    }

    /** Reads a list that is part of a larger document. */
    public VersionedList parse(JsonObject root) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (JsonElement e : root.getAsJsonArray("servers")) {
            entries.add(entry(e, entries.size()));
        }
        return new VersionedList(
                root.get("version").getAsLong(), root.get("full").getAsBoolean(), entries);
    }

    private EndpointList.Entry entry(JsonElement e, int place) {
        String server = null;
        EndpointStatus standing = null;
        try {
            JsonObject o = e.getAsJsonObject();
            server = o.get("id").getAsString();
            standing = status(o.get("state").getAsString());
            return EndpointList.Entry.of(host(o, server, standing));
        } catch (RuntimeException unreadable) {
            return new EndpointList.Entry(server, standing, null, "servers[" + place + "]: " + unreadable.getMessage());
        }
    }

    private Discovery.DiscoveredEndpoint host(JsonObject o, String server, EndpointStatus standing) {
        Role role = o.has("mode") && o.get("mode").getAsString().equals("read-write") ? Role.PRIMARY : Role.UNKNOWN;
        long started = o.has("started_ms") ? (long) (o.get("started_ms").getAsDouble() * 1_000) : 0;
        Endpoint member = new Endpoint(
                server,
                zones.indexOf(o.get("zone").getAsString()),
                o.get("cell").getAsLong(),
                role,
                standing,
                started);
        return new Discovery.DiscoveredEndpoint(member, address(o.get("addr").getAsString()));
    }

    /** A database's standing by its state's name. */
    static EndpointStatus status(String state) {
        return switch (state) {
            case "up" -> EndpointStatus.LIVE;
            case "draining" -> EndpointStatus.DRAINING;
            case "removed" -> EndpointStatus.REMOVED;
            default -> throw new IllegalArgumentException("unknown state " + state);
        };
    }

    /** An address of the form host:port. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("not an address: " + text);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
