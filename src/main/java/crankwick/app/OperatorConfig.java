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
import java.util.function.Function;
import java.util.function.Supplier;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlInvalidTypeException;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;
import org.xbill.DNS.Name;
import org.xbill.DNS.TextParseException;

/** The operator's file of the TDS front; see deploy/tds.toml for its keys. */
record OperatorConfig(
        InetSocketAddress listen,
        int sockets,
        DnsSdZoneFile.Zone zone,
        long rereadEvery,
        Map<String, Contract> contracts,
        FailoverSettings changes,
        SettingsCodec settings) {
    private static final Set<String> KEYS = Set.of("listen", "sockets", "discovery", "teams", "handover", "settings");
    private static final Set<String> DISCOVERY_KEYS = Set.of("records", "service", "reread_ms");
    private static final Set<String> TEAM_KEYS = Set.of("classes", "rate_per_second", "outstanding", "deadline_cap_ms");

    private static final Set<String> HANDOVER_KEYS = Set.of(
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
            return read(file, root);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(file + ": " + e.getMessage(), e);
        }
    }

    private static OperatorConfig read(Path file, TomlTable root) {
        known(root, "", KEYS);
        TomlTable discovery = table(root, "discovery");
        known(discovery, "discovery.", DISCOVERY_KEYS);
        SettingsCodec settings;
        try {
            settings = new SettingsCodec(table(root, "settings").toJson());
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("settings: " + e.getMessage(), e);
        }
        String listen = text(root, "listen", "listen");
        InetSocketAddress address = converted("listen", listen, EndpointListCodec::address);
        Path records = file.toAbsolutePath().resolveSibling(text(discovery, "records", "discovery.records"));
        Name service =
                converted("discovery.service", text(discovery, "service", "discovery.service"), OperatorConfig::name);
        DnsSdZoneFile.Zone zone = new DnsSdZoneFile.Zone(records, service);
        converted("discovery.records", zone, z -> databases(z, settings.zoneNames()));
        Map<String, Contract> contracts = new HashMap<>();
        TomlTable teams = table(root, "teams");
        for (String team : teams.keySet()) {
            contracts.put(team, contract(table(teams, team), "teams." + team + ".", settings.classNames()));
        }
        return new OperatorConfig(
                address,
                (int) number(root, "sockets", "sockets", 1),
                zone,
                number(discovery, "reread_ms", "discovery.reread_ms", 1) * 1_000,
                contracts,
                changes(root),
                settings);
    }

    /** Null without the table: changes of primaries are then left to the router alone. */
    private static FailoverSettings changes(TomlTable root) {
        TomlTable in = typed("handover", () -> root.getTable(List.of("handover")));
        if (in == null) {
            return null;
        }
        String at = "handover.";
        known(in, at, HANDOVER_KEYS);
        FailoverSettings d = FailoverSettings.DEFAULT;
        return new FailoverSettings(
                (int) whole(in, at, "held_per_group", d.bufferedPerGroup()),
                (int) whole(in, at, "held_per_team", d.bufferedPerTeam()),
                whole(in, at, "held_bytes_per_group", d.bytesPerGroup()),
                whole(in, at, "held_bytes_per_team", d.bytesPerTeam()),
                share(in, at, "hope_least", d.minSuccessProbability()),
                (int) whole(in, at, "start_window", d.initialWindow()),
                millis(in, at, "key_margin_ms", d.keyMargin()),
                (int) whole(in, at, "keys", d.maxKeys()),
                millis(in, at, "key_memory_ms", d.keyRetention()),
                millis(in, at, "unplanned_least_ms", d.unplannedMin()),
                millis(in, at, "unplanned_most_ms", d.unplannedMax()),
                millis(in, at, "planned_least_ms", d.plannedMin()),
                millis(in, at, "planned_most_ms", d.plannedMax()));
    }

    private static double share(TomlTable in, String at, String key, double instead) {
        if (!in.contains(List.of(key))) {
            return instead;
        }
        if (in.get(List.of(key)) instanceof Number share) {
            return share.doubleValue();
        }
        throw new IllegalArgumentException("unusable key " + at + key);
    }

    private static long whole(TomlTable in, String at, String key, long instead) {
        return in.contains(List.of(key)) ? number(in, key, at + key, 0) : instead;
    }

    private static long millis(TomlTable in, String at, String key, long instead) {
        return in.contains(List.of(key)) ? number(in, key, at + key, 0) * 1_000 : instead;
    }

    private static Contract contract(TomlTable team, String at, List<String> classNames) {
        known(team, at, TEAM_KEYS);
        TomlArray names = typed(at + "classes", () -> team.getArray(List.of("classes")));
        Set<Integer> classes = new HashSet<>();
        for (Object name : names == null ? List.of() : names.toList()) {
            int classIndex = classNames.indexOf(name);
            if (classIndex < 0) {
                throw new IllegalArgumentException("unusable key " + at + "classes: no class " + name);
            }
            classes.add(classIndex);
        }
        return new Contract(
                classes,
                number(team, "rate_per_second", at + "rate_per_second", 0),
                (int) number(team, "outstanding", at + "outstanding", 0),
                number(team, "deadline_cap_ms", at + "deadline_cap_ms", 0) * 1_000);
    }

    private static Discovery.ListUpdate databases(DnsSdZoneFile.Zone zone, List<String> zones) {
        try {
            return EndpointList.complete(DnsSdZoneFile.parse(zone, zones));
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

    private static void known(TomlTable table, String at, Set<String> keys) {
        for (String key : table.keySet()) {
            if (!keys.contains(key)) {
                throw new IllegalArgumentException("unknown key " + at + key);
            }
        }
    }

    private static TomlTable table(TomlTable in, String key) {
        TomlTable table = typed(key, () -> in.getTable(List.of(key)));
        if (table == null) {
            throw new IllegalArgumentException("missing key " + key);
        }
        return table;
    }

    private static String text(TomlTable in, String key, String path) {
        String text = typed(path, () -> in.getString(List.of(key)));
        if (text == null) {
            throw new IllegalArgumentException("missing key " + path);
        }
        return text;
    }

    /** A whole number that is not below {@code least}; where that is 0, the key may be absent. */
    private static long number(TomlTable in, String key, String path, long least) {
        Long number = typed(path, () -> in.getLong(List.of(key)));
        if (number == null && least > 0) {
            throw new IllegalArgumentException("missing key " + path);
        }
        if (number != null && (number < least || number > Integer.MAX_VALUE)) {
            throw new IllegalArgumentException("unusable key " + path);
        }
        return number == null ? 0 : number;
    }

    private static <T> T typed(String path, Supplier<T> value) {
        try {
            return value.get();
        } catch (TomlInvalidTypeException e) {
            throw new IllegalArgumentException("unusable key " + path, e);
        }
    }

    private static <T, R> R converted(String path, T from, Function<T, R> conversion) {
        try {
            return conversion.apply(from);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("unusable key " + path + ": " + e.getMessage(), e);
        }
    }
}
