package crankwick;

// The whole interface - settings, events, actions - stands in RouterApi.java; what is kept of each server,
// request and group is declared in RouterState.java.

import crankwick.RouterState.Group;
import crankwick.RouterState.Pending;
import crankwick.RouterState.Server;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Decides, for one gateway, which member of a database group answers each request.
 *
 * <p>Every read carries the log position of its session's last write; a replica known past that position
 * serves it; if none is, the read waits for the next polls and then fails with a retry-after. Writes and
 * fresh reads go to the primary. See docs/design.md.
 */
public final class Router implements RouterApi {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    /**
     * What was heard this recently is believed, or within so many of the mean gaps between two answers of a
     * member to this gateway; a member heard longer ago is asked before it is used, while probes are earned.
     */
    private static final long FRESH = 300 * MS;

    private static final double BELIEF_GAPS = 4;
    /** An asked member silent for so long: is passed over; has safe work withdrawn; counts as lost. */
    private static final long ASK_WAIT = 25 * MS;

    private static final long SILENCE = 80 * MS;
    private static final long LOST_AFTER = 400 * MS;
    /** A member is asked again after about a report's period; later if silent or far behind a token. */
    private static final long ASK_AGAIN = 80 * MS;

    private static final long ASK_FAR = 500 * MS;
    private static final long ASK_REACH = SECOND;
    /** Probes earned by each request: at most, and as points spent on them; saved up for a start. */
    private static final double PROBE_EARN = 1;

    private static final double PROBE_POINTS = 0.03;
    private static final double PROBE_MAX = 40;
    /**
     * Work that takes this many times what is expected there makes its member be asked, more by the second
     * for each e-fold that probes are dearer: the longest works are exponentially fewer.
     */
    private static final double DOUBT = 2.5;

    private static final double DOUBT_RISE = 2;
    /** At this price of probes, in points for one a request, the spans between questions are as stated. */
    private static final double PROBE_PRICE = 0.02;
    /** Work out this many calm durations at a free member is taken for lost. */
    private static final double OVERDUE = 5;
    /** A class's usual duration is held at a low quantile, so that overload hardly lifts it. */
    private static final double CLASS_GAIN = 0.02;

    private static final double CLASS_QUANTILE = 0.3;
    /** A member's latency in usual durations: the mean over that quantile, unless it has shown another. */
    private static final double LATENCY_CALM = 1.8;

    private static final double LATENCY_GAIN = 0.2;
    /** The same of all members of a role, attempts that were withdrawn or timed out among them. */
    private static final double ROLE_GAIN = 0.05;
    /** What was learnt or reported of a member fades, so that it is tried again. */
    private static final long LATENCY_MEMORY = 2 * SECOND;

    private static final long QUEUE_MEMORY = SECOND;
    /** Requests that a member has in work at once, about, and what each further one adds to an answer. */
    private static final double PARALLEL = 3;

    private static final double QUEUE_STEP = 2.5 / PARALLEL;
    /** From this share of busy cores on, work only queues; below the second, a primary has room for reads. */
    private static final double FULL_USE = 0.9;

    private static final double SPARE_USE = 0.8;
    /** Lag of a busy replica at which the worthiest class leaves it alone; others at their share of it. */
    private static final long CROWDED_LAG = 1_500 * MS;
    /** The draw's weight falls with this power of what is expected; 1 leaves queues too uneven. */
    private static final double DRAW_POWER = 2;
    /** How much a price on crossing zones makes a far member look slower. */
    private static final double ZONE_AVERSION = 50;
    /** Answers later than this share of the aim, or a replica so far behind, cut the limit by a fifth. */
    private static final double LATE_SHARE = 0.45;

    private static final long LATE_LAG = 600 * MS;
    private static final double LIMIT_CUT = 0.8;
    /** Concurrency limit at the start and at least, over all instances; the latter a second where cold. */
    private static final double LIMIT_START = 18;

    private static final double LIMIT_MIN = 3;
    private static final double LIMIT_RISE = 0.3;
    /** Share of recent attempts that fail before a member is ejected: under half, it still helps. */
    private static final double EJECT_FAILURES = 0.5;

    private static final double FAILURE_GAIN = 0.2;
    /** First exclusion, past short pauses; it doubles with each strike, and strikes fade. */
    private static final long EJECT_FIRST = 400 * MS;

    private static final long EJECT_MAX = 4 * SECOND;
    private static final long STRIKE_MEMORY = 10 * SECOND;
    /** Where replicas check reads: how far behind one may be to be tried (a report's age), and its rest. */
    private static final long CLOSE_BEHIND = 500 * MS;

    private static final long MISS_REST = 40 * MS;
    /** A role not heard for this long may be tried again by a write. */
    private static final long ROLE_MEMORY = 2 * SECOND;
    /** Share used of what the settings let a cold member be sent. */
    private static final double COLD_SHARE = 0.65;
    /** Sends are counted over this span; the fleet's use is smoothed, and never taken as less than this. */
    private static final long RATE_SPAN = 5 * SECOND;

