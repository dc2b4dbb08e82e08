package crankwick.net;

import crankwick.broker.Reply;

/** What a client is told, whatever its wire. */
public sealed interface FrontReply {
    /** Why a connection ends. */
    enum Cause {
        TOO_MANY,
        UNKNOWN_TEAM,
        BROKEN
    }

    /** The login is accepted. */
    record Welcome() implements FrontReply {}

    /** The answer to the empty query. */
    record Nothing() implements FrontReply {}

    /** A request's final answer. */
    record Final(Reply reply) implements FrontReply {}

    /** A statement that can't be read; the connection goes on. */
    record Unreadable(String fault) implements FrontReply {}

    /** The attention has been heard, and what it withdrew is over. */
    record AttentionHeard() implements FrontReply {}

    /** The connection ends after this. */
    record Fatal(Cause cause, String fault) implements FrontReply {}
}
