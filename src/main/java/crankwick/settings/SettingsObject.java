package crankwick.settings;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.Map;

/** A JSON object of the settings, read by type; each method throws IllegalArgumentException with the path at fault. */
final class SettingsObject {
    /** Decimal places between milliseconds and microseconds. */
    private static final int MILLIS_TO_MICROS_PLACES = 3;

    private final JsonObject json;
    private final String pathPrefix;

    /** The prefix is empty for the root, and ends with a dot for every other object. */
    private SettingsObject(JsonObject json, String pathPrefix) {
        this.json = json;
        this.pathPrefix = pathPrefix;
    }

    /** Parses the whole settings. */
    static SettingsObject parse(String text) {
        try {
            return new SettingsObject(JsonParser.parseString(text).getAsJsonObject(), "");
        } catch (JsonParseException | IllegalStateException e) {
            throw unusable("config is not a JSON object", e);
        }
    }

    boolean has(String key) {
        return json.has(key);
    }

    SettingsObject object(String key) {
        return object(json.get(key), pathPrefix + key);
    }

    /** An object that is an element of an array. */
    static SettingsObject object(JsonElement element, String path) {
        if (element == null || !element.isJsonObject()) {
            throw unusable(path, null);
        }
        return new SettingsObject(element.getAsJsonObject(), path + ".");
    }

    JsonArray array(String key) {
        JsonElement element = value(key);
        if (!element.isJsonArray()) {
            throw unusable(pathPrefix + key, null);
        }
        return element.getAsJsonArray();
    }

    String text(String key) {
        JsonElement element = value(key);
        if (!element.isJsonPrimitive()) {
            throw unusable(pathPrefix + key, null);
        }
        return element.getAsString();
    }

    /** A text that is an element of an array. */
    static String text(JsonElement element, String path) {
        if (!element.isJsonPrimitive()) {
            throw unusable(path, null);
        }
        return element.getAsString();
    }

    boolean flag(String key) {
        JsonElement element = value(key);
        if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isBoolean()) {
            throw unusable(pathPrefix + key, null);
        }
        return element.getAsBoolean();
    }

    double number(String key) {
        try {
            return Double.parseDouble(text(key));
        } catch (NumberFormatException e) {
            throw unusable(pathPrefix + key, e);
        }
    }

    /** A number without its fraction. */
    int integer(String key) {
        return (int) number(key);
    }

    /** Microseconds of a duration or time that is given in milliseconds. */
    long micros(String key) {
        try {
            return millisToMicros(text(key));
        } catch (NumberFormatException e) {
            throw unusable(pathPrefix + key, e);
        }
    }

    /** As {@link #micros(String)}, of an element of an array. */
    static long micros(JsonElement millis, String path) {
        try {
            return millisToMicros(text(millis, path));
        } catch (NumberFormatException e) {
            throw unusable(path, e);
        }
    }

    /** The constant that a word of the wire stands for. */
    <T> T choice(Map<String, T> constants, String key) {
        return choice(constants, value(key), pathPrefix + key);
    }

    /** As {@link #choice(Map, String)}, of an element of an array. */
    static <T> T choice(Map<String, T> constants, JsonElement element, String path) {
        T constant = constants.get(text(element, path));
        if (constant == null) {
            throw unusable(path, null);
        }
        return constant;
    }

    /** The error for the setting at a path; the cause may be null. */
    static IllegalArgumentException unusable(String path, Throwable cause) {
        return new IllegalArgumentException("unusable setting: " + path, cause);
    }

    private JsonElement value(String key) {
        JsonElement element = json.get(key);
        if (element == null || element.isJsonNull()) {
            throw unusable(pathPrefix + key, null);
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
