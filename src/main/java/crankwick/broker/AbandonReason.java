package crankwick.broker;

/** How a client showed that it no longer wants an answer. */
public enum AbandonReason {
    /** Its connection was closed. */
    CLOSED,
    /** It cancelled the request; its connection stays open. */
    CANCELLED
}
