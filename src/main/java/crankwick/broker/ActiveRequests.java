package crankwick.broker;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** All requests that are not finished, and their client request IDs. */
final class ActiveRequests {
    private final Map<Long, ActiveRequest> byId = new HashMap<>();
    private final Set<String> clientRequestIds = new HashSet<>();

    /** Finds a request by the broker's ID; null if it is finished or was never admitted. */
    ActiveRequest find(long requestId) {
        return byId.get(requestId);
    }

    boolean isClientRequestIdInUse(String clientRequestId) {
        return clientRequestIds.contains(clientRequestId);
    }

    void add(ActiveRequest request) {
        byId.put(request.id(), request);
        clientRequestIds.add(request.request().clientRequestId());
    }

    /** Removes a request; false if it had already been removed. */
    boolean remove(ActiveRequest request) {
        boolean removed = byId.remove(request.id()) != null;
        if (removed) {
            clientRequestIds.remove(request.request().clientRequestId());
        }
        return removed;
    }

    Collection<ActiveRequest> all() {
        return byId.values();
    }

    /** The number of requests that have been neither replied to nor abandoned. */
    long countOutstanding() {
        return byId.values().stream().filter(request -> !request.isCompleted()).count();
    }
}