    private static final double USE_GAIN = 0.05;
    private static final double USE_LEAST = 0.4;
    /** Further attempts for each request taken, and how many may be saved up. */
    private static final double RESEND_EARN = 0.25;

    private static final double RESEND_MAX = 30;
    /** Final answers come this long before the client leaves. */
    private static final long GIVE_UP_MARGIN = 30 * MS;
    /** A client with less of an aim left than this came impatient; it is no later try. */
    private static final double IMPATIENT = 0.65;

    private static final long DISCOVERY_BACKOFF = 500 * MS;
    private static final long WATCH_TIMER = 0;
    /** A server that has left the list and was not heard for so long is forgotten. */
    private static final long GONE_MEMORY = 30 * SECOND;
    /** Outcomes that the server itself has given, and those that count against it. */
    private static final Set<Result> LIFE = EnumSet.of(Result.OK, Result.ERROR, Result.FULL, Result.MISS);
    /** Outcomes that tell how long an answer takes, or has taken at least. */
    private static final Set<Result> TIMED = EnumSet.of(Result.OK, Result.TIMEOUT, Result.CANCELLED);

    private static final Set<Result> FAILURES =
            EnumSet.of(Result.ERROR, Result.RESET, Result.FULL, Result.UNREACHABLE, Result.DROPPED);

    private final Settings settings;
    private final SplittableRandom random;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<Long, Group> groups = new LinkedHashMap<>();
    private final Map<Long, Pending> open = new HashMap<>();
    private final List<Integer> classOrder = new ArrayList<>();
    private final List<QuantileEstimate> usual = new ArrayList<>();
    private final List<FirstTryPatience> firstTries = new ArrayList<>();
    private final double probeEarn;
    /** How many times dearer than that probes are, 1 at least. */
    private final double dear;

    private final double doubt;
    private double mostWorth;
    private double resends = RESEND_MAX;
    private double probeCredit = PROBE_MAX;
    /** Whether asking a member can tell how busy it is. */
    private boolean reportsLoad;

    private final DecayingCount sends = new DecayingCount(RATE_SPAN);
    private double fleetUse = 1;
    private final Map<Role, FadingMean> roleLatency = new EnumMap<>(Role.class);
    private long discoveryBackoff = DISCOVERY_BACKOFF;
    private long now;
    private long belief;
    private Actions act;

    /** Creates a router; the same settings, seed and events give the same actions. */
    public Router(Settings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        List<RequestClass> classes = settings.classes();
        probeEarn = Math.min(
                PROBE_EARN, PROBE_POINTS / Math.max(1e-9, settings.prices().probe()));
        dear = Math.max(1, settings.prices().probe() / PROBE_PRICE);
        doubt = DOUBT + DOUBT_RISE * Math.log(dear);
        for (Role role : Role.values()) {
            roleLatency.put(role, new FadingMean(ROLE_GAIN, LATENCY_CALM, LATENCY_MEMORY));
        }
        for (int i = 0; i < classes.size(); i++) {
            usual.add(new QuantileEstimate(
                    CLASS_GAIN, CLASS_QUANTILE, classes.get(i).aim() / 8.0));
            firstTries.add(new FirstTryPatience(GIVE_UP_MARGIN));
            classOrder.add(i);
            mostWorth = Math.max(mostWorth, classes.get(i).worth());
        }
        classOrder.sort((a, b) -> Double.compare(worthByAim(b), worthByAim(a)));
    }

    private double worthByAim(int cls) {
        return settings.classes().get(cls).worth() / settings.classes().get(cls).aim();
    }

    /** Takes one event at the caller's time and carries its decisions out on {@code actions}. */
    public void handle(long time, Event event, Actions actions) {
        now = time;
        act = actions;
        belief = belief();
        if (event instanceof Request r) {
            onRequest(r);
        } else if (event instanceof Outcome o) {
            onOutcome(o);
        } else if (event instanceof ProbeResult p) {
            onProbe(p);
        } else if (event instanceof Membership m) {
            onMembership(m);
        } else if (event instanceof Timer t) {
            onTimer(t.ref());
        } else if (event instanceof Gone g) {
            close(open.get(g.id()));
        } else {
            close(open.get(((Started) event).id()));
        }
    }

    private void onRequest(Request r) {
        RequestClass kind = settings.classes().get(r.cls());
        // Guards against a group for each number that clients make up: one without members is not kept.
        Group g = groups.getOrDefault(r.group(), new Group(r.group(), usual.size()));
        Pending p = new Pending(r, kind, g, tokenOf(r, kind, g), firstAsked(r, kind));
        open.put(r.id(), p);
        resends = Math.min(RESEND_MAX, resends + RESEND_EARN);
        probeCredit = Math.min(PROBE_MAX, probeCredit + probeEarn);
        p.group.waiting.get(r.cls()).addFirst(p);
        settle(p.group);
    }

