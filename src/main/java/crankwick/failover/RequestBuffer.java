package crankwick.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The requests that wait for one group's primary, in the order of their release: earliest deadline first, where
 * each unit of priority weight brings the deadline forward by {@link #MICROS_PER_WEIGHT_UNIT}. An order that only
 * depends on the request starves none: whatever arrives later has a later deadline.
 */
final class RequestBuffer {
    private static final long MICROS_PER_WEIGHT_UNIT = 50_000;

    /**
     * A request that waits.
     *
     * @param usefulUntil the last moment at which releasing it can still earn its answer
     */
    record BufferedRequest(long requestId, String team, double priorityWeight, long usefulUntil, int statementBytes) {
        long releaseOrder() {
            return usefulUntil - (long) (priorityWeight * MICROS_PER_WEIGHT_UNIT);
        }
    }

    /** What a team has buffered over all groups. */
    static final class TeamUsage {
        int requests;
        long bytes;
    }

    private final TreeSet<BufferedRequest> order = new TreeSet<>((a, b) -> a.releaseOrder() != b.releaseOrder()
            ? Long.compare(a.releaseOrder(), b.releaseOrder())
            : Long.compare(a.requestId(), b.requestId()));
    private final Map<Long, BufferedRequest> byRequestId = new HashMap<>();
    private final Map<String, TeamUsage> teamUsage;
    private final FailoverSettings settings;
    private long bytes;

    /** {@code teamUsage}, over all groups, is shared by the buffers of all groups. */
    RequestBuffer(FailoverSettings settings, Map<String, TeamUsage> teamUsage) {
        this.settings = settings;
        this.teamUsage = teamUsage;
    }

    /** Adds a request; false if one of the limits forbids it. */
    boolean add(BufferedRequest request) {
        TeamUsage usage = teamUsage.computeIfAbsent(request.team(), team -> new TeamUsage());
        boolean hasCapacity = byRequestId.size() < settings.maxBufferedPerGroup()
                && bytes + request.statementBytes() <= settings.maxBytesPerGroup()
                && usage.requests < settings.maxBufferedPerTeam()
                && usage.bytes + request.statementBytes() <= settings.maxBytesPerTeam();
        if (hasCapacity) {
            usage.requests++;
            usage.bytes += request.statementBytes();
            bytes += request.statementBytes();
            order.add(request);
            byRequestId.put(request.requestId(), request);
        } else if (usage.requests == 0) {
            teamUsage.remove(request.team());
        }
        return hasCapacity;
    }

    /** Removes a request and returns the capacity that it takes; null if the request is not buffered. */
    BufferedRequest remove(long requestId) {
        BufferedRequest request = byRequestId.remove(requestId);
        if (request != null) {
            order.remove(request);
            bytes -= request.statementBytes();
            TeamUsage usage = teamUsage.get(request.team());
            usage.bytes -= request.statementBytes();
            if (--usage.requests == 0) {
                teamUsage.remove(request.team());
            }
        }
        return request;
    }

    /** The request to be released next; null if none waits. */
    BufferedRequest first() {
        return order.isEmpty() ? null : order.first();
    }

    /** All requests, in order of release. */
    List<BufferedRequest> all() {
        return new ArrayList<>(order);
    }

    int size() {
        return byRequestId.size();
    }

    long bytes() {
        return bytes;
    }
}
