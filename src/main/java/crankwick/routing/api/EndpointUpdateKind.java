package crankwick.routing.api;

/** What an endpoint update contains. */
public enum EndpointUpdateKind {
    INCREMENTAL,
    FULL,
    RESTORED,
    UNAVAILABLE
}
