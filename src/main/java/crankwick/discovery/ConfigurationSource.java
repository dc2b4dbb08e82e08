package crankwick.discovery;

import java.io.IOException;

/** Reads a part of the configuration again. */
@FunctionalInterface
public interface ConfigurationSource<T> {
    /** The part as it is now; throws IllegalArgumentException with the key at fault. */
    T read() throws IOException;
}
