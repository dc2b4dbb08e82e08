package crankwick.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The requests that wait for one group's primary, in the order in which they are let go: the one whose time
 * ends first comes first, and each unit of worth counts like {@link #WORTH_CREDIT} less time. A key that only
 * depends on the request starves nobody: whatever comes later ends later.
 */
final class RequestBuffer {
    /** Microseconds that a unit of worth is ahead. */
    private static final long WORTH_CREDIT = 50_000;

    /**
     * A request that waits.
     *
     * @param useful the last moment at which letting it go can still earn its answer
     */
    record BufferedRequest(long ref, String team, double worth, long useful, int bytes) {
        long order() {
            return useful - (long) (worth * WORTH_CREDIT);
        }
    }

    /** What a team holds over all groups. */
    static final class TeamUsage {
        int requests;
        long bytes;
    }

    private final TreeSet<BufferedRequest> order = new TreeSet<>(
            (a, b) -> a.order() != b.order() ? Long.compare(a.order(), b.order()) : Long.compare(a.ref(), b.ref()));
    private final Map<Long, BufferedRequest> byRef = new HashMap<>();
    private final Map<String, TeamUsage> shares;
    private final FailoverSettings settings;
    private long bytes;

    /** {@code shares} of teams, over all groups, are kept by all queues together. */
    RequestBuffer(FailoverSettings settings, Map<String, TeamUsage> shares) {
        this.settings = settings;
        this.shares = shares;
    }

    /** Takes a request; false if one of the bounds forbids it. */
    boolean add(BufferedRequest held) {
        TeamUsage share = shares.computeIfAbsent(held.team(), team -> new TeamUsage());
        boolean room = byRef.size() < settings.bufferedPerGroup()
                && bytes + held.bytes() <= settings.bytesPerGroup()
                && share.requests < settings.bufferedPerTeam()
                && share.bytes + held.bytes() <= settings.bytesPerTeam();
        if (room) {
            share.requests++;
            share.bytes += held.bytes();
            bytes += held.bytes();
            order.add(held);
            byRef.put(held.ref(), held);
        } else if (share.requests == 0) {
            shares.remove(held.team());
        }
        return room;
    }

    /** The one place where held room is given back; null if the request is not held. */
    BufferedRequest remove(long ref) {
        BufferedRequest held = byRef.remove(ref);
        if (held != null) {
            order.remove(held);
            bytes -= held.bytes();
            TeamUsage share = shares.get(held.team());
            share.bytes -= held.bytes();
            if (--share.requests == 0) {
                shares.remove(held.team());
            }
        }
        return held;
    }

    /** Who is let go next; null if nobody waits. */
    BufferedRequest first() {
        return order.isEmpty() ? null : order.first();
    }

    /** Everybody, in order. */
    List<BufferedRequest> all() {
        return new ArrayList<>(order);
    }

    int size() {
        return byRef.size();
    }

    long bytes() {
        return bytes;
    }
}
