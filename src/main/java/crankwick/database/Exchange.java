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

    /** Creates the command; called on the selector thread just before the command is written. */
    abstract DatabaseCommand command();

    /** True if the client's further input, such as a cancel, must be read before the command is sent. */
    abstract boolean requiresClientRecheck();

    /** Whether the first byte may be written; called on the selector thread that writes it. */
    abstract SendDecision sendDecision();

    /** The command has been written completely. */
    abstract void onWritten();

    /** The exchange has ended; {@code response} is null if there is none. */
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

    /** Ends the exchange unless writing its command has begun; the connection stays open. */
    final void cancelQueued(AttemptResult result) {
        if (isAssigned()) {
            connection.cancelQueued(result);
        }
    }

    /** Ends the exchange in any state; closes its connection if writing the command has begun. */
    final void abort(AttemptResult result) {
        if (isAssigned() && !connection.cancelQueued(result)) {
            connection.discard(result);
        }
    }

    private boolean isAssigned() {
        return connection != null && connection.isAssigned(this);
    }
}
