package crankwick.client;

/** A message from a client, of any protocol. */
public sealed interface ClientMessage {
    /** The bytes of the message that are retained until it is answered. */
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

    /** The empty query, which the platform sends as a readiness check. */
    record EmptyQuery() implements ClientMessage {}

    /** A command that exceeds the limits on open commands; its text has been dropped. */
    record OverLimit() implements ClientMessage {}

    /** The client cancels its unanswered commands (an attention on TDS). */
    record Cancel() implements ClientMessage {}

    /** The client closes the connection. */
    record Terminate() implements ClientMessage {}

    /** Malformed input; no further input is decoded. */
    record ProtocolError(String fault) implements ClientMessage {}
}
