package crankwick.routing.api;

/** A server's standing in the list. */
public enum EndpointStatus {
    LIVE,
    DRAINING,
    REMOVED
}
