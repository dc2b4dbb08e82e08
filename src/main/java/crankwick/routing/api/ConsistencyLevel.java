package crankwick.routing.api;

/** What a request needs of the data; in falling order of strictness. */
public enum ConsistencyLevel {
    /** It writes, so only the primary takes it. */
    WRITE,
    /** It reads all that was written before it arrived. */
    STRONG,
    /** It reads its session's own writes. */
    SESSION,
    /** It reads data no older than a bound. */
    BOUNDED_STALENESS,
    /** Any replica will do. */
    EVENTUAL
}
