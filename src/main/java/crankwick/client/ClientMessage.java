package crankwick.client;

/** A message from a client, of any protocol. */
public sealed interface ClientMessage {
    /** The size of the text that is retained until the message is answered; 0 for a message without text. */
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

    /** The client cancels all its unanswered commands (an attention on TDS). */
    record Cancel() implements ClientMessage {}

    /** The client announces that it closes the connection. */
    record Terminate() implements ClientMessage {}

    /** Malformed input from the client; no further input of the connection is decoded. */
    record ProtocolError(String fault) implements ClientMessage {}
}
