package crankwick.settings;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.Map;

/**
 * A JSON object in the settings, with typed access; the accessors throw IllegalArgumentException with the path of a
 * missing or invalid setting.
 */
final class SettingsObject {
    /** The number of decimal places by which the point moves right when milliseconds are converted to microseconds. */
    private static final int MILLIS_TO_MICROS_PLACES = 3;

    private final JsonObject json;
    private final String pathPrefix;

    /** The path prefix is empty for the root, and ends with a dot for every other object. */
    private SettingsObject(JsonObject json, String pathPrefix) {
        this.json = json;
        this.pathPrefix = pathPrefix;
    }

    /** Parses the complete settings document. */
    static SettingsObject parse(String text) {
        try {
            return new SettingsObject(JsonParser.parseString(text).getAsJsonObject(), "");
        } catch (JsonParseException | IllegalStateException e) {
            throw invalidSetting("config is not a JSON object", e);
        }
    }

    boolean has(String key) {
        return json.has(key);
    }

    SettingsObject object(String key) {
        return object(json.get(key), pathPrefix + key);
    }

    /** An array element as an object. */
    static SettingsObject object(JsonElement element, String path) {
        if (element == null || !element.isJsonObject()) {
            throw invalidSetting(path, null);
        }
        return new SettingsObject(element.getAsJsonObject(), path + ".");
    }

    JsonArray array(String key) {
        JsonElement element = value(key);
        if (!element.isJsonArray()) {
            throw invalidSetting(pathPrefix + key, null);
        }
        return element.getAsJsonArray();
    }

    String text(String key) {
        JsonElement element = value(key);
        if (!element.isJsonPrimitive()) {
            throw invalidSetting(pathPrefix + key, null);
        }
        return element.getAsString();
    }

    /** The string value of an array element. */
    static String text(JsonElement element, String path) {
        if (!element.isJsonPrimitive()) {
            throw invalidSetting(path, null);
        }
        return element.getAsString();
    }

    boolean flag(String key) {
        JsonElement element = value(key);
        if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isBoolean()) {
            throw invalidSetting(pathPrefix + key, null);
        }
        return element.getAsBoolean();
    }

    double number(String key) {
        try {
            return Double.parseDouble(text(key));
        } catch (NumberFormatException e) {
            throw invalidSetting(pathPrefix + key, e);
        }
    }

    /** A number setting, truncated to an integer. */
    int integer(String key) {
        return (int) number(key);
    }

    /** A duration or time, converted from milliseconds to microseconds and rounded down. */
    long micros(String key) {
        try {
            return millisToMicros(text(key));
        } catch (NumberFormatException e) {
            throw invalidSetting(pathPrefix + key, e);
        }
    }

    /** As {@link #micros(String)}, for an array element. */
    static long micros(JsonElement millis, String path) {
        try {
            return millisToMicros(text(millis, path));
        } catch (NumberFormatException e) {
            throw invalidSetting(path, e);
        }
    }

    /** The constant that {@code constants} has for a string setting; throws if it has none. */
    <T> T choice(Map<String, T> constants, String key) {
        return choice(constants, value(key), pathPrefix + key);
    }

    /** As {@link #choice(Map, String)}, for an array element. */
    static <T> T choice(Map<String, T> constants, JsonElement element, String path) {
        T constant = constants.get(text(element, path));
        if (constant == null) {
            throw invalidSetting(path, null);
        }
        return constant;
    }

    /** The exception for an invalid setting at a path; the cause may be null. */
    static IllegalArgumentException invalidSetting(String path, Throwable cause) {
        return new IllegalArgumentException("unusable setting: " + path, cause);
    }

    private JsonElement value(String key) {
        JsonElement element = json.get(key);
        if (element == null || element.isJsonNull()) {
            throw invalidSetting(pathPrefix + key, null);
        }
        return element;
    }

    private static long millisToMicros(String millis) {
        return new BigDecimal(millis)
                .movePointRight(MILLIS_TO_MICROS_PLACES)
                .setScale(0, RoundingMode.FLOOR)
                .longValue();
    }
}
