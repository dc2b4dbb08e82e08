package crankwick.client;

import crankwick.broker.Reply;

/** A reply to a client, for any protocol to encode. */
public sealed interface ClientReply {
    /** The bytes of the value that it carries; 0 for none. */
    default int valueBytes() {
        return 0;
    }

    /** Why the proxy ends a connection. */
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

    /** A statement was invalid; the connection stays. */
    record InvalidStatement(String fault) implements ClientReply {}

    /** A cancel has been received, and what it cancelled is over. */
    record CancelAcknowledged() implements ClientReply {}

    /** The connection ends after this. */
    record ConnectionError(Cause cause, String fault) implements ClientReply {}
}
