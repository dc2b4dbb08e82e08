package crankwick.simhost;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import crankwick.RouterApi;
import crankwick.RouterApi.ListRole;
import crankwick.RouterApi.Need;
import crankwick.RouterApi.Repeat;
import crankwick.RouterApi.RequestClass;
import crankwick.RouterApi.Scope;
import crankwick.RouterApi.WhenBehind;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Translates the wire's settings; values that are not named there are ignored. */
public final class SettingsCodec {
    private static final Map<String, Need> NEEDS = Map.of(
            "write",
            Need.WRITE,
            "fresh",
            Need.FRESH,
            "session",
            Need.SESSION,
            "bounded",
            Need.BOUNDED,
            "any",
            Need.ANY);
    private static final Map<String, Repeat> REPEATS =
            Map.of("safe", Repeat.SAFE, "keyed", Repeat.KEYED, "unsafe", Repeat.UNSAFE);
    private static final Map<String, Scope> SCOPES = Map.of("all", Scope.ALL, "zone", Scope.ZONE, "cell", Scope.GROUP);
    private static final Map<String, WhenBehind> BEHIND =
            Map.of("off", WhenBehind.SERVE, "refuse", WhenBehind.REFUSE, "wait", WhenBehind.WAIT);
    private static final Map<String, ListRole> LIST_ROLES =
            Map.of("off", ListRole.OFF, "start", ListRole.START, "late", ListRole.LATE);

    public final RouterApi.Settings settings;
    final long zero;
    final List<String> reportFields = new ArrayList<>();

    private final JsonObject root;

    /** Reads the settings; throws IllegalArgumentException naming the one at fault. */
    public SettingsCodec(String json) {
        try {
            root = JsonParser.parseString(json).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            throw new IllegalArgumentException("unusable setting: config is not a JSON object", e);
        }
        JsonObject family = object("family-info");
        zero = micros(family, "family-info.counted-from-ms");
        if (root.has("report") && object("report").has("fields")) {
            for (JsonElement field : array(object("report"), "report.fields")) {
                reportFields.add(text(field, "report.fields"));
            }
        }
        settings = new RouterApi.Settings(
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
            Need need = NEEDS.get(text(needs.get(i), "family-info.freshness[" + i + "]"));
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

    private static RouterApi.Rules rules(JsonObject o) {
        return new RouterApi.Rules(
                micros(o, "rules.answer-slack-ms"),
                micros(o, "rules.drain-grace-ms"),
                o.has("dropped-stay-open") && flag(o, "rules.dropped-stay-open"),
                number(o, "rules.start-capacity"),
                micros(o, "rules.ramp-time-ms"),
                number(o, "rules.fall-multiple"),
                micros(o, "rules.tip-after-ms"));
    }

    private static RouterApi.Limits limits(JsonObject o) {
        return new RouterApi.Limits(
                flag(o, "bounds.probes"),
                flag(o, "bounds.may-cancel"),
                flag(o, "bounds.retry-after"),
                micros(o, "bounds.max-retry-after-ms"),
                (int) number(o, "bounds.max-attempts"),
                micros(o, "bounds.connect-timeout-ms"));
    }

    private static RouterApi.Prices prices(JsonObject o) {
        return new RouterApi.Prices(
                number(o, "charges.cross-zone"), number(o, "charges.probe"), number(o, "charges.waste"));
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
