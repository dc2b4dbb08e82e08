package crankwick.broker;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** All requests that are not finished, and the client request IDs that may not be used at present. */
final class ActiveRequests {
    private final Map<Long, ActiveRequest> byId = new HashMap<>();
    private final Set<String> clientRequestIds = new HashSet<>();
    private final ExecutedRequestIds executedIds = new ExecutedRequestIds();

    /** Finds a request by the broker's ID; null if it is finished or was never admitted. */
    ActiveRequest find(long requestId) {
        return byId.get(requestId);
    }

    /** True if a request with this ID is unfinished, or has finished and must not execute again. */
    boolean isClientRequestIdInUse(String clientRequestId, long now) {
        return clientRequestIds.contains(clientRequestId) || executedIds.contains(clientRequestId, now);
    }

    void add(ActiveRequest request) {
        byId.put(request.id(), request);
        clientRequestIds.add(request.request().clientRequestId());
    }

    /** Removes a finished request; false if it had already been removed. */
    boolean remove(ActiveRequest request, long now) {
        boolean removed = byId.remove(request.id()) != null;
        if (removed) {
            clientRequestIds.remove(request.request().clientRequestId());
            if (request.mustNotExecuteAgain()) {
                executedIds.add(request.request().clientRequestId(), now);
            }
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
