package crankwick.routing.api;

/** The status of an endpoint in the endpoint list. */
public enum EndpointStatus {
    /** The endpoint accepts requests. */
    LIVE,
    /** The endpoint is about to shut down and must not be sent new requests. */
    DRAINING,
    /** The endpoint was removed from the list. */
    REMOVED
}
