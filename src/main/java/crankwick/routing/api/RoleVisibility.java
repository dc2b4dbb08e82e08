package crankwick.routing.api;

/** How the endpoint list shows roles. */
public enum RoleVisibility {
    HIDDEN,
    AT_START,
    DELAYED
}
