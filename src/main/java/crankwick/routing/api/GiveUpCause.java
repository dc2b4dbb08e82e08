package crankwick.routing.api;

/** Why the router rejects or fails a request; written to the log under these names. */
public enum GiveUpCause {
    /** A response to an attempt sent now would come too late. */
    TOO_LATE,
    /** The request's group has no available endpoint. */
    NO_ENDPOINT,
    /** The last attempt did not answer the request, and no retry is allowed. */
    NO_RETRY
}
