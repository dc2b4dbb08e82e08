package crankwick.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Audit state of a group: its leader, and the writes affected by the latest loss of a leader. */
final class AuditedGroup {
    private final Map<Long, AuditedRequest> openWrites = new HashMap<>();
    private final List<AuditedRequest> affectedWrites = new ArrayList<>();
    private boolean leaderless;
    private boolean lastLossPlanned;
    private long leaderLossCount;
    private String leader;
    private String servingEndpoint;

    void open(AuditedRequest write) {
        openWrites.put(write.requestId(), write);
        if (leaderless) {
            affectedWrites.add(write);
        }
    }

    void close(AuditedRequest request) {
        openWrites.remove(request.requestId());
    }

    void onLeaderLost(boolean plannedLoss) {
        affectedWrites.clear();
        affectedWrites.addAll(openWrites.values());
        leaderless = true;
        leader = null;
        lastLossPlanned = plannedLoss;
        servingEndpoint = null;
        leaderLossCount++;
    }

    void onLeaderElected(String endpointId) {
        leader = endpointId;
        leaderless = false;
    }

    /** How often the group has lost its leader. */
    long leaderLossCount() {
        return leaderLossCount;
    }

    /** Whether the group has a leader and has lost none since its leader loss count was {@code expectedLossCount}. */
    boolean hasStableLeaderSince(long expectedLossCount) {
        return leaderLossCount == expectedLossCount && !leaderless;
    }

    /** Whether the last loss of a leader was planned. */
    boolean isLastLossPlanned() {
        return lastLossPlanned;
    }

    /**
     * Removes and returns the writes that were open when the group last lost its leader, or were received before it had
     * a leader again.
     */
    List<AuditedRequest> removeAffectedWrites() {
        List<AuditedRequest> removed = List.copyOf(affectedWrites);
        affectedWrites.clear();
        return removed;
    }

    /**
     * Records that the proxy has received a successful response to a write; ignored if it is not from the current
     * leader.
     */
    void recordServedWrite(String endpointId) {
        if (endpointId.equals(leader)) {
            servingEndpoint = endpointId;
        }
    }

    void clearServingEndpoint() {
        servingEndpoint = null;
    }

    /**
     * The current leader if the current proxy process has received its successful response to a write; otherwise null.
     */
    String servingEndpoint() {
        return servingEndpoint;
    }
}
