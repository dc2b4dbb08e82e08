package crankwick.routing.api;

/** How the endpoint list shows roles. */
public enum RoleVisibility {
    /** Not at all. */
    HIDDEN,
    /** As they were when the process started. */
    AT_START,
    /** As they are, but late. */
    DELAYED
}
