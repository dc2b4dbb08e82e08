package crankwick.routing;

import crankwick.routing.api.Role;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The endpoints of one group, with the requests that are queued for them or in flight. */
final class EndpointGroup {
    private final long id;
    private final List<EndpointState> endpoints = new ArrayList<>();
    /** The queues of pending requests, one for each request class. */
    private final List<ArrayDeque<PendingRequest>> queues = new ArrayList<>();

    private final SessionTokenStore sessionTokens = new SessionTokenStore();
    private final Map<Long, PendingRequest> inFlight = new LinkedHashMap<>();
    private long timerDueAt = Long.MAX_VALUE;
    private EndpointState primary;
    /** The write that is sent to possible primaries, one after the other, while the primary is unknown; or null. */
    private PendingRequest primaryProbe;

    EndpointGroup(long id, int requestClasses) {
        this.id = id;
        for (int i = 0; i < requestClasses; i++) {
            queues.add(new ArrayDeque<>());
        }
    }

    long id() {
        return id;
    }

    /** The endpoints, ordered by their identifiers. */
    List<EndpointState> endpoints() {
        return endpoints;
    }

    List<ArrayDeque<PendingRequest>> queues() {
        return queues;
    }

    ArrayDeque<PendingRequest> queue(int classIndex) {
        return queues.get(classIndex);
    }

    SessionTokenStore sessionTokens() {
        return sessionTokens;
    }

    /** The requests with an attempt in flight, by identifier, in the order in which the attempts started. */
    Map<Long, PendingRequest> inFlight() {
        return inFlight;
    }

    /** The primary, or null while it is unknown. */
    EndpointState primary() {
        return primary;
    }

    void add(EndpointState endpoint) {
        endpoints.add(endpoint);
        // Not Comparator.comparing: the JVM would generate its classes at run time, which slows the start.
        endpoints.sort((a, b) -> a.id().compareTo(b.id()));
    }

    void removeExpired(long now) {
        endpoints.removeIf(endpoint -> endpoint.isExpired(now));
        primary = endpoints.contains(primary) ? primary : null;
    }

    boolean isUnused() {
        return endpoints.isEmpty() && inFlight.isEmpty();
    }

    boolean hasAvailableEndpoint() {
        for (EndpointState endpoint : endpoints) {
            if (endpoint.isAvailable()) {
                return true;
            }
        }
        return false;
    }

    /** Whether the endpoint is not the primary and does not claim to be. */
    boolean isReplica(EndpointState endpoint) {
        return endpoint != primary && endpoint.role() != Role.PRIMARY;
    }

    /**
     * Records evidence of a role; the newest evidence prevails. A primary's position is the current time, so the
     * position in a report serves as the time of a claim to be primary, and a report of the replica role with an older
     * position does not replace it.
     *
     * @return true if the primary changed or became unknown; false if nothing changed or a primary became known while
     *     none was
     */
    boolean recordRole(EndpointState endpoint, Role role, long asOf) {
        if (!endpoint.updateRole(role, asOf)) {
            return false;
        }
        EndpointState previous = primary;
        primary = newestPrimary();
        return primary != previous && (primary == null || previous != null);
    }

    private EndpointState newestPrimary() {
        EndpointState newest = null;
        for (EndpointState endpoint : endpoints) {
            boolean isNewer = newest == null || endpoint.roleAsOf() >= newest.roleAsOf();
            newest = endpoint.role() == Role.PRIMARY && isNewer ? endpoint : newest;
        }
        return newest;
    }

    /** Whether the request may be sent to possible primaries, because no other request currently is. */
    boolean mayProbeForPrimary(PendingRequest request) {
        return primaryProbe == null || primaryProbe == request;
    }

    void startPrimaryProbe(PendingRequest request) {
        primaryProbe = request;
    }

    void endPrimaryProbe(PendingRequest request) {
        primaryProbe = primaryProbe == request ? null : primaryProbe;
    }

    /** Whether a timer for {@code due} is needed: no timer is set, or the one set is later. */
    boolean needsTimer(long due) {
        return due < timerDueAt;
    }

    void setTimer(long due) {
        timerDueAt = due;
    }

    /** Clears the timer if its time has come; a superseded timer that fires before that time clears nothing. */
    void clearDueTimer(long now) {
        timerDueAt = now >= timerDueAt ? Long.MAX_VALUE : timerDueAt;
    }

    boolean hasQueuedRequests() {
        return !queues.stream().allMatch(ArrayDeque::isEmpty);
    }
}
