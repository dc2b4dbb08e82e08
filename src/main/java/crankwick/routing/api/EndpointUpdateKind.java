package crankwick.routing.api;

/** What a membership event brings. */
public enum EndpointUpdateKind {
    INCREMENTAL,
    FULL,
    RESTORED,
    UNAVAILABLE
}
