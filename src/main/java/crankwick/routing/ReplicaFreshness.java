package crankwick.routing;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.ConsistencyLevel;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.RoutingRequest;
import crankwick.routing.api.RoutingSettings;

/** Which log position a read must see, and which endpoints have reached it. */
final class ReplicaFreshness {
    /** The required position of requests that may see any state. */
    private static final long NO_POSITION = Long.MIN_VALUE;

    private final RoutingSettings settings;

    ReplicaFreshness(RoutingSettings settings) {
        this.settings = settings;
    }

    /** The position that a session read must see, fixed at its arrival. */
    long sessionToken(RoutingRequest request, RequestClass requestClass, EndpointGroup group, long now) {
        if (requestClass.consistency() != ConsistencyLevel.SESSION) {
            return NO_POSITION;
        }
        if (settings.sessionTokensCarried()) {
            return request.tokenAge() > 0 ? now - request.tokenAge() : NO_POSITION;
        }
        return group.sessionTokens().get(request.sessionId());
    }

    /** Records the position of a write for later reads of its session, unless requests carry their tokens. */
    void recordCommit(PendingRequest request, long position) {
        boolean hasSession = request.sessionId() != AbsentValue.NONE;
        if (!settings.sessionTokensCarried() && hasSession && position != AbsentValue.NONE) {
            request.group().sessionTokens().put(request.sessionId(), position);
        }
    }

    /** The position that the request must see now; that of a bounded-staleness read moves with time. */
    private long requiredPosition(PendingRequest request, long now) {
        return request.requestClass().consistency() == ConsistencyLevel.BOUNDED_STALENESS
                ? now - request.requestClass().stalenessBound()
                : request.sessionToken();
    }

    /** Whether the endpoint is known to have reached the position that the request must see. */
    boolean isFresh(EndpointState endpoint, PendingRequest request, long now) {
        long required = requiredPosition(request, now);
        return required == NO_POSITION || endpoint.position().hasReached(required);
    }

    /**
     * Whether an endpoint that checks its own position may be fresh enough. If it is not, the attempt costs a
     * round trip, reveals the position, and the read waits again.
     */
    boolean mayBeFresh(EndpointState endpoint, PendingRequest request, long now) {
        return endpoint.position().mayHaveReached(requiredPosition(request, now), now);
    }

    /** Whether the endpoint is fresh, or may become so within {@code horizon} from now. */
    boolean mayBeFreshWithin(long horizon, EndpointState endpoint, PendingRequest request, long now) {
        return isFresh(endpoint, request, now)
                || endpoint.position().mayReachWithin(horizon, requiredPosition(request, now), now);
    }
}
