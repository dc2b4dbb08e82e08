package crankwick.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import crankwick.RouterApi.ListKind;
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

    /**
     * A list and its version. {@code fault} names what is wrong with the first entry that can't be read, or
     * is null; such entries are left out, and a whole list is then no more than changes: none has left it.
     */
    public record Versioned(long version, Discovery.News news, String fault) {
    }

    /** Reads a list; throws IllegalArgumentException or another RuntimeException on what is none. */
    public Versioned parse(String json) {
        return parse(JsonParser.parseString(json).getAsJsonObject());
    }

    /** Reads a list that is part of a larger document. */
    public Versioned parse(JsonObject root) {
        List<Discovery.Host> hosts = new ArrayList<>();
        String fault = null;
        int place = 0;
        for (JsonElement e : root.getAsJsonArray("servers")) {
            try {
                hosts.add(host(e.getAsJsonObject()));
            } catch (RuntimeException unreadable) {
                fault = fault == null ? "servers[" + place + "]: " + unreadable.getMessage() : fault;
            }
            place++;
        }
        boolean whole = root.get("full").getAsBoolean() && fault == null;
        return new Versioned(root.get("version").getAsLong(),
                new Discovery.News(whole ? ListKind.FULL : ListKind.CHANGES, hosts), fault);
    }

    private Discovery.Host host(JsonObject o) {
        Standing standing = standing(o.get("state").getAsString());
        Role role = o.has("mode") && o.get("mode").getAsString().equals("read-write") ? Role.PRIMARY
                : Role.UNKNOWN;
        long started = o.has("started_ms") ? (long) (o.get("started_ms").getAsDouble() * 1_000) : 0;
        Member member = new Member(o.get("id").getAsString(), zones.indexOf(o.get("zone").getAsString()),
                o.get("cell").getAsLong(), role, standing, started);
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