    private void onOutcome(Outcome o) {
        Pending p = open.get(o.id());
        if (p == null || p.at == null || !p.at.id.equals(o.server()) || o.attempt() != p.attempts - 1) {
            return;
        }
        Server s = p.at;
        p.at = null;
        p.group.out.remove(o.id());
        s.inFlight--;
        learn(s, p, o);
        if (!o.result().provesNotRun() && o.result() != Result.OK && p.ranAt == null) {
            p.ranAt = s;
            p.ranSince = p.sentAt;
        }
        if (o.closed() || p.closed) {
            close(p);
        } else {
            retry(p, s, o.result());
        }
        settle(p.group);
    }

    private void onProbe(ProbeResult p) {
        Server s = servers.get(p.server());
        if (s == null) {
            return;
        }
        s.probeOut = false;
        if (p.result() == Result.OK || p.result() == Result.FULL) {
            heard(s);
        } else if (p.result() == Result.UNREACHABLE) {
            unreachable(s, p.duration());
        } else if (p.result() == Result.STALE || p.result() == Result.DROPPED) {
            s.probedAt = now - ASK_AGAIN;
        } else {
            strike(s);
        }
        hearReport(s, p.report());
        settle(s.group);
    }

    private void onMembership(Membership m) {
        if (m.kind() == ListKind.UNAVAILABLE) {
            act.arm(jitter(discoveryBackoff), WATCH_TIMER);
            discoveryBackoff = Math.min(8 * DISCOVERY_BACKOFF, discoveryBackoff * 2);
            return;
        }
        if (m.kind() == ListKind.RESTORED && settings.asksDiscovery()) {
            act.arm(1 + random.nextLong(100 * MS), WATCH_TIMER);
        } else {
            discoveryBackoff = DISCOVERY_BACKOFF;
        }
        if (m.kind() != ListKind.CHANGES) {
            servers.values().forEach(s -> unlist(s, true));
        }
        m.members().forEach(this::hearListed);
        forgetGone();
        groups.values().forEach(this::settle);
    }

    /** Guards against keeping, for good, each server there ever was. */
    private void forgetGone() {
        for (Group g : groups.values()) {
            g.members.removeIf(this::isLongGone);
            g.primary = g.members.contains(g.primary) ? g.primary : null;
        }
        servers.values().removeIf(s -> !s.group.members.contains(s));
        groups.values().removeIf(g -> g.members.isEmpty() && g.out.isEmpty());
    }

    private boolean isLongGone(Server s) {
        long lastKnown = Math.max(s.unlistedAt, s.heardAt);
        return !s.listed && s.inFlight == 0 && now - lastKnown > GONE_MEMORY;
    }

    /** Servers and groups that are kept, listed or not. */
    int known() {
        return servers.size() + groups.size();
    }

    private void onTimer(long ref) {
        if (ref == WATCH_TIMER) {
            act.watch();
        } else if (groups.containsKey(ref - 1)) {
            Group g = groups.get(ref - 1);
            g.dueAt = now >= g.dueAt ? Long.MAX_VALUE : g.dueAt;
            settle(g);
        }
    }

    private Group group(long id) {
        return groups.computeIfAbsent(id, k -> new Group(k, settings.classes().size()));
    }

    private void unlist(Server s, boolean gone) {
        s.unlistedAt = gone && s.listed ? now : s.unlistedAt;
        s.listed = !gone;
    }

    private void hearListed(Member m) {
        Server s = servers.get(m.server());
        if (s == null) {
            s = new Server(m, group(m.group()), new DecayingCount(STRIKE_MEMORY));
            s.latency = LATENCY_CALM;
            s.limit = Math.max(1, LIMIT_START / settings.instances());
            servers.put(s.id, s);
            s.group.members.add(s);
            s.group.members.sort((a, b) -> a.id.compareTo(b.id));
        }
        unlist(s, m.standing() == Standing.GONE);
        s.draining = m.standing() == Standing.DRAINING || s.draining && !s.listed;
        if (m.startedAt() > s.startedAt) {
            startedAnew(s, m.startedAt(), " started anew");
        }
        // The list's role is a hint: anything heard from the server itself is newer.
        if (settings.listRole() != ListRole.OFF && m.role() == Role.PRIMARY && s.role == Role.UNKNOWN) {
            hearRole(s, Role.PRIMARY, Long.MIN_VALUE + 1);
        }
    }

    /** One path for all evidence of a position: it never falls. */
    private void hearPosition(Server s, long position) {
        if (position > s.position) {
            s.position = position;
            s.positionAt = now;
        }
    }

    /**
     * One path for all evidence of a role; the newest wins. A primary's position is the present, so a
     * report's position dates a claim to be primary, and a later claim to be replica must lie past it.
     */
    private void hearRole(Server s, Role role, long asOf) {
        if (role == Role.UNKNOWN || asOf < s.roleAsOf) {
            return;
        }
        s.role = role;
        s.roleAsOf = asOf;
        Server before = s.group.primary;
        Server best = null;
        for (Server m : s.group.members) {
            best = m.role == Role.PRIMARY && (best == null || m.roleAsOf >= best.roleAsOf) ? m : best;
        }
        s.group.primary = best;
        if (best != before && (best == null || before != null)) {
            act.log("group " + s.group.id + " primary " + (best == null ? "unknown" : best.id));
        }
    }

