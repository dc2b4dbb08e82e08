package crankwick.client;

/** Why a client connection ended; written to the log and the counters under these names. */
enum CloseReason {
    /** The client closed or reset the connection. */
    CLIENT_CLOSED,
    /** The client sent the protocol's message that ends a connection. */
    CLIENT_TERMINATED,
    IDLE,
    /** Another client connected at the limit on connections. */
    EVICTED,
    TOO_MANY_CONNECTIONS,
    /** No command was received in time. */
    NO_COMMAND,
    /** A command was received in part and not completed in time. */
    INCOMPLETE_COMMAND,
    PROTOCOL_ERROR,
    UNKNOWN_TEAM,
    /** The client did not read its replies in time. */
    UNREAD_REPLIES,
    /** A reply could not be written. */
    WRITE_FAILED,
    SHUTDOWN;

    /** True if the end is part of normal operation, provided that no command was unanswered. */
    boolean isRegular() {
        return this == CLIENT_CLOSED || this == CLIENT_TERMINATED || this == IDLE || this == SHUTDOWN;
    }
}
