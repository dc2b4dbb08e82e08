package crankwick.routing.api;

/** The status of an endpoint in the list. */
public enum EndpointStatus {
    /** Up and taking requests. */
    LIVE,
    /** About to leave: no new requests. */
    DRAINING,
    /** No longer in the list. */
    REMOVED
}