    /** A report counts everybody's work: what waits there, or what is held beyond a few in work. */
    private void hearReport(Server s, Report r) {
        if (r == null) {
            return;
        }
        s.use = Double.isNaN(r.utilization()) ? 0 : r.utilization();
        double waiting = Double.isNaN(r.backlog()) ? r.inFlight() - PARALLEL : r.backlog();
        reportsLoad |= !Double.isNaN(waiting) || !Double.isNaN(r.utilization());
        s.queue = Double.isNaN(waiting) ? 0 : Math.max(0, waiting);
        s.reportAt = now;
        if (warmth(s) >= 1) {
            fleetUse += USE_GAIN * (s.use - fleetUse);
        }
        if (r.position() != NONE) {
            hearPosition(s, r.position());
            hearRole(s, r.role(), r.position());
            if (s.role == Role.REPLICA && now - s.position > LATE_LAG) {
                cut(s);
            }
        }
    }

    private void heard(Server s) {
        s.heardAt = now;
        s.silentSince = NONE;
        if (s.down) {
            // Guards against a restart that the list has not told yet: what refused connections and now
            // answers has a fresh process. It hurts where a connection limit was the cause: a slow start.
            s.down = false;
            startedAnew(s, now, " answers again");
        }
    }

    private void learn(Server s, Pending p, Outcome o) {
        boolean commit = p.kind.need() == Need.WRITE && o.result() == Result.OK;
        if (o.position() != NONE && (o.role() == Role.PRIMARY || o.role() == Role.REPLICA && !commit)) {
            hearPosition(s, o.position());
        }
        hearRole(s, o.role(), now - 5 * MS);
        hearReport(s, o.report());
        if (commit) {
            remember(p, o.position());
        }
        if (TIMED.contains(o.result())) {
            roleLatency.get(s.role).learn(o.duration() / usual(p), now);
        }
        if (o.result() == Result.OK) {
            sample(s, p, o.duration());
            readmit(s, p);
        } else if (FAILURES.contains(o.result())) {
            failed(s);
        }
        if (o.result() == Result.MISS) {
            s.missedAt = now;
        } else if (o.result() == Result.FULL || o.result() == Result.TIMEOUT) {
            cut(s);
        } else if (o.result() == Result.UNREACHABLE) {
            unreachable(s, o.duration());
        }
        if (LIFE.contains(o.result())) {
            heard(s);
        }
    }

    private void sample(Server s, Pending p, long duration) {
        usual.get(p.request.cls()).learn(duration);
        s.latency = latency(s) + LATENCY_GAIN * (duration / usual(p) - latency(s));
        s.latencyAt = now;
        if (duration > LATE_SHARE * p.kind.aim()) {
            cut(s);
        } else {
            s.limit += Math.min(LIMIT_RISE * s.limit, 1 / s.limit);
        }
    }

    private void cut(Server s) {
        s.limit = Math.max(Math.min(1, LIMIT_MIN / settings.instances()), s.limit * LIMIT_CUT);
    }

    private double usual(Pending p) {
        return usual.get(p.request.cls()).value();
    }

    private double latency(Server s) {
        if (s.inFlight > 0) {
            return s.latency;
        }
        double otherwise = s.role == Role.REPLICA ? roleLatency(s.role) : LATENCY_CALM;
        return otherwise + left(s.latencyAt, LATENCY_MEMORY) * (s.latency - otherwise);
    }

    /**
     * What members of a role take lately on the whole. With many gateways each meets one of them every few
     * seconds, so only all together tell it of a rush in time. It may hurt where some groups are slow alone.
     */
    private double roleLatency(Role role) {
        return roleLatency.get(role).at(now);
    }

    /** Usual durations that an answer takes there: as its answers have it, or as its report does. */
    private double expected(Server s) {
        double busy = s.use * s.use * s.use + s.queue * QUEUE_STEP;
        return Math.max(latency(s), LATENCY_CALM + left(s.reportAt, QUEUE_MEMORY) * busy);
    }

    /** How much is left of what was learnt then, from 1 down to 0. */
    private double left(long then, long memory) {
        return Math.max(0, 1 - (now - then) / (double) memory);
    }

    private void remember(Pending p, long commit) {
        if (settings.tokensCarried() || p.request.session() == NONE || commit == NONE) {
            return;
        }
        p.group.tokens.remember(p.request.session(), commit);
    }

    /** The token a read owes at its arrival; a bounded read's moves with time, see {@link #owed}. */
    private long tokenOf(Request r, RequestClass kind, Group g) {
        if (kind.need() != Need.SESSION) {
            return Long.MIN_VALUE;
        }
        if (settings.tokensCarried()) {
            return r.tokenAge() > 0 ? now - r.tokenAge() : Long.MIN_VALUE;
        }
        return g.tokens.get(r.session());
    }

    private long owed(Pending p) {
        return p.kind.need() == Need.BOUNDED ? now - p.kind.bound() : p.token;
    }

