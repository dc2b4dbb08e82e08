package crankwick.client;

import crankwick.broker.Reply;

/** A reply to a client, for any protocol to encode. */
public sealed interface ClientReply {
    /** The size of the reply's value in bytes; 0 if there is no value. */
    default int valueBytes() {
        return 0;
    }

    /** Why the proxy closes a connection with an error. */
    enum Cause {
        TOO_MANY_CONNECTIONS,
        UNKNOWN_TEAM,
        PROTOCOL_ERROR
    }

    /** The login is accepted. */
    record LoginAccepted() implements ClientReply {}

    /** The reply to the empty query. */
    record EmptyQueryResponse() implements ClientReply {}

    /** A request's final reply. */
    record RequestReply(Reply reply) implements ClientReply {
        @Override
        public int valueBytes() {
            return reply instanceof Reply.Served served && served.value() != null ? served.value().length : 0;
        }
    }

    /** Reports that a statement is invalid; the connection stays open. */
    record InvalidStatement(String fault) implements ClientReply {}

    /** Confirms a {@link ClientMessage.Cancel}; the cancelled commands get no reply. */
    record CancelAcknowledged() implements ClientReply {}

    /** An error after which the connection is closed. */
    record ConnectionError(Cause cause, String fault) implements ClientReply {}
}
