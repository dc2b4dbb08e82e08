package crankwick.routing.api;

/** A server's place in its group. */
public enum Role {
    UNKNOWN,
    PRIMARY,
    REPLICA
}