    /** Known past the token, by the position it has told. */
    private boolean freshEnough(Server s, Pending p) {
        long owed = owed(p);
        return owed == Long.MIN_VALUE || s.position >= owed;
    }

    /**
     * Where replicas check reads themselves: one is taken to be as far behind as when last heard, or level
     * if never. A miss costs a round trip, tells the position, and sends the read back to the wait.
     */
    private boolean perhapsFreshEnough(Server s, Pending p) {
        boolean close = s.positionAt - s.position < CLOSE_BEHIND;
        long gained = Math.max(close ? CLOSE_BEHIND : 0, now - s.positionAt);
        boolean perhaps = s.position == Long.MIN_VALUE || owed(p) - s.position < gained;
        return perhaps && now - s.missedAt > MISS_REST;
    }

    /** Draws among the group's replicas that pass, each by its weight. */
    private Server draw(Pending p, Predicate<Server> passes) {
        Server pick = null;
        double total = 0;
        for (Server s : p.group.members) {
            if (s != p.group.primary && s.role != Role.PRIMARY && passes.test(s)) {
                double weight = weight(s) * (p.tried.contains(s) ? 0.01 : 1);
                total += weight;
                pick = random.nextDouble() * total < weight ? s : pick;
            }
        }
        return pick;
    }

    private double weight(Server s) {
        double cost = expected(s) * (s.inFlight + 1) / warmth(s);
        if (s.zone != settings.zone()) {
            cost *= 1 + ZONE_AVERSION * settings.prices().crossZone();
        }
        double sound = (1 - s.failures) / (1 + strikes(s));
        return Math.pow(cost, -DRAW_POWER) * sound * sound + 1e-12;
    }

    private Server readTarget(Pending p) {
        Server s = draw(p, m -> freshEnough(m, p) && usable(m, p));
        if (s == null && settings.whenBehind() != WhenBehind.SERVE) {
            s = draw(p, m -> perhapsFreshEnough(m, p) && usable(m, p));
        }
        return s == null && (bereft(p.group) || spare(p)) ? primaryTarget(p) : s;
    }

    /**
     * Exception to the design: where replicas known past its token are only full, a read (which so does not
     * lag) may use a primary that its own fresh report shows idle, with no write out. It guards against few
     * crowded replicas beside an idle primary; it may hurt when many gateways read the same report. Where
     * they are many and no report tells load, primaries on the whole must answer as in calm.
     */
    private boolean spare(Pending p) {
        Server primary = p.group.primary;
        return primary != null
                && (reportsLoad || !crowd() || roleLatency(Role.PRIMARY) <= LATENCY_CALM)
                && showsFree(primary, SPARE_USE)
                && full(p)
                && p.group.out.values().stream().noneMatch(o -> o.at == primary && needsPrimary(o));
    }

    /** Every sound replica was heard lately, and one at least is past the token. */
    private boolean full(Pending p) {
        boolean past = false;
        for (Server s : p.group.members) {
            if (s != p.group.primary && s.role != Role.PRIMARY && sound(s)) {
                if (!evident(s)) {
                    return false;
                }
                past |= freshEnough(s, p);
            }
        }
        return past;
    }

    /**
     * Exception to the design: with every replica gone, failing or long silent, nobody else can answer, so
     * reads may use the primary until a replica answers again. May hurt where the primary has no room.
     */
    private boolean bereft(Group g) {
        for (Server s : g.members) {
            if (s != g.primary && listed(s) && s.outUntil == NONE && !silent(s, LOST_AFTER)) {
                return false;
            }
        }
        return true;
    }

    /** After any news of a group: what can go goes, what must be known is asked, the next look is armed. */
    private void settle(Group g) {
        checkWork(g);
        for (boolean onTime : new boolean[] {true, false}) {
            for (int cls : classOrder) {
                drain(g, cls, onTime);
            }
        }
        ask(g);
        schedule(g);
    }

    /**
     * What can still make its aim goes first, the worthiest class first, then what is late. In a class the
     * newest goes first: in overload the oldest would each be served just too late.
     */
    private void drain(Group g, int cls, boolean onTime) {
        boolean full = false;
        Iterator<Pending> it = g.waiting.get(cls).iterator();
        while (it.hasNext()) {
            Pending p = it.next();
            if (p.closed) {
                it.remove();
            } else if (now + calm(p) > useful(p) || unknown(g)) {
                it.remove();
                giveUp(p);
            } else if (!full && onTime == now + calm(p) < p.askedAt + p.kind.aim()) {
                Server s = needsPrimary(p) ? primaryTarget(p) : readTarget(p);
                if (s != null) {
                    it.remove();
                    send(p, s);
                } else {
                    full = needsPrimary(p);
                }
            }
        }
    }

    private double calm(Pending p) {
        return usual(p) * LATENCY_CALM;
    }

    /** The last moment at which an answer is worth anything. */
    private long useful(Pending p) {
        long last = p.request.expires() - GIVE_UP_MARGIN;
        return p.kind.lateWorth() > 0 ? last : Math.min(last, p.askedAt + p.kind.aim());
    }

