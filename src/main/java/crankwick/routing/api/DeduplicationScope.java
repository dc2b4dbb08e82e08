package crankwick.routing.api;

/** The set of endpoints that recognize the idempotency key of a request executed earlier. */
public enum DeduplicationScope {
    /** All endpoints recognize the idempotency key. */
    FLEET,
    /** The endpoints in the zone of the endpoint that executed the request recognize the idempotency key. */
    ZONE,
    /** The endpoints in the group of the endpoint that executed the request recognize the idempotency key. */
    GROUP
}
