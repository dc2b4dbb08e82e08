package crankwick.app;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import crankwick.discovery.Discovery;
import crankwick.discovery.EndpointList;
import crankwick.discovery.EndpointListCodec;
import crankwick.settings.SettingsCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The platform's configuration of a proxy, from the file named by {@code ROUTER_CONFIG}.
 *
 * @param sockets the limit of open sockets
 * @param version the version of {@code known}
 * @param known the endpoint list at the start, which may be outdated
 */
record PlatformConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        SettingsCodec settings,
        long version,
        Discovery.ListUpdate known) {
    private static final int SEED_RADIX = 16;

    /** Reads the file; throws IllegalArgumentException naming the key at fault. */
    static PlatformConfig read(Path file) throws IOException {
        String text = Files.readString(file);
        String key = "config";
        try {
            JsonObject root = JsonParser.parseString(text).getAsJsonObject();
            key = "settings";
            SettingsCodec settings = new SettingsCodec(root.getAsJsonObject(key).toString());
            key = "known";
            EndpointListCodec.VersionedList list =
                    new EndpointListCodec(settings.zoneNames()).parse(root.getAsJsonObject(key));
            Discovery.ListUpdate known = EndpointList.requireComplete(list.entries());
            key = "listen";
            InetSocketAddress listen =
                    EndpointListCodec.parseAddress(root.get(key).getAsString());
            key = "discovery";
            InetSocketAddress discovery =
                    EndpointListCodec.parseAddress(root.get(key).getAsString());
            key = "seed";
            long seed = Long.parseUnsignedLong(root.get(key).getAsString(), SEED_RADIX);
            key = "limits.sockets";
            int sockets = root.getAsJsonObject("limits").get("sockets").getAsInt();
            return new PlatformConfig(
                    root.get("name").getAsString(), listen, discovery, seed, sockets, settings, list.version(), known);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(file.getFileName() + ": " + key + ": " + e.getMessage(), e);
        } catch (RuntimeException e) {
            throw new IllegalArgumentException(file.getFileName() + ": unusable key " + key, e);
        }
    }
}
