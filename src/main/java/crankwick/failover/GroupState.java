package crankwick.failover;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One replication group: its leadership, its buffered and released requests, and how long its failovers take. */
final class GroupState {
    private final long id;
    private final Leadership leadership = new Leadership();
    private final RequestBuffer buffer;
    private final Map<Long, TrackedRequest> released = new LinkedHashMap<>();
    private final ReleaseWindow releaseWindow = new ReleaseWindow();
    private final FailoverDurations plannedDurations;
    private final FailoverDurations unplannedDurations;
    private int endpoints;
    private long handledTerm;

    GroupState(long id, FailoverSettings settings, Map<String, RequestBuffer.TeamUsage> teamUsage) {
        this.id = id;
        buffer = new RequestBuffer(settings, teamUsage);
        plannedDurations = new FailoverDurations(settings.minPlannedDuration(), settings.maxPlannedDuration());
        unplannedDurations = new FailoverDurations(settings.minUnplannedDuration(), settings.maxUnplannedDuration());
    }

    long id() {
        return id;
    }

    Leadership leadership() {
        return leadership;
    }

    RequestBuffer buffer() {
        return buffer;
    }

    ReleaseWindow releaseWindow() {
        return releaseWindow;
    }

    boolean isLeaderless() {
        return leadership.phase() == Leadership.Phase.LEADERLESS;
    }

    /** The durations of failovers of the kind that the last one was. */
    FailoverDurations durations() {
        return leadership.isFailoverPlanned() ? plannedDurations : unplannedDurations;
    }

    void endpointAdded() {
        endpoints++;
    }

    void endpointRemoved() {
        endpoints--;
    }

    /** True if it has neither endpoints nor requests that are still open. */
    boolean isUnused() {
        return endpoints == 0 && released.isEmpty() && buffer.size() == 0;
    }

    void addReleased(TrackedRequest request) {
        released.put(request.requestId(), request);
    }

    /** Forgets a request that is over, and returns its place in the release window if it has one. */
    void removeReleased(TrackedRequest request) {
        boolean wasReleased = released.remove(request.requestId()) != null;
        if (wasReleased && request.isPacedIn(leadership.term())) {
            releaseWindow.release();
        }
    }

    boolean hasReleased() {
        return !released.isEmpty();
    }

    /** The released requests in the order of their release; a copy, since decisions change the original. */
    List<TrackedRequest> released() {
        return List.copyOf(released.values());
    }

    boolean hasRequests() {
        return buffer.size() > 0 || !released.isEmpty();
    }

    /** The term whose beginning has been acted on; 0 before the first. */
    long handledTerm() {
        return handledTerm;
    }

    void setHandledTerm(long term) {
        handledTerm = term;
    }
}
