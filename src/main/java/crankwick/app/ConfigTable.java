package crankwick.app;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.tomlj.TomlArray;
import org.tomlj.TomlInvalidTypeException;
import org.tomlj.TomlTable;

/** A TOML table, read by type; each method throws IllegalArgumentException with the path of the key at fault. */
final class ConfigTable {
    private final TomlTable table;
    private final String pathPrefix;

    /** The prefix is empty for the root, and ends with a dot for every other table. */
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

    /** Fails on a key that is not among the known ones. */
    void requireKnownKeys(Set<String> known) {
        for (String key : table.keySet()) {
            if (!known.contains(key)) {
                throw new IllegalArgumentException("unknown key " + path(key));
            }
        }
    }

    /** The table of a key, which must be there; the error names the key alone. */
    ConfigTable table(String key) {
        ConfigTable nested = optionalTable(key);
        if (nested == null) {
            throw missing(key);
        }
        return nested;
    }

    /** The table of a key, or null. */
    ConfigTable optionalTable(String key) {
        TomlTable nested = typed(key, () -> table.getTable(List.of(key)));
        return nested == null ? null : new ConfigTable(nested, path(key) + ".");
    }

    String text(String key) {
        String text = typed(path(key), () -> table.getString(List.of(key)));
        if (text == null) {
            throw missing(path(key));
        }
        return text;
    }

    /** An array's elements; none where the key is absent. */
    List<Object> list(String key) {
        TomlArray array = typed(path(key), () -> table.getArray(List.of(key)));
        return array == null ? List.of() : array.toList();
    }

    /** A whole number of at least 1, which must be there. */
    long positive(String key) {
        Long number = optionalInteger(key, 1);
        if (number == null) {
            throw missing(path(key));
        }
        return number;
    }

    /** A whole number of at least 0. */
    long integer(String key, long defaultValue) {
        Long number = optionalInteger(key, 0);
        return number == null ? defaultValue : number;
    }

    /** Microseconds of a duration that is given in whole milliseconds. */
    long micros(String key, long defaultMicros) {
        Long millis = optionalInteger(key, 0);
        return millis == null ? defaultMicros : TimeUnit.MILLISECONDS.toMicros(millis);
    }

    double number(String key, double defaultValue) {
        if (!table.contains(List.of(key))) {
            return defaultValue;
        }
        if (table.get(List.of(key)) instanceof Number number) {
            return number.doubleValue();
        }
        throw unusable(path(key), null);
    }

    /** This table as JSON. */
    String toJson() {
        return table.toJson();
    }

    /** A value put through a conversion whose IllegalArgumentException becomes the key's. */
    static <T, R> R converted(String path, T value, Function<T, R> conversion) {
        try {
            return conversion.apply(value);
        } catch (IllegalArgumentException e) {
            throw unusable(path + ": " + e.getMessage(), e);
        }
    }

    /** The error for a key's value; the cause may be null. */
    static IllegalArgumentException unusable(String path, Throwable cause) {
        return new IllegalArgumentException("unusable key " + path, cause);
    }

    private Long optionalInteger(String key, long min) {
        Long number = typed(path(key), () -> table.getLong(List.of(key)));
        if (number != null && (number < min || number > Integer.MAX_VALUE)) {
            throw unusable(path(key), null);
        }
        return number;
    }

    private static <T> T typed(String path, Supplier<T> value) {
        try {
            return value.get();
        } catch (TomlInvalidTypeException e) {
            throw unusable(path, e);
        }
    }

    private static IllegalArgumentException missing(String path) {
        return new IllegalArgumentException("missing key " + path);
    }
}
