package crankwick.routing;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.ConsistencyLevel;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.RoutingRequest;
import crankwick.routing.api.RoutingSettings;

/** Determines the log position that a read must see and the endpoints that have reached this position. */
final class ReplicaFreshness {
    /** Required position of requests that may read any state. */
    private static final long NO_POSITION = Long.MIN_VALUE;

    private final RoutingSettings settings;

    ReplicaFreshness(RoutingSettings settings) {
        this.settings = settings;
    }

    /** Returns the position that a session read must see, which is fixed on arrival of the read. */
    long sessionToken(RoutingRequest request, RequestClass requestClass, EndpointGroup group, long now) {
        if (requestClass.consistency() != ConsistencyLevel.SESSION) {
            return NO_POSITION;
        }
        if (settings.sessionTokensCarried()) {
            return request.tokenAge() > 0 ? now - request.tokenAge() : NO_POSITION;
        }
        return group.sessionTokens().get(request.sessionId());
    }

    /** Records the position of a write for later reads of its session, unless requests carry session tokens. */
    void recordCommit(PendingRequest request, long position) {
        boolean hasSession = request.sessionId() != AbsentValue.NONE;
        if (!settings.sessionTokensCarried() && hasSession && position != AbsentValue.NONE) {
            request.group().sessionTokens().put(request.sessionId(), position);
        }
    }

    /** Returns the position that the request must see now; for a bounded-staleness read it advances with time. */
    private long requiredPosition(PendingRequest request, long now) {
        return request.requestClass().consistency() == ConsistencyLevel.BOUNDED_STALENESS
                ? now - request.requestClass().stalenessBound()
                : request.sessionToken();
    }

    /** Returns whether the endpoint is known to have reached the position that the request must see. */
    boolean isFresh(EndpointState endpoint, PendingRequest request, long now) {
        long required = requiredPosition(request, now);
        return required == NO_POSITION || endpoint.position().hasReached(required);
    }

    /**
     * Returns whether an endpoint that checks its own position may be fresh enough. If it is not, the attempt costs
     * a round trip and reveals the position, and the read returns to the queue.
     */
    boolean mayBeFresh(EndpointState endpoint, PendingRequest request, long now) {
        return endpoint.position().mayHaveReached(requiredPosition(request, now), now);
    }

    /** Returns whether the endpoint is fresh or may become fresh within {@code horizon} from now. */
    boolean mayBeFreshWithin(long horizon, EndpointState endpoint, PendingRequest request, long now) {
        return isFresh(endpoint, request, now)
                || endpoint.position().mayReachWithin(horizon, requiredPosition(request, now), now);
    }
}
