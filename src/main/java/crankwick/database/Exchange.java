package crankwick.database;

import crankwick.routing.api.AttemptResult;
import crankwick.transport.Clock;

/**
 * One command to a database and its response. An exchange is assigned to one {@link PooledConnection} at a time, may
 * move to another until its first byte is written, and ends once, in {@link #end}.
 */
abstract class Exchange {
    private final String endpointId;
    private final Clock clock;
    private final long startedAtMicros;
    private PooledConnection connection;
    private boolean detached;

    Exchange(String endpointId, Clock clock) {
        this.endpointId = endpointId;
        this.clock = clock;
        startedAtMicros = clock.now();
    }

    /**
     * Creates the command; called on the selector thread just before {@link #sendDecision}, after which the command may
     * remain unwritten.
     */
    abstract DatabaseCommand command();

    /** True if the client's further input, such as a cancel, must be read before the command is sent. */
    abstract boolean requiresClientRecheck();

    /** Whether the first byte of the command may be written; called on the selector thread that writes it. */
    abstract SendDecision sendDecision();

    /**
     * Called on the event loop when the command has been written completely; not called if the exchange has ended by
     * then.
     */
    abstract void onWritten();

    /**
     * Called when the exchange ends, at most once; {@code response} is null if the database sent none. The duration
     * counts from the creation of the exchange.
     */
    abstract void onEnded(AttemptResult result, long durationMicros, DatabaseMessage.Response response);

    final String endpointId() {
        return endpointId;
    }

    /** Sets the connection that serves this exchange; null for none. */
    final void assignTo(PooledConnection assigned) {
        connection = assigned;
    }

    /** Suppresses the outcome: {@link #onEnded} is not called from now on. */
    final void detach() {
        detached = true;
    }

    final void end(AttemptResult result, DatabaseMessage.Response response) {
        if (!detached) {
            detached = true;
            onEnded(result, clock.now() - startedAtMicros, response);
        }
    }

    /** Ends the exchange unless writing its command has begun; the connection stays open in either case. */
    final void cancelQueued(AttemptResult result) {
        if (isAssigned()) {
            connection.cancelQueued(result);
        }
    }

    /** Ends the exchange, whether or not writing its command has begun; if it has, closes the connection. */
    final void abort(AttemptResult result) {
        if (isAssigned() && !connection.cancelQueued(result)) {
            connection.discard(result);
        }
    }

    private boolean isAssigned() {
        return connection != null && connection.isAssigned(this);
    }
}
