package crankwick.settings;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import crankwick.routing.api.ConsistencyLevel;
import crankwick.routing.api.CostWeights;
import crankwick.routing.api.DeduplicationScope;
import crankwick.routing.api.Idempotency;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.RoleVisibility;
import crankwick.routing.api.RoutingLimits;
import crankwick.routing.api.RoutingRules;
import crankwick.routing.api.RoutingSettings;
import crankwick.routing.api.StaleReadPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Maps the keys and values of the platform's settings to the routing module's terms; ignores unknown keys. */
public final class SettingsCodec {
    private static final Map<String, ConsistencyLevel> CONSISTENCY_LEVELS = Map.of(
            "write",
            ConsistencyLevel.WRITE,
            "fresh",
            ConsistencyLevel.STRONG,
            "session",
            ConsistencyLevel.SESSION,
            "bounded",
            ConsistencyLevel.BOUNDED_STALENESS,
            "any",
            ConsistencyLevel.EVENTUAL);
    private static final Map<String, Idempotency> IDEMPOTENCIES =
            Map.of("safe", Idempotency.IDEMPOTENT, "keyed", Idempotency.WITH_KEY, "unsafe", Idempotency.NON_IDEMPOTENT);
    private static final Map<String, DeduplicationScope> DEDUPLICATION_SCOPES =
            Map.of("all", DeduplicationScope.FLEET, "zone", DeduplicationScope.ZONE, "cell", DeduplicationScope.GROUP);
    private static final Map<String, StaleReadPolicy> STALE_READ_POLICIES =
            Map.of("off", StaleReadPolicy.SERVE, "refuse", StaleReadPolicy.REJECT, "wait", StaleReadPolicy.WAIT);
    private static final Map<String, RoleVisibility> ROLE_VISIBILITIES =
            Map.of("off", RoleVisibility.HIDDEN, "start", RoleVisibility.AT_START, "late", RoleVisibility.DELAYED);

    private final SettingsObject root;
    private final RoutingSettings routingSettings;
    private final long timeOriginMicros;
    private final List<String> reportFields;

    /**
     * Parses the settings; throws IllegalArgumentException with the path of a missing or invalid setting. The settings
     * that only the proxy process uses are checked by their accessors.
     */
    public SettingsCodec(String json) {
        root = SettingsObject.parse(json);
        SettingsObject family = root.object("family-info");
        timeOriginMicros = family.micros("counted-from-ms");
        reportFields = readReportFields();
        routingSettings = new RoutingSettings(
                root.integer("balancers"),
                root.integer("my-zone"),
                "ask".equals(root.text("discovery")),
                family.flag("stamps"),
                "carried".equals(family.text("session-marks")),
                family.choice(STALE_READ_POLICIES, "when-behind"),
                family.choice(ROLE_VISIBILITIES, "shows-role"),
                rules(root.object("rules")),
                limits(root.object("bounds")),
                costs(root.object("charges")),
                requestClasses(family));
    }

    private List<String> readReportFields() {
        if (!root.has("report") || !root.object("report").has("fields")) {
            return List.of();
        }
        return List.copyOf(texts(root.object("report").array("fields"), "report.fields"));
    }

    /** The settings in the routing module's terms. */
    public RoutingSettings routingSettings() {
        return routingSettings;
    }

    /** The Unix time that replication positions are relative to, in microseconds. */
    public long timeOrigin() {
        return timeOriginMicros;
    }

    /** The field names of a load report, in the order of its values; empty if the settings do not name them. */
    public List<String> reportFields() {
        return reportFields;
    }

    /** The names of the request classes, by class index; used by the proxy process, not by the simulator. */
    public List<String> requestClassNames() {
        List<String> names = new ArrayList<>();
        for (JsonElement requestClass : root.array("classes")) {
            names.add(SettingsObject.object(requestClass, "classes[" + names.size() + "]")
                    .text("name"));
        }
        return names;
    }

    /** The names of the zones, by zone index; used by the proxy process, not by the simulator. */
    public List<String> zoneNames() {
        return texts(root.array("failure-domains"), "failure-domains");
    }

    /**
     * How long a database lets a connection be idle before it closes the connection, in microseconds; used by the proxy
     * process, not by the simulator.
     */
    public long connectionIdleTimeout() {
        return root.object("bounds").micros("conn-idle-ms");
    }

    private List<RequestClass> requestClasses(SettingsObject family) {
        JsonArray consistencyLevels = family.array("freshness");
        JsonArray stalenessBounds = family.array("oldest-data-ms");
        JsonArray classes = root.array("classes");
        if (consistencyLevels.size() != classes.size() || stalenessBounds.size() != classes.size()) {
            throw SettingsObject.invalidSetting("family-info.freshness", null);
        }
        List<RequestClass> requestClasses = new ArrayList<>();
        for (int i = 0; i < classes.size(); i++) {
            SettingsObject requestClass = SettingsObject.object(classes.get(i), "classes[" + i + "]");
            requestClasses.add(new RequestClass(
                    SettingsObject.choice(
                            CONSISTENCY_LEVELS, consistencyLevels.get(i), "family-info.freshness[" + i + "]"),
                    SettingsObject.micros(stalenessBounds.get(i), "family-info.oldest-data-ms[" + i + "]"),
                    requestClass.choice(IDEMPOTENCIES, "repeat"),
                    requestClass.choice(DEDUPLICATION_SCOPES, "dedup-scope"),
                    requestClass.micros("key-ttl-ms"),
                    requestClass.micros("slo-ms"),
                    requestClass.micros("deadline-ms"),
                    requestClass.number("worth"),
                    requestClass.number("late-value")));
        }
        return requestClasses;
    }

    private static RoutingRules rules(SettingsObject rules) {
        return new RoutingRules(
                rules.micros("answer-slack-ms"),
                rules.micros("drain-grace-ms"),
                rules.has("dropped-stay-open") && rules.flag("dropped-stay-open"),
                rules.number("start-capacity"),
                rules.micros("ramp-time-ms"),
                rules.number("fall-multiple"),
                rules.micros("tip-after-ms"));
    }

    private static RoutingLimits limits(SettingsObject bounds) {
        return new RoutingLimits(
                bounds.flag("probes"),
                bounds.flag("may-cancel"),
                bounds.flag("retry-after"),
                bounds.micros("max-retry-after-ms"),
                bounds.integer("max-attempts"),
                bounds.micros("connect-timeout-ms"));
    }

    private static CostWeights costs(SettingsObject charges) {
        return new CostWeights(charges.number("cross-zone"), charges.number("probe"), charges.number("waste"));
    }

    private static List<String> texts(JsonArray array, String path) {
        List<String> texts = new ArrayList<>();
        for (JsonElement element : array) {
            texts.add(SettingsObject.text(element, path));
        }
        return texts;
    }
}
