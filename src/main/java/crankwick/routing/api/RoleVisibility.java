package crankwick.routing.api;

/** How the list of servers shows roles. */
public enum RoleVisibility {
    HIDDEN,
    AT_START,
    DELAYED
}
