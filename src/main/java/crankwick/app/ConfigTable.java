package crankwick.app;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.tomlj.TomlArray;
import org.tomlj.TomlInvalidTypeException;
import org.tomlj.TomlTable;

/**
 * Typed access to a TOML table. For an invalid or missing key, methods throw an IllegalArgumentException with the key's
 * path; the methods that return a nested table give only the key.
 */
final class ConfigTable {
    private final TomlTable table;
    private final String pathPrefix;

    /** The path prefix is empty for the root table and ends with a dot for every other table. */
    ConfigTable(TomlTable table, String pathPrefix) {
        this.table = table;
        this.pathPrefix = pathPrefix;
    }

    Set<String> keys() {
        return table.keySet();
    }

    String path(String key) {
        return pathPrefix + key;
    }

    /** Throws if the table contains a key that is not in {@code known}. */
    void requireKnownKeys(Set<String> known) {
        for (String key : table.keySet()) {
            if (!known.contains(key)) {
                throw new IllegalArgumentException("unknown key " + path(key));
            }
        }
    }

    /** A required nested table; an error names only the key, without the path prefix. */
    ConfigTable requiredTable(String key) {
        ConfigTable nested = optionalTable(key);
        if (nested == null) {
            throw missingKey(key);
        }
        return nested;
    }

    /** A nested table, or null if the key is missing; an error names only the key, without the path prefix. */
    ConfigTable optionalTable(String key) {
        TomlTable nested = readTyped(key, () -> table.getTable(List.of(key)));
        return nested == null ? null : new ConfigTable(nested, path(key) + ".");
    }

    String requiredString(String key) {
        String string = readTyped(path(key), () -> table.getString(List.of(key)));
        if (string == null) {
            throw missingKey(path(key));
        }
        return string;
    }

    /** The elements of an array; an empty list if the key is missing. */
    List<Object> list(String key) {
        TomlArray array = readTyped(path(key), () -> table.getArray(List.of(key)));
        return array == null ? List.of() : array.toList();
    }

    /** A required integer from 1 to Integer.MAX_VALUE. */
    long requiredPositive(String key) {
        Long number = optionalInteger(key, 1);
        if (number == null) {
            throw missingKey(path(key));
        }
        return number;
    }

    /** An optional integer from 0 to Integer.MAX_VALUE. */
    long integerOrDefault(String key, long defaultValue) {
        Long number = optionalInteger(key, 0);
        return number == null ? defaultValue : number;
    }

    /** An optional duration, configured in integer milliseconds and returned in microseconds. */
    long durationOrDefault(String key, long defaultMicros) {
        Long millis = optionalInteger(key, 0);
        return millis == null ? defaultMicros : TimeUnit.MILLISECONDS.toMicros(millis);
    }

    double numberOrDefault(String key, double defaultValue) {
        if (!table.contains(List.of(key))) {
            return defaultValue;
        }
        if (table.get(List.of(key)) instanceof Number number) {
            return number.doubleValue();
        }
        throw invalidKey(path(key), null);
    }

    String toJson() {
        return table.toJson();
    }

    /** Converts a value; if the conversion throws an IllegalArgumentException, throws one with the key's path. */
    static <T, R> R convert(String path, T value, Function<T, R> conversion) {
        try {
            return conversion.apply(value);
        } catch (IllegalArgumentException e) {
            throw invalidKey(path + ": " + e.getMessage(), e);
        }
    }

    /** Creates the exception for an invalid value of the key at the path; {@code cause} may be null. */
    static IllegalArgumentException invalidKey(String path, Throwable cause) {
        return new IllegalArgumentException("unusable key " + path, cause);
    }

    private Long optionalInteger(String key, long min) {
        Long number = readTyped(path(key), () -> table.getLong(List.of(key)));
        if (number != null && (number < min || number > Integer.MAX_VALUE)) {
            throw invalidKey(path(key), null);
        }
        return number;
    }

    private static <T> T readTyped(String path, Supplier<T> value) {
        try {
            return value.get();
        } catch (TomlInvalidTypeException e) {
            throw invalidKey(path, e);
        }
    }

    private static IllegalArgumentException missingKey(String path) {
        return new IllegalArgumentException("missing key " + path);
    }
}
