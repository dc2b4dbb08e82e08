package crankwick.routing.api;

/** The consistency that a request requires, from strictest to weakest. */
public enum ConsistencyLevel {
    /** The request writes, so only the primary can serve it. */
    WRITE,
    /** The read sees every write committed before its arrival. */
    STRONG,
    /** The read sees the earlier writes of its session. */
    SESSION,
    /** The read sees data no older than {@link RequestClass#stalenessBound}. */
    BOUNDED_STALENESS,
    /** The read may see any state; every replica can serve it. */
    EVENTUAL
}
