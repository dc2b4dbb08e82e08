package crankwick.routing.api;

import java.util.List;

/** The settings of a router. */
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
    /** Checks every field; throws IllegalArgumentException naming the one at fault. */
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
            RequestClass c = requestClasses.get(i);
            require(c.consistency() != null, "requestClasses[" + i + "].consistency");
            require(c.idempotency() != null, "requestClasses[" + i + "].idempotency");
            require(c.deduplicationScope() != null, "requestClasses[" + i + "].deduplicationScope");
            require(c.keyTtl() >= 0, "requestClasses[" + i + "].keyTtl");
            require(c.stalenessBound() >= 0, "requestClasses[" + i + "].stalenessBound");
            require(c.latencyObjective() > 0, "requestClasses[" + i + "].latencyObjective");
            require(c.deadline() > 0, "requestClasses[" + i + "].deadline");
            require(c.priorityWeight() >= 0, "requestClasses[" + i + "].priorityWeight");
            require(c.lateWeight() >= 0, "requestClasses[" + i + "].lateWeight");
        }
    }

    private static void require(boolean holds, String field) {
        if (!holds) {
            throw new IllegalArgumentException("unusable setting: " + field);
        }
    }
}
