package crankwick.settings;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
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
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Translates the wire's settings; values that are not named there are ignored. */
public final class SettingsCodec {
    private static final Map<String, ConsistencyLevel> NEEDS = Map.of(
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
    private static final Map<String, Idempotency> REPEATS =
            Map.of("safe", Idempotency.IDEMPOTENT, "keyed", Idempotency.WITH_KEY, "unsafe", Idempotency.NON_IDEMPOTENT);
    private static final Map<String, DeduplicationScope> SCOPES =
            Map.of("all", DeduplicationScope.FLEET, "zone", DeduplicationScope.ZONE, "cell", DeduplicationScope.GROUP);
    private static final Map<String, StaleReadPolicy> BEHIND =
            Map.of("off", StaleReadPolicy.SERVE, "refuse", StaleReadPolicy.REJECT, "wait", StaleReadPolicy.WAIT);
    private static final Map<String, RoleVisibility> LIST_ROLES =
            Map.of("off", RoleVisibility.HIDDEN, "start", RoleVisibility.AT_START, "late", RoleVisibility.DELAYED);

    private final RoutingSettings settings;
    private final long timeOrigin;
    private final List<String> reportFields;

    private final JsonObject root;

    /** Reads the settings; throws IllegalArgumentException naming the one at fault. */
    public SettingsCodec(String json) {
        try {
            root = JsonParser.parseString(json).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            throw new IllegalArgumentException("unusable setting: config is not a JSON object", e);
        }
        JsonObject family = object("family-info");
        timeOrigin = micros(family, "family-info.counted-from-ms");
        reportFields = readReportFields();
        settings = new RoutingSettings(
                (int) number(root, "balancers"),
                (int) number(root, "my-zone"),
                "ask".equals(word(root, "discovery")),
                flag(family, "family-info.stamps"),
                "carried".equals(word(family, "family-info.session-marks")),
                choice(BEHIND, family, "family-info.when-behind"),
                choice(LIST_ROLES, family, "family-info.shows-role"),
                rules(object("rules")),
                limits(object("bounds")),
                prices(object("charges")),
                classes(family));
    }

    private List<String> readReportFields() {
        if (!root.has("report") || !object("report").has("fields")) {
            return List.of();
        }
        List<String> fields = new ArrayList<>();
        for (JsonElement field : array(object("report"), "report.fields")) {
            fields.add(text(field, "report.fields"));
        }
        return List.copyOf(fields);
    }

    /** The settings in the routing module's terms. */
    public RoutingSettings routingSettings() {
        return settings;
    }

    /** The time from which positions are counted, in microseconds of Unix time. */
    public long timeOrigin() {
        return timeOrigin;
    }

    /** The names of a load report's fields, in the order of its figures. */
    public List<String> reportFields() {
        return reportFields;
    }

    /** The classes' names, in order; only a real proxy needs them. */
    public List<String> classNames() {
        List<String> names = new ArrayList<>();
        for (JsonElement c : array(root, "classes")) {
            names.add(word(c.getAsJsonObject(), "classes[" + names.size() + "].name"));
        }
        return names;
    }

    /** The zones' names, in order; only a real proxy needs them. */
    public List<String> zoneNames() {
        List<String> names = new ArrayList<>();
        for (JsonElement zone : array(root, "failure-domains")) {
            names.add(text(zone, "failure-domains"));
        }
        return names;
    }

    /** How long a connection may be idle before a database ends it; only a real proxy needs it. */
    public long connIdle() {
        return micros(object("bounds"), "bounds.conn-idle-ms");
    }

    private List<RequestClass> classes(JsonObject family) {
        JsonArray needs = array(family, "family-info.freshness");
        JsonArray bounds = array(family, "family-info.oldest-data-ms");
        JsonArray all = array(root, "classes");
        if (needs.size() != all.size() || bounds.size() != all.size()) {
            throw unusable("family-info.freshness");
        }
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            if (!all.get(i).isJsonObject()) {
                throw unusable("classes[" + i + "]");
            }
            JsonObject c = all.get(i).getAsJsonObject();
            ConsistencyLevel need = NEEDS.get(text(needs.get(i), "family-info.freshness[" + i + "]"));
            if (need == null) {
                throw unusable("family-info.freshness[" + i + "]");
            }
            String at = "classes[" + i + "].";
            long bound = micros(bounds.get(i), "family-info.oldest-data-ms[" + i + "]");
            classes.add(new RequestClass(
                    need,
                    bound,
                    choice(REPEATS, c, at + "repeat"),
                    choice(SCOPES, c, at + "dedup-scope"),
                    micros(c, at + "key-ttl-ms"),
                    micros(c, at + "slo-ms"),
                    micros(c, at + "deadline-ms"),
                    number(c, at + "worth"),
                    number(c, at + "late-value")));
        }
        return classes;
    }

