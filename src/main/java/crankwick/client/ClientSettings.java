package crankwick.client;

import crankwick.routing.api.RoutingSettings;
import java.util.List;
import java.util.function.Predicate;

/**
 * What a listener accepts.
 *
 * @param classNames the names of the settings' request classes, in their order
 * @param knownTeam says which teams may log in
 * @param maxSessions client connections at most
 */
public record ClientSettings(
        RoutingSettings routing, List<String> classNames, Predicate<String> knownTeam, int maxSessions) {}
