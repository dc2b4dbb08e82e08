package crankwick.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import crankwick.discovery.Discovery.DiscoveredEndpoint;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.Role;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Decodes discovery's JSON lists of databases and maps their field names to the terms used in this code. */
public final class EndpointListCodec {
    private static final double MICROS_PER_MILLI = 1_000;

    private final List<String> zones;

    /** {@code zones} has the zone names by zone index. */
    public EndpointListCodec(List<String> zones) {
        this.zones = zones;
    }

    /** A list's version, whether it claims to be complete, and its entries, some possibly unreadable. */
    public record VersionedList(long version, boolean full, List<EndpointList.Entry> entries) {}

    /**
     * Decodes a list; an entry that cannot be decoded carries the fault. Throws EndpointListFormatException if the list
     * itself cannot be decoded.
     */
    public VersionedList parse(String json) {
        try {
            return parse(JsonParser.parseString(json).getAsJsonObject());
        } catch (JsonParseException | IllegalStateException e) {
            throw new EndpointListFormatException(e.getMessage(), e);
        }
    }

    /** Decodes a list that is part of a larger JSON document, with the same exceptions. */
    public VersionedList parse(JsonObject root) {
        try {
            List<EndpointList.Entry> entries = new ArrayList<>();
            for (JsonElement element : required(root, "servers").getAsJsonArray()) {
                entries.add(entry(element, entries.size()));
            }
            long version = required(root, "version").getAsLong();
            return new VersionedList(version, required(root, "full").getAsBoolean(), entries);
        } catch (IllegalStateException | UnsupportedOperationException | NumberFormatException e) {
            throw new EndpointListFormatException(e.getMessage(), e);
        }
    }

    private EndpointList.Entry entry(JsonElement element, int index) {
        String endpointId = null;
        EndpointStatus status = null;
        try {
            JsonObject entry = element.getAsJsonObject();
            endpointId = required(entry, "id").getAsString();
            status = parseStatus(required(entry, "state").getAsString());
            return EndpointList.Entry.of(discovered(entry, endpointId, status));
        } catch (IllegalArgumentException | IllegalStateException | UnsupportedOperationException unreadable) {
            String fault = "servers[" + index + "]: " + unreadable.getMessage();
            return new EndpointList.Entry(endpointId, status, null, fault);
        }
    }

    private DiscoveredEndpoint discovered(JsonObject entry, String endpointId, EndpointStatus status) {
        boolean primary = entry.has("mode") && entry.get("mode").getAsString().equals("read-write");
        double startedMillis = entry.has("started_ms") ? entry.get("started_ms").getAsDouble() : 0;
        Endpoint endpoint = new Endpoint(
                endpointId,
                zones.indexOf(required(entry, "zone").getAsString()),
                required(entry, "cell").getAsLong(),
                primary ? Role.PRIMARY : Role.UNKNOWN,
                status,
                (long) (startedMillis * MICROS_PER_MILLI));
        return new DiscoveredEndpoint(
                endpoint, parseAddress(required(entry, "addr").getAsString()));
    }

    private static JsonElement required(JsonObject object, String name) {
        JsonElement value = object.get(name);
        if (value == null) {
            throw new EndpointListFormatException(name + " is missing");
        }
        return value;
    }

    /** Converts an entry's {@code state} to a status. */
    static EndpointStatus parseStatus(String state) {
        return switch (state) {
            case "up" -> EndpointStatus.LIVE;
            case "draining" -> EndpointStatus.DRAINING;
            case "removed" -> EndpointStatus.REMOVED;
            default -> throw new EndpointListFormatException("unknown state " + state);
        };
    }

    /** Parses an address of the form host:port. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new EndpointListFormatException("invalid address, expected host:port: " + text);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
