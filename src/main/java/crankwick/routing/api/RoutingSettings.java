package crankwick.routing.api;

import java.util.List;

/**
 * The settings of a router.
 *
 * @param proxyCount the number of proxies that share the endpoints
 * @param zone the index of this proxy's zone in the settings
 * @param pollsDiscovery whether the proxy must poll discovery for the list; otherwise discovery pushes it
 * @param responsesCarryPosition whether responses report a log position
 * @param sessionTokensCarried whether requests carry the time since the last commit of their session
 * @param staleReadPolicy how replicas treat reads that need a later log position
 * @param roleVisibility how the endpoint list reports roles
 * @param requestClasses the classes of requests, to which {@link RoutingRequest#classIndex} refers
 */
public record RoutingSettings(
        int proxyCount,
        int zone,
        boolean pollsDiscovery,
        boolean responsesCarryPosition,
        boolean sessionTokensCarried,
        StaleReadPolicy staleReadPolicy,
        RoleVisibility roleVisibility,
        RoutingRules rules,
        RoutingLimits limits,
        CostWeights costs,
        List<RequestClass> requestClasses) {
    /** Validates all fields but {@code zone}; throws IllegalArgumentException naming the first invalid one. */
    public RoutingSettings {
        require(proxyCount >= 1, "proxyCount");
        require(staleReadPolicy != null, "staleReadPolicy");
        require(roleVisibility != null, "roleVisibility");
        require(rules != null, "rules");
        require(rules.answerSlack() >= 0, "rules.answerSlack");
        require(rules.drainGrace() >= 0, "rules.drainGrace");
        require(rules.startCapacity() > 0 && rules.startCapacity() <= 1, "rules.startCapacity");
        require(rules.slowStartDuration() >= 0, "rules.slowStartDuration");
        require(rules.overloadMultiple() > 0, "rules.overloadMultiple");
        require(rules.overloadWindow() >= 0, "rules.overloadWindow");
        require(limits != null, "limits");
        require(limits.maxRetryAfter() >= 0, "limits.maxRetryAfter");
        require(limits.maxAttempts() >= 1, "limits.maxAttempts");
        require(limits.connectTimeout() >= 0, "limits.connectTimeout");
        require(costs != null, "costs");
        require(costs.crossZone() >= 0, "costs.crossZone");
        require(costs.healthCheck() >= 0, "costs.healthCheck");
        require(costs.wastedWork() >= 0, "costs.wastedWork");
        require(requestClasses != null && !requestClasses.isEmpty(), "requestClasses");
        requestClasses = List.copyOf(requestClasses);
        for (int i = 0; i < requestClasses.size(); i++) {
            requireUsable(requestClasses.get(i), "requestClasses[" + i + "].");
        }
    }

    private static void requireUsable(RequestClass requestClass, String path) {
        require(requestClass.consistency() != null, path + "consistency");
        require(requestClass.idempotency() != null, path + "idempotency");
        require(requestClass.deduplicationScope() != null, path + "deduplicationScope");
        require(requestClass.keyTtl() >= 0, path + "keyTtl");
        require(requestClass.stalenessBound() >= 0, path + "stalenessBound");
        require(requestClass.latencyObjective() > 0, path + "latencyObjective");
        require(requestClass.deadline() > 0, path + "deadline");
        require(requestClass.priorityWeight() >= 0, path + "priorityWeight");
        require(requestClass.lateWeight() >= 0, path + "lateWeight");
    }

    private static void require(boolean condition, String field) {
        if (!condition) {
            throw new IllegalArgumentException("unusable setting: " + field);
        }
    }
}
