package crankwick.app;

import org.slf4j.bridge.SLF4JBridgeHandler;

/**
 * Configuration class of java.util.logging, the logging API of Grizzly: routes all records to SLF4J. The default
 * configuration creates a console handler first, which delays startup.
 */
public final class LoggingBridge {
    /** Called by the log manager when a library first requests a logger. */
    public LoggingBridge() {
        SLF4JBridgeHandler.install();
    }
}
