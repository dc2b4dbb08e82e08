package crankwick.client;

import crankwick.routing.api.RoutingSettings;
import java.util.List;
import java.util.function.Predicate;

/**
 * Settings of a client listener.
 *
 * @param classNames the names of the request classes in {@code routing}, in the same order
 * @param knownTeam tests whether a team may log in
 * @param maxSessions the maximum number of client connections
 */
public record ClientSettings(
        RoutingSettings routing, List<String> classNames, Predicate<String> knownTeam, int maxSessions) {}
