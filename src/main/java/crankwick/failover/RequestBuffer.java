package crankwick.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Buffers requests for one group's primary in order of release: earliest release deadline first, where each unit of
 * priority weight makes the deadline earlier by {@link #MICROS_PER_WEIGHT_UNIT}. The order depends only on the requests
 * themselves, not on the current time. This prevents starvation: after some time, all newly arriving requests have
 * later deadlines than a buffered one.
 */
final class RequestBuffer {
    private static final long MICROS_PER_WEIGHT_UNIT = 50_000;

    /**
     * A buffered request.
     *
     * @param releaseDeadline the latest time at which the request can be released and still be answered in time
     */
    record BufferedRequest(
            long requestId, String team, double priorityWeight, long releaseDeadline, int statementBytes) {
        long releaseOrder() {
            return releaseDeadline - (long) (priorityWeight * MICROS_PER_WEIGHT_UNIT);
        }
    }

    /** The number of a team's buffered requests over all groups, and the total size of their statements. */
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

    /** Creates an empty buffer; {@code teamUsage} is shared by the buffers of all groups. */
    RequestBuffer(FailoverSettings settings, Map<String, TeamUsage> teamUsage) {
        this.settings = settings;
        this.teamUsage = teamUsage;
    }

    /** Adds a request; returns false if it would exceed a limit of the group or of its team. */
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

    /** Removes a request, frees its capacity and returns the request, or null if it is not buffered. */
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

    /** Returns the next request to release, or null if the buffer is empty. */
    BufferedRequest first() {
        return order.isEmpty() ? null : order.first();
    }

    /** Returns a copy of all requests, in order of release. */
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
