package crankwick.client;

import crankwick.transport.Transport;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/**
 * Limits the connections that use a file descriptor; they are counted on the transport's threads as they open and
 * close. Above the limit, accepting pauses until connections close: running out of descriptors would fail the process.
 */
final class AcceptLimiter {
    /** Connections that may be open above the session limit while the event loop evicts others. */
    private static final int SPARE_CONNECTIONS = 16;

    private final int maxConnections;
    private volatile TCPNIOServerConnection listener;
    private int connections;
    private boolean acceptingPaused;

    AcceptLimiter(int maxSessions) {
        maxConnections = maxSessions + SPARE_CONNECTIONS;
    }

    void attach(TCPNIOServerConnection serverConnection) {
        listener = serverConnection;
    }

    synchronized void onAccepted() {
        connections++;
        updateAccepting();
    }

    synchronized void onClosed() {
        connections--;
        updateAccepting();
    }

    /** True if no connection is open; connections that the event loop has not processed yet count as open. */
    synchronized boolean hasNoConnections() {
        return connections == 0;
    }

    private void updateAccepting() {
        if (acceptingPaused != connections > maxConnections) {
            acceptingPaused = !acceptingPaused;
            Transport.setInterest(listener, IOEvent.SERVER_ACCEPT, !acceptingPaused);
        }
    }
}
