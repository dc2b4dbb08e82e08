package crankwick.broker;

/** How a client signalled that it no longer waits for a reply. */
public enum AbandonReason {
    /** The client's connection was closed. */
    CLOSED,
    /** The client cancelled the request; its connection stays open. */
    CANCELLED
}
