package crankwick.client;

import crankwick.broker.Reply;

/** What a client is told, whatever its wire. */
public sealed interface ClientReply {
    /** How many bytes the value takes that it carries; 0 for none. */
    default int valueBytes() {
        return 0;
    }

    /** Why a connection ends. */
    enum Cause {
        TOO_MANY,
        UNKNOWN_TEAM,
        BROKEN
    }

    /** The login is accepted. */
    record Welcome() implements ClientReply {}

    /** The answer to the empty query. */
    record Nothing() implements ClientReply {}

    /** A request's final answer. */
    record Final(Reply reply) implements ClientReply {
        @Override
        public int valueBytes() {
            return reply instanceof Reply.Served served && served.value() != null ? served.value().length : 0;
        }
    }

    /** A statement that can't be read; the connection goes on. */
    record Unreadable(String fault) implements ClientReply {}

    /** The attention has been heard, and what it withdrew is over. */
    record AttentionHeard() implements ClientReply {}

    /** The connection ends after this. */
    record Fatal(Cause cause, String fault) implements ClientReply {}
}
