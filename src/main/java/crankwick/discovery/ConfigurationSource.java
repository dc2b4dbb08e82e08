package crankwick.discovery;

import java.io.IOException;

/** Reads one part of the current configuration. */
@FunctionalInterface
public interface ConfigurationSource<T> {
    /** Returns the current value; throws IllegalArgumentException naming the invalid key. */
    T read() throws IOException;
}
