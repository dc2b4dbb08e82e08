package crankwick.database;

import crankwick.routing.api.AttemptResult;
import crankwick.transport.Clock;

/**
 * One command to a database and its response. It is carried by one {@link PooledConnection} at a time, may move to
 * another while nothing of it has been written, and ends once, in {@link #end}.
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

    /** The command, made where and when it is written. */
    abstract DatabaseCommand command();

    /** True where what the client has sent since its command was read must be read before this is sent. */
    abstract boolean requiresClientRecheck();

    /** Whether the first byte may be written; asked on the thread that writes it. */
    abstract BeginDecision mayBegin();

    /** The command has been written as a whole. */
    abstract void onWritten();

    /** The exchange has ended; {@code response} is null where there is none. */
    abstract void onEnded(AttemptResult result, long durationMicros, DatabaseMessage.Response response);

    final String endpointId() {
        return endpointId;
    }

    /** Names the connection that carries this; null while there is none. */
    final void carriedBy(PooledConnection carrier) {
        connection = carrier;
    }

    /** Drops whatever comes of the exchange from now on. */
    final void detach() {
        detached = true;
    }

    final void end(AttemptResult result, DatabaseMessage.Response response) {
        if (!detached) {
            detached = true;
            onEnded(result, clock.now() - startedAtMicros, response);
        }
    }

    /** Ends the exchange if nothing of its command has been written; its connection stays. */
    final void cancelQueued(AttemptResult result) {
        if (isCarried()) {
            connection.cancelQueued(result);
        }
    }

    /** Ends the exchange in any case: a connection that has its command ends with it. */
    final void abort(AttemptResult result) {
        if (isCarried() && !connection.cancelQueued(result)) {
            connection.discard(result);
        }
    }

    private boolean isCarried() {
        return connection != null && connection.carries(this);
    }
}
