package crankwick.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A group, as the audit follows its leaders and the writes that meet a change of them. */
final class AuditedGroup {
    private final Map<Long, AuditedRequest> openWrites = new HashMap<>();
    private final List<AuditedRequest> affectedWrites = new ArrayList<>();
    private boolean leaderless;
    private boolean planned;
    private long leaderLosses;
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

    void loseLeader(boolean drains) {
        affectedWrites.clear();
        affectedWrites.addAll(openWrites.values());
        leaderless = true;
        leader = null;
        planned = drains;
        servingEndpoint = null;
        leaderLosses++;
    }

    void elect(String endpointId) {
        leader = endpointId;
        leaderless = false;
    }

    /** How many times the group has lost its leader. */
    long leaderLosses() {
        return leaderLosses;
    }

    boolean isLedSince(long losses) {
        return leaderLosses == losses && !leaderless;
    }

    /** Whether the last loss of a leader was planned. */
    boolean isPlanned() {
        return planned;
    }

    /** The writes that were open, or came in, while there was no leader; they are affected no longer. */
    List<AuditedRequest> takeAffectedWrites() {
        List<AuditedRequest> taken = List.copyOf(affectedWrites);
        affectedWrites.clear();
        return taken;
    }

    /** A member has served a write, as the proxy knows from its answer. */
    void recordServing(String endpointId) {
        if (endpointId.equals(leader)) {
            servingEndpoint = endpointId;
        }
    }

    void forgetServing() {
        servingEndpoint = null;
    }

    /** Who has served a write under the present leader, as the proxy knows; null for nobody. */
    String servingEndpoint() {
        return servingEndpoint;
    }
}
