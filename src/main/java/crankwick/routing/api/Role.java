package crankwick.routing.api;

/** An endpoint's role in its group. */
public enum Role {
    UNKNOWN,
    PRIMARY,
    REPLICA
}
