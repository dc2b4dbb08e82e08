package crankwick.handover;

import crankwick.RouterApi;
import crankwick.RouterApi.ListKind;
import crankwick.RouterApi.Member;
import crankwick.RouterApi.Need;
import crankwick.RouterApi.Repeat;
import crankwick.RouterApi.Report;
import crankwick.RouterApi.RequestClass;
import crankwick.RouterApi.Result;
import crankwick.RouterApi.Role;
import crankwick.RouterApi.Scope;
import crankwick.RouterApi.Settings;
import crankwick.RouterApi.Standing;
import crankwick.handover.Leadership.Phase;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Changes of primaries, for one proxy: who leads each group, which requests wait outside the router until
 * somebody does, and which keys may have run. It has no input, output or clock; the broker tells it what
 * happens and carries out what it decides through {@link Decisions}.
 *
 * <p>A request is held either here or by the router, never by both: here from {@link #admit} to
 * {@link Decisions#release}, there afterwards. While a group is vacant one request at a time is let through,
 * so that the router seeks the new primary; it decides whom to ask and whether to try again.
 */
public final class Handover {
    /** What the broker carries out; each call is final for the moment it is made at. */
    public interface Decisions {
        /** The router is to have a request that was held. */
        void release(long ref);

        /** A held request's final answer: refused; {@code retryAfter} in microseconds. */
        void refuse(long ref, long retryAfter);

        /** A request's final answer: failed, because its key may have run and its window is over. */
        void failDoubtful(long ref);

        /** An attempt out at a primary that was overtaken is not waited for any more. */
        void withdraw(long ref);

        /** {@link #onDue} wants to be called in so many microseconds. */
        void arm(long fromNow);

        /** A line for the operators. */
        void log(String line);
    }

    /** What becomes of an attempt: it goes out, or its key's window is over, or no key more is remembered. */
    public enum Going {
        GO,
        WINDOW_OVER,
        NO_ROOM
    }

    /** What becomes of a request that has come in. */
    public enum Admission {
        PASS,
        HOLD,
        REFUSE,
        FAIL
    }

    /**
     * A request as it comes in; times in microseconds.
     *
     * @param key its idempotency key; null for none
     * @param bytes the length of its statement
     */
    public record Arrival(long ref, long group, String team, int cls, String key, int bytes, long expires) {}

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
        final Arrival arrival;
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

        Tracked(Arrival arrival, RequestClass kind, GroupState group, long hash, long useful) {
            this.arrival = arrival;
            this.kind = kind;
            this.group = group;
            this.hash = hash;
            this.useful = useful;
        }

        boolean isKeyed() {
            return kind.repeat() == Repeat.KEYED && arrival.key() != null;
        }
    }

    private static final class GroupState {
        final long id;
        final Leadership leadership = new Leadership();
        final HoldQueue queue;
        final Map<Long, Tracked> passed = new LinkedHashMap<>();
        final ChangeTimes planned;
        final ChangeTimes unplanned;
        int members;
        long termSeen;
        double window;
        int inWindow;

        GroupState(long id, HandoverSettings settings, Map<String, HoldQueue.Share> shares) {
            this.id = id;
            queue = new HoldQueue(settings, shares);
            planned = new ChangeTimes(settings.plannedLeast(), settings.plannedMost());
            unplanned = new ChangeTimes(settings.unplannedLeast(), settings.unplannedMost());
        }

        ChangeTimes times() {
            return leadership.planned() ? planned : unplanned;
        }
    }

    private final HandoverSettings settings;
    private final Settings site;
    private final KeyRegistry keys;
    private final Map<Long, GroupState> groups = new LinkedHashMap<>();
    private final Map<String, GroupState> ofServer = new HashMap<>();
    private final Map<Long, Tracked> tracked = new HashMap<>();
    private final Map<String, HoldQueue.Share> shares = new HashMap<>();
    private final HandoverCounters counters = new HandoverCounters();
    private boolean armed;
    private int held;

    /** Holds and remembers as {@code settings} say; {@code seed} scatters the keys' names. */
    public Handover(HandoverSettings settings, Settings site, long seed) {
        this.settings = settings;
        this.site = site;
        keys = new KeyRegistry(settings.keys(), seed);
    }

    // ---- Evidence ------------------------------------------------------------------------------------

    /** The list as it may be believed: a late entry does not name a primary that was overtaken. */
    public List<Member> listed(ListKind kind, List<Member> members, long now) {
        List<Member> believed = new ArrayList<>(members.size());
        if (kind == ListKind.FULL) {
            Map<String, GroupState> before = new HashMap<>(ofServer);
            members.forEach(m -> before.remove(m.server()));
            before.forEach((server, group) -> withdrawn(server, group, true, now));
        }
        for (Member m : members) {
            GroupState g = ofServer.get(m.server());
            if (g == null && m.standing() != Standing.GONE) {
                g = groups.computeIfAbsent(m.group(), id -> new GroupState(id, settings, shares));
                g.members++;
                ofServer.put(m.server(), g);
            }
            if (g == null) {
                believed.add(m);
                continue;
            }
            if (m.standing() == Standing.LIVE) {
                g.leadership.take(new Evidence.Listed(m.server()), now);
            } else {
                withdrawn(m.server(), g, m.standing() == Standing.GONE, now);
            }
            boolean late = m.role() == Role.PRIMARY && g.leadership.leader() != null;
            believed.add(
                    late ? new Member(m.server(), m.zone(), m.group(), Role.UNKNOWN, m.standing(), m.startedAt()) : m);
        }
        return believed;
    }

    private void withdrawn(String server, GroupState g, boolean gone, long now) {
        g.leadership.take(new Evidence.Withdrawn(server), now);
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
    public Role heard(String server, boolean write, long sentAt, Result result, Role role, long position, long now) {
        GroupState g = ofServer.get(server);
        if (g == null) {
            return role;
        }
        if (result == Result.MISS && write) {
            g.leadership.take(new Evidence.WriteMissed(server, sentAt), now);
        } else if (result == Result.UNREACHABLE) {
            unreachable(g, server, sentAt, now);
        } else if (result == Result.RESET || result == Result.DROPPED) {
            g.leadership.take(new Evidence.Broke(server), now);
        }
        if (role == Role.UNKNOWN) {
            return role;
        }
        Evidence.Told told = new Evidence.Told(server, role, position, sentAt);
        if (!g.leadership.take(told, now)) {
            return Role.UNKNOWN;
        }
        if (write && result == Result.OK) {
            g.leadership.served(told, now);
        }
        return role;
    }

    private void unreachable(GroupState g, String server, long askedAt, long now) {
        boolean atOnce = now - askedAt < site.limits().connectTimeout() * 0.8;
        g.leadership.take(atOnce ? new Evidence.Refused(server) : new Evidence.Silent(server, askedAt), now);
    }

    /** The report that may be believed of a probe's answer; with the role unknown where that is overtaken. */
    public Report probed(String server, Result result, long duration, Report report, long now) {
        GroupState g = ofServer.get(server);
        if (g == null) {
            return report;
        }
        if (result == Result.UNREACHABLE) {
            unreachable(g, server, now - duration, now);
        } else if (result == Result.TIMEOUT) {
            g.leadership.take(new Evidence.Silent(server, now - duration), now);
        }
        return believed(g, server, report, now);
    }

    /** A report is dated by its position: a primary's is the present, a replica's lies before it. */
    public Report believed(String server, Report report, long now) {
        GroupState g = ofServer.get(server);
        return g == null ? report : believed(g, server, report, now);
    }

    private Report believed(GroupState g, String server, Report r, long now) {
        if (r == null
                || r.role() == Role.UNKNOWN
                || r.position() == RouterApi.NONE
                || g.leadership.take(new Evidence.Told(server, r.role(), r.position(), r.position()), now)) {
            return r;
        }
        return new Report(r.position(), Role.UNKNOWN, r.backlog(), r.utilization(), r.inFlight());
    }

    // ---- Requests ------------------------------------------------------------------------------------

    /** Decides on a request that has come in; the answer of one that is not taken is the caller's to give. */
    public Admission admit(Arrival a, long now) {
        RequestClass kind = site.classes().get(a.cls());
        GroupState g = groups.get(a.group());
        if (g == null || kind.need() != Need.WRITE && kind.need() != Need.FRESH) {
            return Admission.PASS;
        }
        long last = a.expires() - MARGIN;
        long useful = kind.lateWorth() > 0 ? last : Math.min(last, now + kind.aim());
        boolean keyed = kind.repeat() == Repeat.KEYED && a.key() != null;
        long hash = keyed ? keys.hash(a.group(), a.key()) : 0;
        Tracked t = new Tracked(a, kind, g, hash, useful);
        if (keyed) {
            t.ranSince = keys.ranSince(hash, now);
            if (isOver(t, now)) {
                counters.retriesFailed++;
                return Admission.FAIL;
            }
        }
        boolean vacant = g.leadership.phase() == Phase.VACANT;
        boolean wait = vacant ? !g.passed.isEmpty() : g.queue.size() > 0;
        if (vacant && !hopeful(t, now)) {
            counters.hopeless++;
            return isDoubtful(t) ? Admission.FAIL : Admission.REFUSE;
        }
        if (wait && !g.queue.add(new HoldQueue.Held(a.ref(), a.team(), kind.worth(), useful, a.bytes()))) {
            counters.overBounds++;
            return isDoubtful(t) ? Admission.FAIL : Admission.REFUSE;
        }
        tracked.put(a.ref(), t);
        if (wait) {
            t.held = true;
            counters.held++;
            counters.heldMax = Math.max(counters.heldMax, ++held);
            return Admission.HOLD;
        }
        g.passed.put(a.ref(), t);
        return Admission.PASS;
    }

    /** When a request that is refused for a vacant group should come again, in microseconds. */
    public long retryAfter(long groupId, int cls, long now) {
        GroupState g = groups.get(groupId);
        if (g == null || !site.limits().retryAfter()) {
            return 0;
        }
        long remaining = g.times().remaining(now - g.leadership.vacantSince());
        long wait = remaining - site.classes().get(cls).aim() / 2;
        return Math.min(site.limits().maxRetryAfter(), Math.max(RETRY_LEAST, wait));
    }

    /** True if a request's key may have run, by whatever request: to repeat it may harm. */
    public boolean isDoubtful(long ref) {
        Tracked t = tracked.get(ref);
        return t != null && isDoubtful(t);
    }

    private static boolean isDoubtful(Tracked t) {
        return t.ranSince != Long.MAX_VALUE && t.kind.scope() != Scope.ALL;
    }

    private boolean isOver(Tracked t, long now) {
        return t.ranSince != Long.MAX_VALUE && now >= t.ranSince + t.kind.keyTtl() - settings.keyMargin();
    }

    /** An attempt is about to go out: only if this says GO, it may, and then it counts as sent now. */
    public Going send(long ref, String server, long now) {
        Tracked t = tracked.get(ref);
        if (t == null) {
            return Going.GO;
        }
        if (isOver(t, now)) {
            counters.windowsOver++;
            return Going.WINDOW_OVER;
        }
        t.datesKey = t.isKeyed() && keys.ranSince(t.hash, now) == Long.MAX_VALUE;
        if (t.isKeyed() && !keys.sent(t.hash, now, t.kind.keyTtl() + settings.keyMemory())) {
            counters.overBounds++;
            return Going.NO_ROOM;
        }
        t.server = server;
        t.sentAt = now;
        return Going.GO;
    }

    /** An attempt has ended. */
    public void ended(long ref, Result result, long duration, long now) {
        Tracked t = tracked.get(ref);
        if (t == null || t.server == null) {
            return;
        }
        if (t.isKeyed()) {
            keys.ended(t.hash, result == Result.OK, result.provesNotRun() && t.datesKey);
            t.ranSince = keys.ranSince(t.hash, now);
        }
        GroupState g = t.group;
        boolean late = result == Result.FULL || duration > LATE_SHARE * t.kind.aim();
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
            tracked.remove(t.arrival.ref());
            if (t.group.passed.remove(t.arrival.ref()) != null && t.paced == t.group.leadership.term()) {
                t.group.inWindow--;
            }
            forget(t.group);
        }
    }

    private void unhold(Tracked t) {
        t.group.queue.remove(t.arrival.ref());
        t.held = false;
        held--;
    }

    private boolean hopeful(Tracked t, long now) {
        GroupState g = t.group;
        long until = t.ranSince == Long.MAX_VALUE
                ? t.useful
                : Math.min(t.useful, t.ranSince + t.kind.keyTtl() - settings.keyMargin());
        return g.times().hope(now - g.leadership.vacantSince(), until - now) >= settings.hopeLeast();
    }

    // ---- Decisions -----------------------------------------------------------------------------------

    /** After each event: what follows for the group of a server or a request. */
    public void decide(long groupId, long now, Decisions decisions) {
        GroupState g = groups.get(groupId);
        if (g != null) {
            decide(g, now, decisions);
        }
    }

    /** The group of a server, or NONE. */
    public long groupOf(String server) {
        GroupState g = ofServer.get(server);
        return g == null ? RouterApi.NONE : g.id;
    }

    /** The time that was armed has come. */
    public void onDue(long now, Decisions decisions) {
        armed = false;
        decideAll(now, decisions);
    }

    /** After news of many groups. */
    public void decideAll(long now, Decisions decisions) {
        for (GroupState g : List.copyOf(groups.values())) {
            decide(g, now, decisions);
        }
    }

    private void decide(GroupState g, long now, Decisions decisions) {
        boolean vacant = g.leadership.phase() == Phase.VACANT;
        if (g.leadership.term() != g.termSeen) {
            begin(g, now, decisions);
        }
        if (vacant) {
            dropHopeless(g, now, decisions);
        }
        letGo(g, vacant, now, decisions);
        if (!armed && (vacant || g.queue.size() > 0) && g.queue.size() + g.passed.size() > 0) {
            armed = true;
            decisions.arm(LOOK_EVERY);
        }
    }

    /** A new term: how long the change took is learned, and what is out at the old primary comes back. */
    private void begin(GroupState g, long now, Decisions decisions) {
        Leadership l = g.leadership;
        boolean first = g.termSeen == 0;
        boolean planned = !first && l.planned();
        g.termSeen = l.term();
        g.window = settings.startWindow();
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
                decisions.withdraw(t.arrival.ref());
            }
        }
    }

    /** While the group is vacant, who can't be served in time any more is told so at once. */
    private void dropHopeless(GroupState g, long now, Decisions decisions) {
        for (HoldQueue.Held h : g.queue.all()) {
            Tracked t = tracked.get(h.ref());
            if (!hopeful(t, now)) {
                counters.hopeless++;
                give(t, now, decisions);
            }
        }
        for (Tracked t : List.copyOf(g.passed.values())) {
            if (!t.answered && t.server == null && t.ranSince != Long.MAX_VALUE && !hopeful(t, now)) {
                counters.windowsOver++;
                decisions.failDoubtful(t.arrival.ref());
            }
        }
    }

    private void give(Tracked t, long now, Decisions decisions) {
        if (!isDoubtful(t)) {
            decisions.refuse(t.arrival.ref(), retryAfter(t.group.id, t.arrival.cls(), now));
        } else {
            decisions.failDoubtful(t.arrival.ref());
        }
    }

    /** To a vacant group one seeker; to a led one as many as the window has room for. */
    private void letGo(GroupState g, boolean vacant, long now, Decisions decisions) {
        while (g.queue.size() > 0 && (vacant ? g.passed.isEmpty() : g.inWindow < g.window)) {
            HoldQueue.Held next = g.queue.first();
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
    public int held() {
        return held;
    }

    /** Keys remembered now. */
    public int keys() {
        return keys.size();
    }

    /** What has been counted so far. */
    public HandoverCounters counters() {
        return counters;
    }
}
