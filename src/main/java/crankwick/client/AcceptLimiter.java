package crankwick.client;

import crankwick.transport.Transport;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/**
 * Counts the connections that have a descriptor, where they come and go on the transport's threads. With too many,
 * no further one is accepted until others have ended: a descriptor too many would fail the process.
 */
final class AcceptLimiter {
    /** Connections over the limit until the loop has evicted others. */
    private static final int SPARE_CONNECTIONS = 16;

    private final int maxConnections;
    private volatile TCPNIOServerConnection listener;
    private int connections;
    private boolean full;

    AcceptLimiter(int maxSessions) {
        maxConnections = maxSessions + SPARE_CONNECTIONS;
    }

    void limit(TCPNIOServerConnection accepting) {
        listener = accepting;
    }

    synchronized void onAccepted() {
        connections++;
        toggleAccepting();
    }

    synchronized void onClosed() {
        connections--;
        toggleAccepting();
    }

    /** True once the last connection has ended, also of those that the loop does not know yet. */
    synchronized boolean hasNoConnections() {
        return connections == 0;
    }

    private void toggleAccepting() {
        if (full != connections > maxConnections) {
            full = !full;
            Transport.setInterest(listener, IOEvent.SERVER_ACCEPT, !full);
        }
    }
}
