package crankwick.client;

import crankwick.transport.Transport;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/**
 * Limits a listener's open client connections, each of which uses a file descriptor: running out of descriptors would
 * fail the process. The transport's threads count the connections as they open and close. Above the limit, accepting
 * pauses until connections close.
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

    /**
     * True if no client connection is open. A connection counts as open as soon as the transport has accepted it, even
     * if the event loop has not processed the accept yet.
     */
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
