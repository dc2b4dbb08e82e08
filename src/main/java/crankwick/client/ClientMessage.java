package crankwick.client;

/** What a client says, whatever its wire. */
public sealed interface ClientMessage {
    /** How many bytes of it are kept until it is answered. */
    default int bytes() {
        return 0;
    }

    /** It logs in for a team. */
    record Login(String team) implements ClientMessage {}

    /** One statement. */
    record Query(String text) implements ClientMessage {
        @Override
        public int bytes() {
            return text.length();
        }
    }

    /** The empty query: is the proxy ready? */
    record Empty() implements ClientMessage {}

    /** A command that came in while too much of its client was open: its text has been dropped. */
    record Excess() implements ClientMessage {}

    /** It no longer wants the answer to what it sent last. */
    record Attention() implements ClientMessage {}

    /** It ends the connection. */
    record Quit() implements ClientMessage {}

    /** What came in breaks the protocol; nothing after it can be trusted. */
    record Broken(String fault) implements ClientMessage {}
}