    /**
     * First tries of a class bring the same time, the last ones what is left of the first one's deadline; so
     * a time that is not the usual one tells when the client first asked, and its aim counts from then.
     * Guards against work for retries that can only come too late; it may hurt where patience differs.
     */
    private long firstAsked(Request r, RequestClass kind) {
        long left = r.expires() - now;
        if (left < IMPATIENT * kind.aim()) {
            return now;
        }
        boolean first = firstTries.get(r.cls()).isFirstTry(left);
        return first ? now : Math.min(now, r.expires() - kind.deadline());
    }

    /** Load shedding: no member gets what it can't be expected to answer in time; late work only if calm. */
    private boolean inTime(Server s, Pending p) {
        long aim = p.kind.aim();
        double done = now + usual(p) * expected(s);
        return !crowded(s, p) && done < Math.min(useful(p), Math.max(p.askedAt + aim, now + aim / 2));
    }

    /**
     * A replica busy and behind takes only what is worth it. With more gateways than it bears requests, their
     * own limits can't keep its log's thread from starving. It may hurt where lag has another cause.
     */
    private boolean crowded(Server s, Pending p) {
        return crowd()
                && now - s.reportAt <= FRESH
                && s.use > FULL_USE
                && s.role == Role.REPLICA
                && s.positionAt - s.position > CROWDED_LAG * p.kind.worth() / mostWorth;
    }

    /** More gateways than a member bears requests: their own limits, one request at least, bind nobody. */
    private boolean crowd() {
        return settings.instances() > LIMIT_START;
    }

    /** No member is known, as after a restart with an empty list: another gateway may know one. */
    private boolean unknown(Group g) {
        for (Server s : g.members) {
            if (listed(s)) {
                return false;
            }
        }
        return true;
    }

    private void giveUp(Pending p) {
        if (mayRefuse(p)) {
            long away = unknown(p.group) ? ASK_AGAIN : p.kind.aim() * 2;
            long after = Math.min(settings.limits().maxRetryAfter(), jitter(away));
            act.refuse(p.request.id(), settings.limits().retryAfter() ? after : 0);
        } else {
            act.fail(p.request.id());
        }
        close(p);
    }

    /** The request has its final answer; it is kept only while an attempt is still out. */
    private void close(Pending p) {
        if (p == null) {
            return;
        }
        p.closed = true;
        p.group.scout = p.group.scout == p ? null : p.group.scout;
        if (p.at == null) {
            open.remove(p.request.id());
        }
    }

    /**
     * Evidence is fetched when something waits and nobody who could serve it was heard lately: one replica at
     * a time, or all who may be the primary. Probes are priced, so they are earned by requests.
     */
    private void ask(Group g) {
        if (!settings.limits().probes()) {
            return;
        }
        for (ArrayDeque<Pending> queue : g.waiting) {
            for (Pending p : queue) {
                if (needsPrimary(p)) {
                    askPrimary(g);
                    break;
                }
                askReplica(p);
            }
        }
    }

    private void askPrimary(Group g) {
        boolean doubted = !sound(g.primary) || silent(g.primary, ASK_WAIT);
        for (Server s : g.members) {
            if ((doubted || s == g.primary && !evident(s)) && askable(s)) {
                probe(s);
            }
        }
    }

    private void askReplica(Pending p) {
        Server primary = p.group.primary;
        for (Server s : p.group.members) {
            boolean serves = sound(s) && evident(s) && freshEnough(s, p) && inTime(s, p);
            if (s != primary && listed(s) && (serves || s.probeOut && !silent(s, ASK_WAIT))) {
                return;
            }
        }
        Server pick = draw(
                p,
                s -> askable(s)
                        && (reportsLoad || !evident(s) || !freshEnough(s, p))
                        && (now - s.probedAt > ASK_FAR * dear
                                || !silent(s, ASK_WAIT)
                                        && (freshEnough(s, p)
                                                || owed(p) - s.position < ASK_REACH + now - s.positionAt)));
        if (pick != null) {
            probe(pick);
        } else if (primary != null && now - primary.reportAt > FRESH && askable(primary) && full(p)) {
            probe(primary);
        }
    }

    private boolean askable(Server s) {
        return listed(s) && !s.probeOut && now - s.probedAt >= ASK_AGAIN * dear && probeCredit >= 1;
    }

    private void probe(Server s) {
        probeCredit--;
        s.probeOut = true;
        s.probedAt = now;
        s.silentSince = s.silentSince == NONE ? now : s.silentSince;
        act.probe(s.id);
    }

    /** Arms for the next moment at which something is due, unless an earlier look is armed already. */
    private void schedule(Group g) {
        long due = g.waiting.stream().allMatch(ArrayDeque::isEmpty) ? Long.MAX_VALUE : now + ASK_WAIT;
        for (Pending p : g.out.values()) {
            due = Math.min(due, p.checkAt);
        }
        if (due < g.dueAt) {
            g.dueAt = Math.max(due, now + MS);
            act.arm(g.dueAt - now, g.id + 1);
        }
    }

