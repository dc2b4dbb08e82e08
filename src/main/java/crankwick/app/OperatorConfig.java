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
 * The operator's file of the TDS listener; see deploy/tds.toml for its keys.
 *
 * @param rereadIntervalMicros how often the zone file is read again
 * @param failoverSettings null where failovers are left to the router alone
 */
record OperatorConfig(
        InetSocketAddress listen,
        int sockets,
        DnsSdZoneFile.DnsZone zone,
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

    /** Reads the file; throws IllegalArgumentException naming the key at fault. */
    static OperatorConfig read(Path file) {
        TomlParseResult root;
        try {
            root = Toml.parse(file);
        } catch (IOException e) {
            throw new IllegalArgumentException(file + " can't be read", e);
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
        ConfigTable discovery = root.table("discovery");
        discovery.requireKnownKeys(DISCOVERY_KEYS);
        SettingsCodec settings = settings(root.table("settings"));
        InetSocketAddress listen =
                ConfigTable.converted("listen", root.text("listen"), EndpointListCodec::parseAddress);
        DnsSdZoneFile.DnsZone zone = zone(file, discovery);
        ConfigTable.converted(discovery.path("records"), zone, z -> endpoints(z, settings.zoneNames()));
        Map<String, Contract> contracts = new HashMap<>();
        ConfigTable teams = root.table("teams");
        for (String team : teams.keys()) {
            contracts.put(team, contract(teams.table(team), settings.requestClassNames()));
        }
        return new OperatorConfig(
                listen,
                (int) root.positive("sockets"),
                zone,
                TimeUnit.MILLISECONDS.toMicros(discovery.positive("reread_ms")),
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

    private static DnsSdZoneFile.DnsZone zone(Path file, ConfigTable discovery) {
        Path records = file.toAbsolutePath().resolveSibling(discovery.text("records"));
        Name service =
                ConfigTable.converted(discovery.path("service"), discovery.text("service"), OperatorConfig::name);
        return new DnsSdZoneFile.DnsZone(records, service);
    }

    /** Null without the table: failovers are then left to the router alone. */
    private static FailoverSettings failoverSettings(ConfigTable root) {
        ConfigTable table = root.optionalTable("handover");
        if (table == null) {
            return null;
        }
        table.requireKnownKeys(FAILOVER_KEYS);
        FailoverSettings defaults = FailoverSettings.DEFAULT;
        return new FailoverSettings(
                (int) table.integer("held_per_group", defaults.maxBufferedPerGroup()),
                (int) table.integer("held_per_team", defaults.maxBufferedPerTeam()),
                table.integer("held_bytes_per_group", defaults.maxBytesPerGroup()),
                table.integer("held_bytes_per_team", defaults.maxBytesPerTeam()),
                table.number("hope_least", defaults.minSuccessProbability()),
                (int) table.integer("start_window", defaults.initialWindow()),
                table.micros("key_margin_ms", defaults.keyMargin()),
                (int) table.integer("keys", defaults.maxKeys()),
                table.micros("key_memory_ms", defaults.keyRetention()),
                table.micros("unplanned_least_ms", defaults.minUnplannedDuration()),
                table.micros("unplanned_most_ms", defaults.maxUnplannedDuration()),
                table.micros("planned_least_ms", defaults.minPlannedDuration()),
                table.micros("planned_most_ms", defaults.maxPlannedDuration()));
    }

    private static Contract contract(ConfigTable team, List<String> classNames) {
        team.requireKnownKeys(TEAM_KEYS);
        Set<Integer> classes = new HashSet<>();
        for (Object name : team.list("classes")) {
            int classIndex = classNames.indexOf(name);
            if (classIndex < 0) {
                throw ConfigTable.unusable(team.path("classes") + ": no class " + name, null);
            }
            classes.add(classIndex);
        }
        return new Contract(
                classes,
                team.integer("rate_per_second", 0),
                (int) team.integer("outstanding", 0),
                team.micros("deadline_cap_ms", 0));
    }

    private static Discovery.ListUpdate endpoints(DnsSdZoneFile.DnsZone zone, List<String> zones) {
        try {
            return EndpointList.requireComplete(DnsSdZoneFile.parse(zone, zones));
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    private static Name name(String text) {
        try {
            return Name.fromString(text, Name.root);
        } catch (TextParseException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }
}
