package crankwick.routing.api;

/** Which state of the data a request must see; a write needs the primary. */
public enum ConsistencyLevel {
    WRITE,
    STRONG,
    SESSION,
    BOUNDED_STALENESS,
    EVENTUAL
}