    private long jitter(long span) {
        return (long) (span * (0.8 + 0.4 * random.nextDouble()));
    }

    private boolean needsPrimary(Pending p) {
        return p.kind.need() == Need.WRITE || p.kind.need() == Need.FRESH;
    }

    /** The primary; while none is known, one write at a time tries each other member once. */
    private Server primaryTarget(Pending p) {
        Group g = p.group;
        if (g.primary != null) {
            return usable(g.primary, p) ? g.primary : null;
        }
        if (g.scout != null && g.scout != p || p.kind.need() != Need.WRITE) {
            return null;
        }
        for (Server s : g.members) {
            boolean open = s.role == Role.UNKNOWN || now - s.roleAsOf > ROLE_MEMORY;
            if (open && usable(s, p) && !p.tried.contains(s)) {
                g.scout = p;
                return s;
            }
        }
        return null;
    }

    private void send(Pending p, Server s) {
        p.attempts++;
        p.at = s;
        p.sentAt = now;
        p.checkAt = p.kind.repeat() == Repeat.SAFE && settings.limits().probes()
                ? now + (long) (doubt * usual(p) * expected(s))
                : Long.MAX_VALUE;
        p.group.out.put(p.request.id(), p);
        s.inFlight++;
        s.sentAt = now;
        s.coldCredit--;
        sends.add(now);
        if (s.outUntil != NONE) {
            leaveOut(s);
        }
        act.send(p.request.id(), s.id, NONE);
    }

    private boolean mayRefuse(Pending p) {
        return p.kind.repeat() == Repeat.SAFE
                || p.ranAt == null
                || p.kind.repeat() == Repeat.KEYED && p.kind.scope() == Scope.ALL;
    }

    private boolean repeatAllowedAt(Pending p, Server s) {
        return p.ranAt == null
                || p.kind.repeat() == Repeat.SAFE
                || p.kind.repeat() == Repeat.KEYED
                        && now - p.ranSince < p.kind.keyTtl()
                        && (p.kind.scope() != Scope.ZONE || s.zone == p.ranAt.zone);
    }

    private boolean mayResend(Pending p) {
        return p.attempts < settings.limits().maxAttempts()
                && now < p.request.expires() - GIVE_UP_MARGIN
                && repeatAllowedAt(p, p.ranAt);
    }

    private void retry(Pending p, Server s, Result result) {
        p.tried.add(s);
        p.group.scout = p.group.scout == p ? null : p.group.scout;
        int price = result == Result.MISS || result == Result.STALE ? 0 : 1;
        if (mayResend(p) && resends >= price) {
            resends -= price;
            p.group.waiting.get(p.request.cls()).addFirst(p);
        } else {
            giveUp(p);
        }
    }

    /** Long work makes its member be asked; if that is silent, or free, safe work is withdrawn. */
    private void checkWork(Group g) {
        for (Pending p : g.out.values()) {
            if (p.checkAt > now || p.closed) {
                continue;
            }
            p.checkAt = now + ASK_WAIT;
            if (!silent(p.at, SILENCE) && !lost(p)) {
                if (now - p.at.heardAt > SILENCE && askable(p.at)) {
                    probe(p.at);
                }
            } else if (settings.limits().cancels() && mayResend(p) && resends >= 1) {
                p.checkAt = Long.MAX_VALUE;
                act.cancel(p.request.id(), p.attempts - 1);
            }
        }
    }

    /** Much longer out than is expected at a member that answers and shows no load: likely lost. */
    private boolean lost(Pending p) {
        double expected = Math.max(expected(p.at), roleLatency(p.at.role));
        boolean overdue = now - p.sentAt > OVERDUE * usual(p) * expected;
        return overdue && now + calm(p) < useful(p) && showsFree(p.at, FULL_USE);
    }

    private boolean showsFree(Server s, double use) {
        return now - s.reportAt <= FRESH && s.queue == 0 && s.use < use;
    }

    private boolean listed(Server s) {
        return !s.draining && (s.listed || settings.rules().onlyDrainingBinds());
    }

    /** Asked for so long and not heard since, whatever the cause: a stall, a hang, a cut, a dead process. */
    private boolean silent(Server s, long span) {
        return settings.limits().probes() && s.silentSince != NONE && now - s.silentSince > span;
    }

    private boolean sound(Server s) {
        return s != null && listed(s) && s.outUntil == NONE && !silent(s, SILENCE);
    }

    /**
     * The more gateways share the work, the longer each is without news of a member that is well: a span that
     * suits few makes many ask before nearly every read. It ends where the sends are no longer counted. Not
     * for primaries: what is written to one that has stopped can't be withdrawn, and waits for its successor.
     */
    private long belief() {
        return Math.max(FRESH, (long)
                Math.min(RATE_SPAN, BELIEF_GAPS * servers.size() * RATE_SPAN / Math.max(1, recentSends())));
    }

