package crankwick.failover;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The state of one replication group: its leadership, buffered and released requests, and failover durations. */
final class GroupState {
    private final long id;
    private final Leadership leadership = new Leadership();
    private final RequestBuffer buffer;
    private final Map<Long, TrackedRequest> released = new LinkedHashMap<>();
    private final ReleaseWindow releaseWindow = new ReleaseWindow();
    private final FailoverDurations plannedDurations;
    private final FailoverDurations unplannedDurations;
    private int endpointCount;
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

    /**
     * Returns the distribution of failover durations of the kind, planned or unplanned, of the failover in progress or,
     * if there is none, of the last failover.
     */
    FailoverDurations durations() {
        return leadership.isFailoverPlanned() ? plannedDurations : unplannedDurations;
    }

    void endpointAdded() {
        endpointCount++;
    }

    void endpointRemoved() {
        endpointCount--;
    }

    /** Returns true if the group has neither endpoints nor open requests. */
    boolean isUnused() {
        return endpointCount == 0 && released.isEmpty() && buffer.size() == 0;
    }

    void addReleased(TrackedRequest request) {
        released.put(request.requestId(), request);
    }

    /**
     * Removes a finished request from the released ones, and frees its capacity in the release window if it was counted
     * there in the current term.
     */
    void removeReleased(TrackedRequest request) {
        boolean wasReleased = released.remove(request.requestId()) != null;
        if (wasReleased && request.isPacedIn(leadership.term())) {
            releaseWindow.release();
        }
    }

    boolean hasReleased() {
        return !released.isEmpty();
    }

    /**
     * Returns a copy of the released requests in order of release, because decisions may remove some during
     * iteration.
     */
    List<TrackedRequest> released() {
        return List.copyOf(released.values());
    }

    boolean hasRequests() {
        return buffer.size() > 0 || !released.isEmpty();
    }

    /** Returns the last term whose start has been handled; 0 before the first term. */
    long handledTerm() {
        return handledTerm;
    }

    void setHandledTerm(long term) {
        handledTerm = term;
    }
}
