package crankwick.routing.api;

/** How the endpoint list reports roles. */
public enum RoleVisibility {
    /** The list contains no roles. */
    HIDDEN,
    /** The list contains the roles as they were when the process started. */
    AT_START,
    /** The list follows role changes with a delay. */
    DELAYED
}