    private static RoutingRules rules(JsonObject o) {
        return new RoutingRules(
                micros(o, "rules.answer-slack-ms"),
                micros(o, "rules.drain-grace-ms"),
                o.has("dropped-stay-open") && flag(o, "rules.dropped-stay-open"),
                number(o, "rules.start-capacity"),
                micros(o, "rules.ramp-time-ms"),
                number(o, "rules.fall-multiple"),
                micros(o, "rules.tip-after-ms"));
    }

    private static RoutingLimits limits(JsonObject o) {
        return new RoutingLimits(
                flag(o, "bounds.probes"),
                flag(o, "bounds.may-cancel"),
                flag(o, "bounds.retry-after"),
                micros(o, "bounds.max-retry-after-ms"),
                (int) number(o, "bounds.max-attempts"),
                micros(o, "bounds.connect-timeout-ms"));
    }

    private static CostWeights prices(JsonObject o) {
        return new CostWeights(number(o, "charges.cross-zone"), number(o, "charges.probe"), number(o, "charges.waste"));
    }

    private JsonObject object(String name) {
        JsonElement e = root.get(name);
        if (e == null || !e.isJsonObject()) {
            throw unusable(name);
        }
        return e.getAsJsonObject();
    }

    private static JsonElement value(JsonObject o, String path) {
        JsonElement e = o.get(path.substring(path.lastIndexOf('.') + 1));
        if (e == null || e.isJsonNull()) {
            throw unusable(path);
        }
        return e;
    }

    private static JsonArray array(JsonObject o, String path) {
        JsonElement e = value(o, path);
        if (!e.isJsonArray()) {
            throw unusable(path);
        }
        return e.getAsJsonArray();
    }

    private static double number(JsonObject o, String path) {
        try {
            return Double.parseDouble(text(value(o, path), path));
        } catch (NumberFormatException e) {
            throw unusable(path);
        }
    }

    private static String word(JsonObject o, String path) {
        return text(value(o, path), path);
    }

    private static boolean flag(JsonObject o, String path) {
        JsonElement e = value(o, path);
        if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isBoolean()) {
            throw unusable(path);
        }
        return e.getAsBoolean();
    }

    private static long micros(JsonObject o, String path) {
        return micros(value(o, path), path);
    }

    private static long micros(JsonElement millis, String path) {
        try {
            BigDecimal exact = new BigDecimal(text(millis, path));
            return exact.movePointRight(3).setScale(0, RoundingMode.FLOOR).longValue();
        } catch (NumberFormatException e) {
            throw unusable(path);
        }
    }

    private static String text(JsonElement e, String path) {
        if (!e.isJsonPrimitive()) {
            throw unusable(path);
        }
        return e.getAsString();
    }

    private static <T> T choice(Map<String, T> known, JsonObject o, String path) {
        T choice = known.get(word(o, path));
        if (choice == null) {
            throw unusable(path);
        }
        return choice;
    }

    private static IllegalArgumentException unusable(String path) {
        return new IllegalArgumentException("unusable setting: " + path);
    }
}
