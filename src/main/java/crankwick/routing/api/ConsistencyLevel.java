package crankwick.routing.api;

/** What a request needs of the data it meets. */
public enum ConsistencyLevel {
    WRITE,
    STRONG,
    SESSION,
    BOUNDED_STALENESS,
    EVENTUAL
}
