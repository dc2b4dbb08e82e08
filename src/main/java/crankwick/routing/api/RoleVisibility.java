package crankwick.routing.api;

/** How the endpoint list reports roles. */
public enum RoleVisibility {
    /** The endpoint list contains no roles. */
    HIDDEN,
    /** The endpoint list contains the roles as they were when the process started. */
    AT_START,
    /** The endpoint list follows role changes with a delay. */
    DELAYED
}
