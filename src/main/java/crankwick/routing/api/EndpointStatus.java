package crankwick.routing.api;

/** An endpoint's status in the endpoint list. */
public enum EndpointStatus {
    LIVE,
    DRAINING,
    REMOVED
}
