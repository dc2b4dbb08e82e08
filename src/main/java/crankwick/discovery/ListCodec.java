package crankwick.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import crankwick.RouterApi.Member;
import crankwick.RouterApi.Role;
import crankwick.RouterApi.Standing;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Reads discovery's lists of databases. */
public final class ListCodec {
    private final List<String> zones;

    /** {@code zones} names them in the settings' order. */
    public ListCodec(List<String> zones) {
        this.zones = zones;
    }

    /** A list's version, whether it claims to be whole, and its entries as far as they can be read. */
    public record Versioned(long version, boolean full, List<Listing.Entry> entries) {}

    /** Reads a list; throws IllegalArgumentException or another RuntimeException on what is none. */
    public Versioned parse(String json) {
        return parse(JsonParser.parseString(json).getAsJsonObject());
    }

    /** Reads a list that is part of a larger document. */
    public Versioned parse(JsonObject root) {
        List<Listing.Entry> entries = new ArrayList<>();
        for (JsonElement e : root.getAsJsonArray("servers")) {
            entries.add(entry(e, entries.size()));
        }
        return new Versioned(root.get("version").getAsLong(), root.get("full").getAsBoolean(), entries);
    }

    private Listing.Entry entry(JsonElement e, int place) {
        String server = null;
        Standing standing = null;
        try {
            JsonObject o = e.getAsJsonObject();
            server = o.get("id").getAsString();
            standing = standing(o.get("state").getAsString());
            return Listing.Entry.of(host(o, server, standing));
        } catch (RuntimeException unreadable) {
            return new Listing.Entry(server, standing, null, "servers[" + place + "]: " + unreadable.getMessage());
        }
    }

    private Discovery.Host host(JsonObject o, String server, Standing standing) {
        Role role = o.has("mode") && o.get("mode").getAsString().equals("read-write") ? Role.PRIMARY : Role.UNKNOWN;
        long started = o.has("started_ms") ? (long) (o.get("started_ms").getAsDouble() * 1_000) : 0;
        Member member = new Member(
                server,
                zones.indexOf(o.get("zone").getAsString()),
                o.get("cell").getAsLong(),
                role,
                standing,
                started);
        return new Discovery.Host(member, address(o.get("addr").getAsString()));
    }

    /** A database's standing by its state's name. */
    static Standing standing(String state) {
        return switch (state) {
            case "up" -> Standing.LIVE;
            case "draining" -> Standing.DRAINING;
            case "removed" -> Standing.GONE;
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
