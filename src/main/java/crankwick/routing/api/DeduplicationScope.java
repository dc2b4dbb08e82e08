package crankwick.routing.api;

/** Which servers discard the repeats of a keyed request. */
public enum DeduplicationScope {
    FLEET,
    ZONE,
    GROUP
}