    /**
     * Heard lately, so it can be believed to answer; a member never heard is taken at its listing. It guards
     * against all silences since; it costs a probe and a round trip where little is heard. With no probe
     * earned nobody can be asked, and work that waits for news of members is lost for certain.
     */
    private boolean evident(Server s) {
        long span = s == s.group.primary ? (long) Math.min(RATE_SPAN, FRESH * dear) : belief;
        return !settings.limits().probes()
                || !silent(s, ASK_WAIT)
                        && (now - s.heardAt <= span || s.heardAt == RouterState.NEVER || probeCredit < 1);
    }

    private boolean usable(Server s, Pending p) {
        boolean trial = s.outUntil <= now && s.inFlight == 0;
        return listed(s)
                && (s.outUntil == NONE || trial)
                && evident(s)
                && repeatAllowedAt(p, s)
                && hasRoom(s, p)
                && inTime(s, p);
    }

    /**
     * The limit follows the answers' lateness; under one request it spaces the sends. It guards against the
     * queues of all gateways together, and any slowing. It may hurt when a class is slow by nature.
     */
    private boolean hasRoom(Server s, Pending p) {
        double warmth = warmth(s);
        return s.inFlight < Math.max(1, s.limit * warmth * warmth)
                && (warmth >= 1 || coldBudgetLeft(s))
                && (s.limit >= 1 || now - s.sentAt >= usual(p) * latency(s) / s.limit);
    }

    private void unreachable(Server s, long duration) {
        // Refused at once: the process is down. Not connected in time: cut off or at its limit.
        s.down |= duration < settings.limits().connectTimeout() * 0.8;
        s.silentSince = Math.min(s.silentSince == NONE ? now : s.silentSince, now - LOST_AFTER - 1);
        if (!settings.limits().probes()) {
            s.failures = 1;
            failed(s);
        }
    }

    /**
     * Outlier ejection: a member that fails its work is left out until a trial after a backoff succeeds. It
     * may hurt when all members fail for one outside cause: each then gets only trials.
     */
    private void failed(Server s) {
        s.failures += FAILURE_GAIN * (1 - s.failures);
        if (s.failures > EJECT_FAILURES && s.outUntil <= now) {
            if (s.outUntil == NONE) {
                act.log(s.id + " ejected: fails");
                s.outSince = now;
            }
            leaveOut(s);
        }
    }

    private void leaveOut(Server s) {
        strike(s);
        s.outUntil = now + jitter((long) Math.min(EJECT_MAX, EJECT_FIRST * Math.pow(2, strikes(s) - 1)));
    }

    /** What was sent before a failing member's ejection proves nothing: only a trial readmits it. */
    private void readmit(Server s, Pending p) {
        s.failures *= 1 - FAILURE_GAIN;
        if (s.outUntil != NONE && (p.sentAt > s.outSince || s.failures < EJECT_FAILURES / 2)) {
            act.log(s.id + " readmitted");
            s.outUntil = NONE;
            s.failures = Math.min(s.failures, EJECT_FAILURES / 2);
        }
    }

    /** What has failed or been silent again and again is drawn less and left out longer than once. */
    private void strike(Server s) {
        s.strikes.add(now);
    }

    private double strikes(Server s) {
        return s.strikes.at(now);
    }

    /** The share of its capacity that a member has for certain, by the settings' worst case. */
    private double warmth(Server s) {
        long ramp = settings.rules().rampTime();
        if (s.startedAt <= 0 || now - s.startedAt >= ramp) {
            return 1;
        }
        double from = settings.rules().startCapacity();
        return from + (1 - from) * Math.max(0, now - s.startedAt) / ramp;
    }

    /** The start of a process; each gateway's budget begins at a random point: not all send at once. */
    private void startedAnew(Server s, long at, String how) {
        if (now - at < settings.rules().rampTime()) {
            act.log(s.id + how + ", taken as cold");
        }
        s.startedAt = at;
        s.latency = LATENCY_CALM;
        // What an earlier process failed at proves nothing of this one.
        s.failures = 0;
        s.outUntil = NONE;
        s.coldCredit = random.nextDouble();
        s.creditAt = now;
    }

    /**
     * A cold member's credit grows by its part of what the settings allow. What this gateway sends to each
     * member, at their mean use, tells its part of a warm one's capacity, also where a whole group is cold;
     * all gateways doing so keep the sum under the multiple.
     */
    private boolean coldBudgetLeft(Server s) {
        long warm = Math.max(
                1,
                servers.values().stream()
                        .filter(m -> listed(m) && warmth(m) >= 1)
                        .count());
        double capacity = recentSends() * SECOND / RATE_SPAN / warm / Math.max(USE_LEAST, fleetUse);
        double allowed = COLD_SHARE * settings.rules().fallMultiple() * warmth(s) * capacity;
        double rate = Math.max(LIMIT_MIN / settings.instances(), allowed);
        s.coldCredit = Math.min(1.5, s.coldCredit + rate * (now - s.creditAt) / SECOND);
        s.creditAt = now;
        return s.coldCredit >= 1;
    }

    private double recentSends() {
        return sends.at(now);
    }
}
