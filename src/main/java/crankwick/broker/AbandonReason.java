package crankwick.broker;

/** How a client made known that it no longer wants an answer. */
public enum AbandonReason {
    /** Its connection has ended. */
    CLOSED,
    /** It has cancelled what it asked, and its connection stays. */
    CANCELLED
}
