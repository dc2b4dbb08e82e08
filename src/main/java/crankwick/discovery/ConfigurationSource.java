package crankwick.discovery;

import java.io.IOException;

/** Reads one part of the current configuration. */
@FunctionalInterface
public interface ConfigurationSource<T> {
    /**
     * Returns the current value. Throws IOException if the configuration cannot be read, and IllegalArgumentException
     * naming the invalid key if a value is invalid.
     */
    T read() throws IOException;
}
