package crankwick.client;

/** A message from a client, of any protocol. */
public sealed interface ClientMessage {
    /** The bytes of it that are retained until it is answered. */
    default int bytes() {
        return 0;
    }

    /** A login for a team. */
    record Login(String team) implements ClientMessage {}

    /** A statement. */
    record Query(String text) implements ClientMessage {
        @Override
        public int bytes() {
            return text.length();
        }
    }

    /** The empty query, by which the platform checks readiness. */
    record EmptyQuery() implements ClientMessage {}

    /** A command beyond what its client may have open; its text has been dropped. */
    record OverLimit() implements ClientMessage {}

    /** The client cancels what it has sent and not been answered (an attention on TDS). */
    record Cancel() implements ClientMessage {}

    /** The client ends the connection. */
    record Terminate() implements ClientMessage {}

    /** Malformed input; nothing after it is decoded. */
    record ProtocolError(String fault) implements ClientMessage {}
}
