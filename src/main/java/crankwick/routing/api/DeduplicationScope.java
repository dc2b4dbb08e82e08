package crankwick.routing.api;

/** The set of endpoints that recognize the idempotency key of a request executed earlier. */
public enum DeduplicationScope {
    /** All endpoints. */
    FLEET,
    /** The endpoints in the zone of the one that executed the request. */
    ZONE,
    /** The endpoints in the group of the one that executed the request. */
    GROUP
}
