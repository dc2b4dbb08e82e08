package crankwick.app;

import crankwick.broker.Contract;
import crankwick.discovery.Discovery;
import crankwick.discovery.DnsSdZoneFile;
import crankwick.discovery.EndpointList;
import crankwick.discovery.EndpointListCodec;
import crankwick.failover.FailoverSettings;
import crankwick.settings.SettingsCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.xbill.DNS.Name;
import org.xbill.DNS.TextParseException;

/**
 * The operator's configuration file of the TDS listener; deploy/tds.toml documents its keys.
 *
 * @param rereadIntervalMicros the interval at which the zone file is reread
 * @param failoverSettings null if the file has no {@code handover} table; the failover coordinator is then
 *     disabled and only the router handles failovers
 */
record OperatorConfig(
        InetSocketAddress listen,
        int sockets,
        DnsSdZoneFile.DnsZone dnsZone,
        long rereadIntervalMicros,
        Map<String, Contract> contracts,
        FailoverSettings failoverSettings,
        SettingsCodec settings) {
    private static final Set<String> ROOT_KEYS =
            Set.of("listen", "sockets", "discovery", "teams", "handover", "settings");
    private static final Set<String> DISCOVERY_KEYS = Set.of("records", "service", "reread_ms");
    private static final Set<String> TEAM_KEYS = Set.of("classes", "rate_per_second", "outstanding", "deadline_cap_ms");

    private static final Set<String> FAILOVER_KEYS = Set.of(
            "held_per_group",
            "held_per_team",
            "held_bytes_per_group",
            "held_bytes_per_team",
            "hope_least",
            "start_window",
            "key_margin_ms",
            "keys",
            "key_memory_ms",
            "unplanned_least_ms",
            "unplanned_most_ms",
            "planned_least_ms",
            "planned_most_ms");

    /**
     * Reads the file; throws an IllegalArgumentException that names the file and the invalid key or the parse error.
     */
    static OperatorConfig read(Path file) {
        TomlParseResult root;
        try {
            root = Toml.parse(file);
        } catch (IOException e) {
            throw new IllegalArgumentException(file + " cannot be read", e);
        }
        if (root.hasErrors()) {
            throw new IllegalArgumentException(file + ": " + root.errors().get(0));
        }
        try {
            return read(file, new ConfigTable(root, ""));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(file + ": " + e.getMessage(), e);
        }
    }

    private static OperatorConfig read(Path file, ConfigTable root) {
        root.requireKnownKeys(ROOT_KEYS);
        ConfigTable discovery = root.requiredTable("discovery");
        discovery.requireKnownKeys(DISCOVERY_KEYS);
        SettingsCodec settings = settings(root.requiredTable("settings"));
        InetSocketAddress listen =
                ConfigTable.convert("listen", root.requiredString("listen"), EndpointListCodec::parseAddress);
        DnsSdZoneFile.DnsZone dnsZone = dnsZone(file, discovery);
        ConfigTable.convert(discovery.path("records"), dnsZone, z -> endpoints(z, settings.zoneNames()));
        Map<String, Contract> contracts = new HashMap<>();
        ConfigTable teams = root.requiredTable("teams");
        for (String team : teams.keys()) {
            contracts.put(team, contract(teams.requiredTable(team), settings.requestClassNames()));
        }
        return new OperatorConfig(
                listen,
                (int) root.requiredPositive("sockets"),
                dnsZone,
                TimeUnit.MILLISECONDS.toMicros(discovery.requiredPositive("reread_ms")),
                contracts,
                failoverSettings(root),
                settings);
    }

    private static SettingsCodec settings(ConfigTable table) {
        try {
            return new SettingsCodec(table.toJson());
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("settings: " + e.getMessage(), e);
        }
    }

    private static DnsSdZoneFile.DnsZone dnsZone(Path file, ConfigTable discovery) {
        Path records = file.toAbsolutePath().resolveSibling(discovery.requiredString("records"));
        Name service = ConfigTable.convert(
                discovery.path("service"), discovery.requiredString("service"), OperatorConfig::parseName);
        return new DnsSdZoneFile.DnsZone(records, service);
    }

    /**
     * Reads the failover coordinator's settings from the {@code handover} table: limits on buffered requests,
     * idempotency-key memory and expected failover durations. Returns null if the table is missing: no coordinator
     * is created then, and only the router handles failovers.
     */
    private static FailoverSettings failoverSettings(ConfigTable root) {
        ConfigTable table = root.optionalTable("handover");
        if (table == null) {
            return null;
        }
        table.requireKnownKeys(FAILOVER_KEYS);
        FailoverSettings defaults = FailoverSettings.DEFAULT;
        return new FailoverSettings(
                (int) table.integerOrDefault("held_per_group", defaults.maxBufferedPerGroup()),
                (int) table.integerOrDefault("held_per_team", defaults.maxBufferedPerTeam()),
                table.integerOrDefault("held_bytes_per_group", defaults.maxBytesPerGroup()),
                table.integerOrDefault("held_bytes_per_team", defaults.maxBytesPerTeam()),
                table.numberOrDefault("hope_least", defaults.minSuccessProbability()),
                (int) table.integerOrDefault("start_window", defaults.initialWindow()),
                table.durationOrDefault("key_margin_ms", defaults.keyMargin()),
                (int) table.integerOrDefault("keys", defaults.maxKeys()),
                table.durationOrDefault("key_memory_ms", defaults.keyRetention()),
                table.durationOrDefault("unplanned_least_ms", defaults.minUnplannedDuration()),
                table.durationOrDefault("unplanned_most_ms", defaults.maxUnplannedDuration()),
                table.durationOrDefault("planned_least_ms", defaults.minPlannedDuration()),
                table.durationOrDefault("planned_most_ms", defaults.maxPlannedDuration()));
    }

    private static Contract contract(ConfigTable team, List<String> classNames) {
        team.requireKnownKeys(TEAM_KEYS);
        Set<Integer> classes = new HashSet<>();
        for (Object name : team.list("classes")) {
            int classIndex = classNames.indexOf(name);
            if (classIndex < 0) {
                throw ConfigTable.invalidKey(team.path("classes") + ": unknown class " + name, null);
            }
            classes.add(classIndex);
        }
        return new Contract(
                classes,
                team.integerOrDefault("rate_per_second", 0),
                (int) team.integerOrDefault("outstanding", 0),
                team.durationOrDefault("deadline_cap_ms", 0));
    }

    private static Discovery.ListUpdate endpoints(DnsSdZoneFile.DnsZone dnsZone, List<String> zones) {
        try {
            return EndpointList.requireComplete(DnsSdZoneFile.parse(dnsZone, zones));
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    private static Name parseName(String text) {
        try {
            return Name.fromString(text, Name.root);
        } catch (TextParseException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }
}
