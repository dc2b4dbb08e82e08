package crankwick.handover;

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
final class HoldQueue {
    /** Microseconds that a unit of worth is ahead. */
    private static final long WORTH_CREDIT = 50_000;

    /**
     * A request that waits.
     *
     * @param useful the last moment at which letting it go can still earn its answer
     */
    record Held(long ref, String team, double worth, long useful, int bytes) {
        long order() {
            return useful - (long) (worth * WORTH_CREDIT);
        }
    }

    /** What a team holds over all groups. */
    static final class Share {
        int requests;
        long bytes;
    }

    private final TreeSet<Held> order = new TreeSet<>(
            (a, b) -> a.order() != b.order() ? Long.compare(a.order(), b.order()) : Long.compare(a.ref(), b.ref()));
    private final Map<Long, Held> byRef = new HashMap<>();
    private final Map<String, Share> shares;
    private final HandoverSettings settings;
    private long bytes;

    /** {@code shares} of teams, over all groups, are kept by all queues together. */
    HoldQueue(HandoverSettings settings, Map<String, Share> shares) {
        this.settings = settings;
        this.shares = shares;
    }

    /** Takes a request; false if one of the bounds forbids it. */
    boolean add(Held held) {
        Share share = shares.computeIfAbsent(held.team(), team -> new Share());
        boolean room = byRef.size() < settings.heldPerGroup()
                && bytes + held.bytes() <= settings.bytesPerGroup()
                && share.requests < settings.heldPerTeam()
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
    Held remove(long ref) {
        Held held = byRef.remove(ref);
        if (held != null) {
            order.remove(held);
            bytes -= held.bytes();
            Share share = shares.get(held.team());
            share.bytes -= held.bytes();
            if (--share.requests == 0) {
                shares.remove(held.team());
            }
        }
        return held;
    }

    /** Who is let go next; null if nobody waits. */
    Held first() {
        return order.isEmpty() ? null : order.first();
    }

    /** Everybody, in order. */
    List<Held> all() {
        return new ArrayList<>(order);
    }

    int size() {
        return byRef.size();
    }

    long bytes() {
        return bytes;
    }
}
