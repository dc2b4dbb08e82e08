package crankwick.failover;

import crankwick.failover.Leadership.Phase;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.ConsistencyLevel;
import crankwick.routing.api.DeduplicationScope;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.Idempotency;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoutingSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Changes of primaries, for one proxy: who leads each group, which requests wait outside the router until
 * somebody does, and which keys may have run. It has no input, output or clock; the broker tells it what
 * happens and carries out what it decides through {@link FailoverActions}.
 *
 * <p>A request is held either here or by the router, never by both: here from {@link #admit} to
 * {@link FailoverActions#release}, there afterwards. While a group is vacant one request at a time is let through,
 * so that the router seeks the new primary; it decides whom to ask and whether to try again.
 */
public final class FailoverCoordinator {
    /** What the broker carries out; each call is final for the moment it is made at. */
    public interface FailoverActions {
        /** The router is to have a request that was held. */
        void release(long ref);

        /** A held request's final answer: refused; {@code retryAfter} in microseconds. */
        void reject(long ref, long retryAfter);

        /** A request's final answer: failed, because its key may have run and its window is over. */
        void failUnknownOutcome(long ref);

        /** An attempt out at a primary that was overtaken is not waited for any more. */
        void cancelAttempt(long ref);

        /** {@link #onDue} wants to be called in so many microseconds. */
        void scheduleTimer(long fromNow);

        /** A line for the operators. */
        void log(String line);
    }

    /** What becomes of an attempt: it goes out, or its key's window is over, or no key more is remembered. */
    public enum AttemptPermit {
        GRANTED,
        KEY_EXPIRED,
        REGISTRY_FULL
    }

    /** What becomes of a request that has come in. */
    public enum Admission {
        ADMIT,
        BUFFER,
        REJECT,
        FAIL
    }

    /**
     * A request as it comes in; times in microseconds.
     *
     * @param idempotencyKey its idempotency key; null for none
     * @param statementBytes the length of its statement
     */
    public record ArrivingRequest(
            long requestId,
            long groupId,
            String team,
            int classIndex,
            String idempotencyKey,
            int statementBytes,
            long expiresAt) {}

    /** Final answers come this long before the caller leaves. */
    private static final long MARGIN = 30_000;
    /** How often held requests' hopes are looked at again. */
    private static final long LOOK_EVERY = 50_000;

    private static final long RETRY_LEAST = 50_000;
    private static final double WINDOW_CUT = 0.7;
    /** Answers later than this share of the aim, or turned away, make the window smaller. */
    private static final double LATE_SHARE = 0.45;

    /** A request that needs the primary, from its coming in until it is answered and nothing is out. */
    private static final class Tracked {
        final ArrivingRequest arrival;
        final RequestClass kind;
        final GroupState group;
        final long hash;
        final long useful;
        boolean held;
        /** Let go under the window; and the term in which. */
        long paced = -1;

        String server;
        long sentAt;
        long ranSince = Long.MAX_VALUE;
        /** The attempt out is the one that dates its key's window: that it never ran ends the doubt. */
        boolean datesKey;

        boolean answered;

        Tracked(ArrivingRequest arrival, RequestClass kind, GroupState group, long hash, long useful) {
            this.arrival = arrival;
            this.kind = kind;
            this.group = group;
            this.hash = hash;
            this.useful = useful;
        }

        boolean isKeyed() {
            return kind.idempotency() == Idempotency.WITH_KEY && arrival.idempotencyKey() != null;
        }
    }

    private static final class GroupState {
        final long id;
        final Leadership leadership = new Leadership();
        final RequestBuffer queue;
        final Map<Long, Tracked> passed = new LinkedHashMap<>();
        final FailoverDurations planned;
        final FailoverDurations unplanned;
        int members;
        long termSeen;
        double window;
        int inWindow;

        GroupState(long id, FailoverSettings settings, Map<String, RequestBuffer.TeamUsage> shares) {
            this.id = id;
            queue = new RequestBuffer(settings, shares);
            planned = new FailoverDurations(settings.plannedMin(), settings.plannedMax());
            unplanned = new FailoverDurations(settings.unplannedMin(), settings.unplannedMax());
        }

        FailoverDurations times() {
            return leadership.planned() ? planned : unplanned;
        }
    }

    private final FailoverSettings settings;
    private final RoutingSettings site;
    private final KeyRegistry keys;
    private final Map<Long, GroupState> groups = new LinkedHashMap<>();
    private final Map<String, GroupState> ofServer = new HashMap<>();
    private final Map<Long, Tracked> tracked = new HashMap<>();
    private final Map<String, RequestBuffer.TeamUsage> shares = new HashMap<>();
    private final FailoverCounters counters = new FailoverCounters();
    private boolean armed;
    private int bufferedRequests;

    /** Holds and remembers as {@code settings} say; {@code seed} scatters the keys' names. */
    public FailoverCoordinator(FailoverSettings settings, RoutingSettings site, long seed) {
        this.settings = settings;
        this.site = site;
        keys = new KeyRegistry(settings.maxKeys(), seed);
    }

    // ---- Evidence ------------------------------------------------------------------------------------

    /** The list as it may be believed: a late entry does not name a primary that was overtaken. */
    public List<Endpoint> listed(EndpointUpdateKind kind, List<Endpoint> members, long now) {
        List<Endpoint> believed = new ArrayList<>(members.size());
        if (kind == EndpointUpdateKind.FULL) {
            Map<String, GroupState> before = new HashMap<>(ofServer);
            members.forEach(m -> before.remove(m.id()));
            before.forEach((server, group) -> withdrawn(server, group, true, now));
        }
        for (Endpoint m : members) {
            GroupState g = ofServer.get(m.id());
            if (g == null && m.status() != EndpointStatus.REMOVED) {
                g = groups.computeIfAbsent(m.groupId(), id -> new GroupState(id, settings, shares));
                g.members++;
                ofServer.put(m.id(), g);
            }
            if (g == null) {
                believed.add(m);
                continue;
            }
            if (m.status() == EndpointStatus.LIVE) {
                g.leadership.take(new LeadershipEvidence.ListedAsUp(m.id()), now);
            } else {
                withdrawn(m.id(), g, m.status() == EndpointStatus.REMOVED, now);
            }
            boolean late = m.role() == Role.PRIMARY && g.leadership.leader() != null;
            believed.add(
                    late ? new Endpoint(m.id(), m.zone(), m.groupId(), Role.UNKNOWN, m.status(), m.startedAt()) : m);
        }
        return believed;
    }

    private void withdrawn(String server, GroupState g, boolean gone, long now) {
        g.leadership.take(new LeadershipEvidence.Delisted(server), now);
        if (gone && ofServer.remove(server) != null) {
            g.leadership.forget(server);
            g.members--;
            forget(g);
        }
    }

    /** A group without members is kept only for requests that are still open. */
    private void forget(GroupState g) {
        if (g.members == 0 && g.passed.isEmpty() && g.queue.size() == 0) {
            groups.remove(g.id, g);
        }
    }

    /**
     * The role that may be believed of an attempt; UNKNOWN for a claim or denial that is overtaken. What
     * an answer tells is dated by the sending of its attempt: it may have been long on its way.
     */
    public Role heard(
            String server, boolean write, long sentAt, AttemptResult result, Role role, long position, long now) {
        GroupState g = ofServer.get(server);
        if (g == null) {
            return role;
        }
        if (result == AttemptResult.INELIGIBLE_REPLICA && write) {
            g.leadership.take(new LeadershipEvidence.WriteRejected(server, sentAt), now);
        } else if (result == AttemptResult.UNREACHABLE) {
            unreachable(g, server, sentAt, now);
        } else if (result == AttemptResult.RESET || result == AttemptResult.CONNECTION_LOST_BEFORE_SEND) {
            g.leadership.take(new LeadershipEvidence.ConnectionLost(server), now);
        }
        if (role == Role.UNKNOWN) {
            return role;
        }
        LeadershipEvidence.RoleReported told = new LeadershipEvidence.RoleReported(server, role, position, sentAt);
        if (!g.leadership.take(told, now)) {
            return Role.UNKNOWN;
        }
        if (write && result == AttemptResult.OK) {
            g.leadership.served(told, now);
        }
        return role;
    }

    private void unreachable(GroupState g, String server, long askedAt, long now) {
        boolean atOnce = now - askedAt < site.limits().connectTimeout() * 0.8;
        g.leadership.take(
                atOnce
                        ? new LeadershipEvidence.ConnectionRefused(server)
                        : new LeadershipEvidence.Unresponsive(server, askedAt),
                now);
    }

    /** The report that may be believed of a probe's answer; with the role unknown where that is overtaken. */
    public LoadReport probed(String server, AttemptResult result, long duration, LoadReport report, long now) {
        GroupState g = ofServer.get(server);
        if (g == null) {
            return report;
        }
        if (result == AttemptResult.UNREACHABLE) {
            unreachable(g, server, now - duration, now);
        } else if (result == AttemptResult.TIMEOUT) {
            g.leadership.take(new LeadershipEvidence.Unresponsive(server, now - duration), now);
        }
        return believed(g, server, report, now);
    }

    /** A report is dated by its position: a primary's is the present, a replica's lies before it. */
    public LoadReport believed(String server, LoadReport report, long now) {
        GroupState g = ofServer.get(server);
        return g == null ? report : believed(g, server, report, now);
    }

    private LoadReport believed(GroupState g, String server, LoadReport r, long now) {
        if (r == null
                || r.role() == Role.UNKNOWN
                || r.position() == AbsentValue.NONE
                || g.leadership.take(
                        new LeadershipEvidence.RoleReported(server, r.role(), r.position(), r.position()), now)) {
            return r;
        }
        return new LoadReport(r.position(), Role.UNKNOWN, r.queueLength(), r.utilization(), r.inFlight());
    }

    // ---- Requests ------------------------------------------------------------------------------------

    /** Decides on a request that has come in; the answer of one that is not taken is the caller's to give. */
    public Admission admit(ArrivingRequest a, long now) {
        RequestClass kind = site.requestClasses().get(a.classIndex());
        GroupState g = groups.get(a.groupId());
        if (g == null
                || kind.consistency() != ConsistencyLevel.WRITE && kind.consistency() != ConsistencyLevel.STRONG) {
            return Admission.ADMIT;
        }
        long last = a.expiresAt() - MARGIN;
        long useful = kind.lateWeight() > 0 ? last : Math.min(last, now + kind.latencyObjective());
        boolean keyed = kind.idempotency() == Idempotency.WITH_KEY && a.idempotencyKey() != null;
        long hash = keyed ? keys.hash(a.groupId(), a.idempotencyKey()) : 0;
        Tracked t = new Tracked(a, kind, g, hash, useful);
        if (keyed) {
            t.ranSince = keys.ranSince(hash, now);
            if (isOver(t, now)) {
                counters.retriesFailed++;
                return Admission.FAIL;
            }
        }
        boolean vacant = g.leadership.phase() == Phase.LEADERLESS;
        boolean wait = vacant ? !g.passed.isEmpty() : g.queue.size() > 0;
        if (vacant && !hopeful(t, now)) {
            counters.hopeless++;
            return isDoubtful(t) ? Admission.FAIL : Admission.REJECT;
        }
        if (wait
                && !g.queue.add(new RequestBuffer.BufferedRequest(
                        a.requestId(), a.team(), kind.priorityWeight(), useful, a.statementBytes()))) {
            counters.overBounds++;
            return isDoubtful(t) ? Admission.FAIL : Admission.REJECT;
        }
        tracked.put(a.requestId(), t);
        if (wait) {
            t.held = true;
            counters.held++;
            counters.maxBuffered = Math.max(counters.maxBuffered, ++bufferedRequests);
            return Admission.BUFFER;
        }
        g.passed.put(a.requestId(), t);
        return Admission.ADMIT;
    }

    /** When a request that is refused for a vacant group should come again, in microseconds. */
    public long retryAfter(long groupId, int classIndex, long now) {
        GroupState g = groups.get(groupId);
        if (g == null || !site.limits().retryAfterSupported()) {
            return 0;
        }
        long remaining = g.times().remaining(now - g.leadership.vacantSince());
        long wait = remaining - site.requestClasses().get(classIndex).latencyObjective() / 2;
        return Math.min(site.limits().maxRetryAfter(), Math.max(RETRY_LEAST, wait));
    }

    /** True if a request's key may have run, by whatever request: to repeat it may harm. */
    public boolean isDoubtful(long ref) {
        Tracked t = tracked.get(ref);
        return t != null && isDoubtful(t);
    }

    private static boolean isDoubtful(Tracked t) {
        return t.ranSince != Long.MAX_VALUE && t.kind.deduplicationScope() != DeduplicationScope.FLEET;
    }

    private boolean isOver(Tracked t, long now) {
        return t.ranSince != Long.MAX_VALUE && now >= t.ranSince + t.kind.keyTtl() - settings.keyMargin();
    }

    /** An attempt is about to go out: only if this says GO, it may, and then it counts as sent now. */
    public AttemptPermit send(long ref, String server, long now) {
        Tracked t = tracked.get(ref);
        if (t == null) {
            return AttemptPermit.GRANTED;
        }
        if (isOver(t, now)) {
            counters.windowsOver++;
            return AttemptPermit.KEY_EXPIRED;
        }
        t.datesKey = t.isKeyed() && keys.ranSince(t.hash, now) == Long.MAX_VALUE;
        if (t.isKeyed() && !keys.sent(t.hash, now, t.kind.keyTtl() + settings.keyRetention())) {
            counters.overBounds++;
            return AttemptPermit.REGISTRY_FULL;
        }
        t.server = server;
        t.sentAt = now;
        return AttemptPermit.GRANTED;
    }

    /** An attempt has ended. */
    public void ended(long ref, AttemptResult result, long duration, long now) {
        Tracked t = tracked.get(ref);
        if (t == null || t.server == null) {
            return;
        }
        if (t.isKeyed()) {
            keys.ended(t.hash, result == AttemptResult.OK, result.provesNotExecuted() && t.datesKey);
            t.ranSince = keys.ranSince(t.hash, now);
        }
        GroupState g = t.group;
        boolean late = result == AttemptResult.REJECTED_OVERLOADED || duration > LATE_SHARE * t.kind.latencyObjective();
        if (t.paced == g.leadership.term()) {
            g.window = late ? Math.max(1, g.window * WINDOW_CUT) : g.window + 1;
        }
        t.server = null;
        forget(t);
    }

    /** A request has its final answer, or its caller has left. */
    public void answered(long ref) {
        Tracked t = tracked.get(ref);
        if (t != null) {
            t.answered = true;
            if (t.held) {
                unhold(t);
            }
            forget(t);
        }
    }

    private void forget(Tracked t) {
        if (t.answered && t.server == null) {
            tracked.remove(t.arrival.requestId());
            if (t.group.passed.remove(t.arrival.requestId()) != null && t.paced == t.group.leadership.term()) {
                t.group.inWindow--;
            }
            forget(t.group);
        }
    }

    private void unhold(Tracked t) {
        t.group.queue.remove(t.arrival.requestId());
        t.held = false;
        bufferedRequests--;
    }

    private boolean hopeful(Tracked t, long now) {
        GroupState g = t.group;
        long until = t.ranSince == Long.MAX_VALUE
                ? t.useful
                : Math.min(t.useful, t.ranSince + t.kind.keyTtl() - settings.keyMargin());
        return g.times().successProbability(now - g.leadership.vacantSince(), until - now)
                >= settings.minSuccessProbability();
    }

    // ---- Decisions -----------------------------------------------------------------------------------

    /** After each event: what follows for the group of a server or a request. */
    public void decide(long groupId, long now, FailoverActions decisions) {
        GroupState g = groups.get(groupId);
        if (g != null) {
            decide(g, now, decisions);
        }
    }

    /** The group of a server, or NONE. */
    public long groupOf(String server) {
        GroupState g = ofServer.get(server);
        return g == null ? AbsentValue.NONE : g.id;
    }

    /** The time that was armed has come. */
    public void onDue(long now, FailoverActions decisions) {
        armed = false;
        decideAll(now, decisions);
    }

    /** After news of many groups. */
    public void decideAll(long now, FailoverActions decisions) {
        for (GroupState g : List.copyOf(groups.values())) {
            decide(g, now, decisions);
        }
    }

    private void decide(GroupState g, long now, FailoverActions decisions) {
        boolean vacant = g.leadership.phase() == Phase.LEADERLESS;
        if (g.leadership.term() != g.termSeen) {
            begin(g, now, decisions);
        }
        if (vacant) {
            dropHopeless(g, now, decisions);
        }
        letGo(g, vacant, now, decisions);
        if (!armed && (vacant || g.queue.size() > 0) && g.queue.size() + g.passed.size() > 0) {
            armed = true;
            decisions.scheduleTimer(LOOK_EVERY);
        }
    }

    /** A new term: how long the change took is learned, and what is out at the old primary comes back. */
    private void begin(GroupState g, long now, FailoverActions decisions) {
        Leadership l = g.leadership;
        boolean first = g.termSeen == 0;
        boolean planned = !first && l.planned();
        g.termSeen = l.term();
        g.window = settings.initialWindow();
        g.inWindow = 0;
        if (!first) {
            long took = now - l.vacantSince();
            g.times().add(took);
            counters.changes++;
            decisions.log("group " + g.id + " term " + l.term() + " led by " + l.leader() + " after " + took / 1_000
                    + " ms" + (planned ? ", planned" : "") + ", " + g.queue.size() + " held");
        }
        for (Tracked t : List.copyOf(g.passed.values())) {
            if (t.server != null && !t.server.equals(l.leader()) && !planned) {
                counters.withdrawn++;
                decisions.cancelAttempt(t.arrival.requestId());
            }
        }
    }

    /** While the group is vacant, who can't be served in time any more is told so at once. */
    private void dropHopeless(GroupState g, long now, FailoverActions decisions) {
        for (RequestBuffer.BufferedRequest h : g.queue.all()) {
            Tracked t = tracked.get(h.ref());
            if (!hopeful(t, now)) {
                counters.hopeless++;
                give(t, now, decisions);
            }
        }
        for (Tracked t : List.copyOf(g.passed.values())) {
            if (!t.answered && t.server == null && t.ranSince != Long.MAX_VALUE && !hopeful(t, now)) {
                counters.windowsOver++;
                decisions.failUnknownOutcome(t.arrival.requestId());
            }
        }
    }

    private void give(Tracked t, long now, FailoverActions decisions) {
        if (!isDoubtful(t)) {
            decisions.reject(t.arrival.requestId(), retryAfter(t.group.id, t.arrival.classIndex(), now));
        } else {
            decisions.failUnknownOutcome(t.arrival.requestId());
        }
    }

    /** To a vacant group one seeker; to a led one as many as the window has room for. */
    private void letGo(GroupState g, boolean vacant, long now, FailoverActions decisions) {
        while (g.queue.size() > 0 && (vacant ? g.passed.isEmpty() : g.inWindow < g.window)) {
            RequestBuffer.BufferedRequest next = g.queue.first();
            Tracked t = tracked.get(next.ref());
            if (now >= t.useful || isOver(t, now)) {
                give(t, now, decisions);
                continue;
            }
            unhold(t);
            g.passed.put(next.ref(), t);
            if (!vacant) {
                t.paced = g.leadership.term();
                g.inWindow++;
            }
            counters.released++;
            decisions.release(next.ref());
        }
    }

    // ---- For operators and checks --------------------------------------------------------------------

    /** A group's leadership; null for a group that is not known. */
    public Leadership leadership(long group) {
        GroupState g = groups.get(group);
        return g == null ? null : g.leadership;
    }

    /** Requests held now, over all groups. */
    public int bufferedRequests() {
        return bufferedRequests;
    }

    /** Keys remembered now. */
    public int keys() {
        return keys.size();
    }

    /** What has been counted so far. */
    public FailoverCounters counters() {
        return counters;
    }
}
