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
 * The configuration that the platform gives a proxy, read from the file named by {@code ROUTER_CONFIG}.
 *
 * @param sockets the maximum number of open sockets
 * @param endpointListVersion the version of {@code initialEndpoints}
 * @param initialEndpoints the endpoint list used at startup, which may be outdated
 */
record PlatformConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        SettingsCodec settings,
        long endpointListVersion,
        Discovery.ListUpdate initialEndpoints) {
    private static final int SEED_RADIX = 16;

    /** Reads the file; throws an IllegalArgumentException that names the key whose value is missing or invalid. */
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
            Discovery.ListUpdate initialEndpoints = EndpointList.requireComplete(list.entries());
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
                    root.get("name").getAsString(),
                    listen,
                    discovery,
                    seed,
                    sockets,
                    settings,
                    list.version(),
                    initialEndpoints);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(file.getFileName() + ": " + key + ": " + e.getMessage(), e);
        } catch (RuntimeException e) {
            throw new IllegalArgumentException(file.getFileName() + ": unusable key " + key, e);
        }
    }
}
