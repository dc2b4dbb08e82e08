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
 * What the platform tells a proxy, from the file named by {@code ROUTER_CONFIG}.
 *
 * @param version that of the list {@code known}, which may be old
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
            Discovery.ListUpdate known = EndpointList.complete(list.entries());
            key = "listen";
            InetSocketAddress listen = EndpointListCodec.address(root.get(key).getAsString());
            key = "discovery";
            InetSocketAddress discovery =
                    EndpointListCodec.address(root.get(key).getAsString());
            key = "seed";
            long seed = Long.parseUnsignedLong(root.get(key).getAsString(), 16);
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
