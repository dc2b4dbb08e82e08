package crankwick.app;

import org.slf4j.bridge.SLF4JBridgeHandler;

/**
 * The configuration of java.util.logging, which Grizzly logs to: all goes to SLF4J. The default one sets
 * a console handler up first, which costs time at the start.
 */
public final class LoggingBridge {
    /** Called by the log manager when the first library asks for a logger. */
    public LoggingBridge() {
        SLF4JBridgeHandler.install();
    }
}
