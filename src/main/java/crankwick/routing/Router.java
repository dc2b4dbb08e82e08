package crankwick.routing;

import crankwick.routing.RouterState.EndpointGroup;
import crankwick.routing.RouterState.EndpointState;
import crankwick.routing.RouterState.PendingRequest;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptOutcome;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.ConsistencyLevel;
import crankwick.routing.api.DeduplicationScope;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdate;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.HealthCheckResult;
import crankwick.routing.api.Idempotency;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.RequestAbandoned;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.ResponseStarted;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoleVisibility;
import crankwick.routing.api.RoutingActions;
import crankwick.routing.api.RoutingEvent;
import crankwick.routing.api.RoutingRequest;
import crankwick.routing.api.RoutingSettings;
import crankwick.routing.api.StaleReadPolicy;
import crankwick.routing.api.TimerFired;
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
public final class Router {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    /**
     * What was heard this recently is believed, or within so many of the mean gaps between two answers of a
     * member to this gateway; a member heard longer ago is asked before it is used, while probes are earned.
     */
    private static final long FRESH = 300 * MS;

    private static final double BELIEF_GAPS = 4;
    /** An asked member silent for so long: is passed over; has safe work withdrawn; counts as lost. */
    private static final long PROBE_WAIT = 25 * MS;

    private static final long SILENCE = 80 * MS;
    private static final long LOST_AFTER = 400 * MS;
    /** A member is asked again after about a report's period; later if silent or far behind a token. */
    private static final long PROBE_AGAIN = 80 * MS;

    private static final long PROBE_FAR = 500 * MS;
    private static final long PROBE_REACH = SECOND;
    /** Probes earned by each request: at most, and as points spent on them; saved up for a start. */
    private static final double PROBE_EARN = 1;

    private static final double PROBE_POINTS = 0.03;
    private static final double PROBE_BUDGET_MAX = 40;
    /**
     * Work that takes this many times what is expected there makes its member be asked, more by the second
     * for each e-fold that probes are dearer: the longest works are exponentially fewer.
     */
    private static final double LONG_RUNNING = 2.5;

    private static final double LONG_RUNNING_RISE = 2;
    /** At this price of probes, in points for one a request, the spans between questions are as stated. */
    private static final double PROBE_PRICE = 0.02;
    /** Work out this many calm durations at a free member is taken for lost. */
    private static final double OVERDUE = 5;
    /** A class's typical duration is held at a low quantile, so that overload hardly lifts it. */
    private static final double CLASS_GAIN = 0.02;

    private static final double CLASS_QUANTILE = 0.3;
    /** A member's latency in typical durations: the mean over that quantile, unless it has shown another. */
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
    private static final long OVERLOADED_LAG = 1_500 * MS;
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
    /** First exclusion, past short pauses; it doubles with each recent fault, and faults fade. */
    private static final long EJECT_FIRST = 400 * MS;

    private static final long EJECT_MAX = 4 * SECOND;
    private static final long FAULT_MEMORY = 10 * SECOND;
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
    private static final double RETRY_EARN = 0.25;

    private static final double RETRY_BUDGET_MAX = 30;
    /** Final answers come this long before the client leaves. */
    private static final long GIVE_UP_MARGIN = 30 * MS;
    /** A client with less of an aim left than this came impatient; it is no later try. */
    private static final double IMPATIENT_SHARE = 0.65;

    private static final long DISCOVERY_BACKOFF = 500 * MS;
    private static final long WATCH_TIMER = 0;
    /** A server that has left the list and was not heard for so long is forgotten. */
    private static final long GONE_MEMORY = 30 * SECOND;
    /** Outcomes that the server itself has given, and those that count against it. */
    private static final Set<AttemptResult> LIFE = EnumSet.of(
            AttemptResult.OK, AttemptResult.ERROR, AttemptResult.REJECTED_OVERLOADED, AttemptResult.INELIGIBLE_REPLICA);
    /** Outcomes that tell how long an answer takes, or has taken at least. */
    private static final Set<AttemptResult> TIMED =
            EnumSet.of(AttemptResult.OK, AttemptResult.TIMEOUT, AttemptResult.CANCELLED);

    private static final Set<AttemptResult> FAILURES = EnumSet.of(
            AttemptResult.ERROR,
            AttemptResult.RESET,
            AttemptResult.REJECTED_OVERLOADED,
            AttemptResult.UNREACHABLE,
            AttemptResult.CONNECTION_LOST_BEFORE_SEND);

    private final RoutingSettings settings;
    private final SplittableRandom random;
    private final Map<String, EndpointState> servers = new LinkedHashMap<>();
    private final Map<Long, EndpointGroup> groups = new LinkedHashMap<>();
    private final Map<Long, PendingRequest> open = new HashMap<>();
    private final List<Integer> classOrder = new ArrayList<>();
    private final List<QuantileEstimate> typicalDurations = new ArrayList<>();
    private final List<DeadlineEstimator> firstTries = new ArrayList<>();
    private final double probeEarn;
    /** How many times dearer than that probes are, 1 at least. */
    private final double probePriceFactor;

    private final double longRunningFactor;
    private double highestWorth;
    private double retryBudget = RETRY_BUDGET_MAX;
    private double probeBudget = PROBE_BUDGET_MAX;
    /** Whether asking a member can tell how busy it is. */
    private boolean reportsLoad;

    private final DecayingCount sends = new DecayingCount(RATE_SPAN);
    private double fleetUse = 1;
    private final Map<Role, FadingMean> roleLatency = new EnumMap<>(Role.class);
    private long discoveryBackoff = DISCOVERY_BACKOFF;
    private long now;
    private long beliefSpan;
    private RoutingActions actions;

    /** Creates a router; the same settings, seed and events give the same actions. */
    public Router(RoutingSettings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        List<RequestClass> classes = settings.requestClasses();
        probeEarn = Math.min(
                PROBE_EARN, PROBE_POINTS / Math.max(1e-9, settings.costs().healthCheck()));
        probePriceFactor = Math.max(1, settings.costs().healthCheck() / PROBE_PRICE);
        longRunningFactor = LONG_RUNNING + LONG_RUNNING_RISE * Math.log(probePriceFactor);
        for (Role role : Role.values()) {
            roleLatency.put(role, new FadingMean(ROLE_GAIN, LATENCY_CALM, LATENCY_MEMORY));
        }
        for (int i = 0; i < classes.size(); i++) {
            typicalDurations.add(new QuantileEstimate(
                    CLASS_GAIN, CLASS_QUANTILE, classes.get(i).latencyObjective() / 8.0));
            firstTries.add(new DeadlineEstimator(GIVE_UP_MARGIN));
            classOrder.add(i);
            highestWorth = Math.max(highestWorth, classes.get(i).priorityWeight());
        }
        classOrder.sort((a, b) -> Double.compare(worthByAim(b), worthByAim(a)));
    }

    private double worthByAim(int classIndex) {
        return settings.requestClasses().get(classIndex).priorityWeight()
                / settings.requestClasses().get(classIndex).latencyObjective();
    }

    /** Takes one event at the caller's time and carries its decisions out on {@code actions}. */
    public void handle(long time, RoutingEvent event, RoutingActions actions) {
        now = time;
        this.actions = actions;
        beliefSpan = beliefSpan();
        if (event instanceof RoutingRequest r) {
            onRequest(r);
        } else if (event instanceof AttemptOutcome o) {
            onOutcome(o);
        } else if (event instanceof HealthCheckResult p) {
            onProbe(p);
        } else if (event instanceof EndpointUpdate m) {
            onMembership(m);
        } else if (event instanceof TimerFired t) {
            onTimer(t.timerId());
        } else if (event instanceof RequestAbandoned g) {
            close(open.get(g.requestId()));
        } else {
            close(open.get(((ResponseStarted) event).requestId()));
        }
    }

    private void onRequest(RoutingRequest r) {
        RequestClass kind = settings.requestClasses().get(r.classIndex());
        // Guards against a group for each number that clients make up: one without members is not kept.
        EndpointGroup g = groups.getOrDefault(r.groupId(), new EndpointGroup(r.groupId(), typicalDurations.size()));
        PendingRequest p = new PendingRequest(r, kind, g, tokenOf(r, kind, g), firstAsked(r, kind));
        open.put(r.requestId(), p);
        retryBudget = Math.min(RETRY_BUDGET_MAX, retryBudget + RETRY_EARN);
        probeBudget = Math.min(PROBE_BUDGET_MAX, probeBudget + probeEarn);
        p.group.waiting.get(r.classIndex()).addFirst(p);
        dispatch(p.group);
    }

    private void onOutcome(AttemptOutcome o) {
        PendingRequest p = open.get(o.requestId());
        EndpointState s = p == null ? null : p.server;
        if (s == null || !s.id.equals(o.endpointId()) || o.attempt() != p.attempts - 1) {
            return;
        }
        p.server = null;
        p.group.outstanding.remove(o.requestId());
        s.inFlight--;
        learnOutcome(s, p, o);
        if (!o.result().provesNotExecuted() && o.result() != AttemptResult.OK && p.mayHaveRunAt == null) {
            p.mayHaveRunAt = s;
            p.mayHaveRunSince = p.sentAt;
        }
        if (o.answered() || p.closed) {
            close(p);
        } else {
            retry(p, s, o.result());
        }
        dispatch(p.group);
    }

    private void onProbe(HealthCheckResult p) {
        EndpointState s = servers.get(p.endpointId());
        if (s == null) {
            return;
        }
        s.probeOut = false;
        if (p.result() == AttemptResult.OK || p.result() == AttemptResult.REJECTED_OVERLOADED) {
            markAlive(s);
        } else if (p.result() == AttemptResult.UNREACHABLE) {
            recordUnreachable(s, p.duration());
        } else if (p.result() == AttemptResult.STALE_CONNECTION
                || p.result() == AttemptResult.CONNECTION_LOST_BEFORE_SEND) {
            s.probedAt = now - PROBE_AGAIN;
        } else {
            s.recentFaults.add(now);
        }
        learnReport(s, p.report());
        dispatch(s.group);
    }

    private void onMembership(EndpointUpdate m) {
        if (m.kind() == EndpointUpdateKind.UNAVAILABLE) {
            actions.scheduleTimer(jitter(discoveryBackoff), WATCH_TIMER);
            discoveryBackoff = Math.min(8 * DISCOVERY_BACKOFF, discoveryBackoff * 2);
            return;
        }
        if (m.kind() == EndpointUpdateKind.RESTORED && settings.pollsDiscovery()) {
            actions.scheduleTimer(1 + random.nextLong(100 * MS), WATCH_TIMER);
        } else {
            discoveryBackoff = DISCOVERY_BACKOFF;
        }
        if (m.kind() != EndpointUpdateKind.INCREMENTAL) {
            servers.values().forEach(s -> s.setListed(false, now));
        }
        m.endpoints().forEach(this::learnListing);
        forgetGone();
        groups.values().forEach(this::dispatch);
    }

    /** Guards against keeping, for good, each server there ever was. */
    private void forgetGone() {
        for (EndpointGroup g : groups.values()) {
            g.members.removeIf(this::isLongGone);
            g.primary = g.members.contains(g.primary) ? g.primary : null;
        }
        servers.values().removeIf(s -> !s.group.members.contains(s));
        groups.values().removeIf(g -> g.members.isEmpty() && g.outstanding.isEmpty());
    }

    private boolean isLongGone(EndpointState s) {
        long lastKnown = Math.max(s.unlistedAt, s.lastHeardAt);
        return !s.listed && s.inFlight == 0 && now - lastKnown > GONE_MEMORY;
    }

    /** Servers and groups that are kept, listed or not. */
    int known() {
        return servers.size() + groups.size();
    }

    private void onTimer(long ref) {
        if (ref == WATCH_TIMER) {
            actions.watchEndpoints();
        } else if (groups.containsKey(ref - 1)) {
            EndpointGroup g = groups.get(ref - 1);
            g.nextLookAt = now >= g.nextLookAt ? Long.MAX_VALUE : g.nextLookAt;
            dispatch(g);
        }
    }

    private EndpointGroup group(long id) {
        return groups.computeIfAbsent(
                id, k -> new EndpointGroup(k, settings.requestClasses().size()));
    }

    private void learnListing(Endpoint m) {
        EndpointState s = servers.get(m.id());
        if (s == null) {
            s = new EndpointState(m, group(m.groupId()), new DecayingCount(FAULT_MEMORY));
            s.latency = LATENCY_CALM;
            s.limit = Math.max(1, LIMIT_START / settings.proxyCount());
            servers.put(s.id, s);
            s.group.members.add(s);
            s.group.members.sort((a, b) -> a.id.compareTo(b.id));
        }
        s.setListed(m.status() != EndpointStatus.REMOVED, now);
        s.draining = m.status() == EndpointStatus.DRAINING || s.draining && !s.listed;
        if (m.startedAt() > s.startedAt) {
            markRestarted(s, m.startedAt(), " started anew");
        }
        // The list's role is a hint: anything heard from the server itself is newer.
        if (settings.roleVisibility() != RoleVisibility.HIDDEN && m.role() == Role.PRIMARY && s.role == Role.UNKNOWN) {
            learnRole(s, Role.PRIMARY, Long.MIN_VALUE + 1);
        }
    }

    /**
     * One path for all evidence of a role; the newest wins. A primary's position is the present, so a
     * report's position dates a claim to be primary, and a later claim to be replica must lie past it.
     */
    private void learnRole(EndpointState s, Role role, long asOf) {
        if (role == Role.UNKNOWN || asOf < s.roleAsOf) {
            return;
        }
        s.role = role;
        s.roleAsOf = asOf;
        EndpointState before = s.group.primary;
        EndpointState best = null;
        for (EndpointState m : s.group.members) {
            best = m.role == Role.PRIMARY && (best == null || m.roleAsOf >= best.roleAsOf) ? m : best;
        }
        s.group.primary = best;
        if (best != before && (best == null || before != null)) {
            actions.log("group " + s.group.id + " primary " + (best == null ? "unknown" : best.id));
        }
    }

    /** A report counts everybody's work: what waits there, or what is held beyond a few in work. */
    private void learnReport(EndpointState s, LoadReport r) {
        if (r == null) {
            return;
        }
        s.utilization = Double.isNaN(r.utilization()) ? 0 : r.utilization();
        double waiting = Double.isNaN(r.queueLength()) ? r.inFlight() - PARALLEL : r.queueLength();
        reportsLoad |= !Double.isNaN(waiting) || !Double.isNaN(r.utilization());
        s.queued = Double.isNaN(waiting) ? 0 : Math.max(0, waiting);
        s.reportAt = now;
        if (warmth(s) >= 1) {
            fleetUse += USE_GAIN * (s.utilization - fleetUse);
        }
        if (r.position() != AbsentValue.NONE) {
            s.learnPosition(r.position(), now);
            learnRole(s, r.role(), r.position());
            if (s.role == Role.REPLICA && now - s.position > LATE_LAG) {
                lowerLimit(s);
            }
        }
    }

    private void markAlive(EndpointState s) {
        s.lastHeardAt = now;
        s.silentSince = AbsentValue.NONE;
        if (s.down) {
            // Guards against a restart that the list has not told yet: what refused connections and now
            // answers has a fresh process. It hurts where a connection limit was the cause: a slow start.
            s.down = false;
            markRestarted(s, now, " answers again");
        }
    }

    private void learnOutcome(EndpointState s, PendingRequest p, AttemptOutcome o) {
        boolean commit = p.kind.consistency() == ConsistencyLevel.WRITE && o.result() == AttemptResult.OK;
        if (o.position() != AbsentValue.NONE && (o.role() == Role.PRIMARY || o.role() == Role.REPLICA && !commit)) {
            s.learnPosition(o.position(), now);
        }
        learnRole(s, o.role(), now - 5 * MS);
        learnReport(s, o.report());
        if (commit) {
            rememberCommit(p, o.position());
        }
        if (TIMED.contains(o.result())) {
            roleLatency.get(s.role).learn(o.duration() / typical(p), now);
        }
        if (o.result() == AttemptResult.OK) {
            learnDuration(s, p, o.duration());
            readmit(s, p);
        } else if (FAILURES.contains(o.result())) {
            recordFailure(s);
        }
        if (o.result() == AttemptResult.INELIGIBLE_REPLICA) {
            s.missedAt = now;
        } else if (o.result() == AttemptResult.REJECTED_OVERLOADED || o.result() == AttemptResult.TIMEOUT) {
            lowerLimit(s);
        } else if (o.result() == AttemptResult.UNREACHABLE) {
            recordUnreachable(s, o.duration());
        }
        if (LIFE.contains(o.result())) {
            markAlive(s);
        }
    }

    private void learnDuration(EndpointState s, PendingRequest p, long duration) {
        typicalDurations.get(p.request.classIndex()).learn(duration);
        s.latency = latency(s) + LATENCY_GAIN * (duration / typical(p) - latency(s));
        s.latencyAt = now;
        if (duration > LATE_SHARE * p.kind.latencyObjective()) {
            lowerLimit(s);
        } else {
            s.limit += Math.min(LIMIT_RISE * s.limit, 1 / s.limit);
        }
    }

    private void lowerLimit(EndpointState s) {
        s.limit = Math.max(Math.min(1, LIMIT_MIN / settings.proxyCount()), s.limit * LIMIT_CUT);
    }

    private double typical(PendingRequest p) {
        return typicalDurations.get(p.request.classIndex()).value();
    }

    private double latency(EndpointState s) {
        if (s.inFlight > 0) {
            return s.latency;
        }
        double otherwise = s.role == Role.REPLICA ? roleLatency(s.role) : LATENCY_CALM;
        return otherwise + remaining(s.latencyAt, LATENCY_MEMORY) * (s.latency - otherwise);
    }

    /**
     * What members of a role take lately on the whole. With many gateways each meets one of them every few
     * seconds, so only all together tell it of a rush in time. It may hurt where some groups are slow alone.
     */
    private double roleLatency(Role role) {
        return roleLatency.get(role).at(now);
    }

    /** Usual durations that an answer takes there: as its answers have it, or as its report does. */
    private double expected(EndpointState s) {
        double busy = s.utilization * s.utilization * s.utilization + s.queued * QUEUE_STEP;
        return Math.max(latency(s), LATENCY_CALM + remaining(s.reportAt, QUEUE_MEMORY) * busy);
    }

    /** How much is left of what was learnt then, from 1 down to 0. */
    private double remaining(long then, long memory) {
        return Math.max(0, 1 - (now - then) / (double) memory);
    }

    private void rememberCommit(PendingRequest p, long commit) {
        if (settings.sessionTokensCarried()
                || p.request.sessionId() == AbsentValue.NONE
                || commit == AbsentValue.NONE) {
            return;
        }
        p.group.tokens.remember(p.request.sessionId(), commit);
    }

    /** The token a read owes at its arrival; a bounded read's moves, see {@link #requiredPosition}. */
    private long tokenOf(RoutingRequest r, RequestClass kind, EndpointGroup g) {
        if (kind.consistency() != ConsistencyLevel.SESSION) {
            return Long.MIN_VALUE;
        }
        if (settings.sessionTokensCarried()) {
            return r.tokenAge() > 0 ? now - r.tokenAge() : Long.MIN_VALUE;
        }
        return g.tokens.get(r.sessionId());
    }

    private long requiredPosition(PendingRequest p) {
        return p.kind.consistency() == ConsistencyLevel.BOUNDED_STALENESS ? now - p.kind.stalenessBound() : p.token;
    }

    /** Known past the token, by the position it has told. */
    private boolean isFreshEnough(EndpointState s, PendingRequest p) {
        long owed = requiredPosition(p);
        return owed == Long.MIN_VALUE || s.position >= owed;
    }

    /**
     * Where replicas check reads themselves: one is taken to be as far behind as when last heard, or level
     * if never. A miss costs a round trip, tells the position, and sends the read back to the wait.
     */
    private boolean mayBeFreshEnough(EndpointState s, PendingRequest p) {
        boolean close = s.positionAt - s.position < CLOSE_BEHIND;
        long gained = Math.max(close ? CLOSE_BEHIND : 0, now - s.positionAt);
        boolean perhaps = s.position == Long.MIN_VALUE || requiredPosition(p) - s.position < gained;
        return perhaps && now - s.missedAt > MISS_REST;
    }

    /** Draws among the group's replicas that pass, each by its weight. */
    private EndpointState draw(PendingRequest p, Predicate<EndpointState> passes) {
        EndpointState pick = null;
        double total = 0;
        for (EndpointState s : p.group.members) {
            if (s != p.group.primary && s.role != Role.PRIMARY && passes.test(s)) {
                double weight = weight(s) * (p.tried.contains(s) ? 0.01 : 1);
                total += weight;
                pick = random.nextDouble() * total < weight ? s : pick;
            }
        }
        return pick;
    }

    private double weight(EndpointState s) {
        double cost = expected(s) * (s.inFlight + 1) / warmth(s);
        if (s.zone != settings.zone()) {
            cost *= 1 + ZONE_AVERSION * settings.costs().crossZone();
        }
        double sound = (1 - s.failures) / (1 + s.recentFaults.at(now));
        return Math.pow(cost, -DRAW_POWER) * sound * sound + 1e-12;
    }

    private EndpointState readTarget(PendingRequest p) {
        EndpointState s = draw(p, m -> isFreshEnough(m, p) && isUsable(m, p));
        if (s == null && settings.staleReadPolicy() != StaleReadPolicy.SERVE) {
            s = draw(p, m -> mayBeFreshEnough(m, p) && isUsable(m, p));
        }
        return s == null && (noReplicaAnswers(p.group) || primaryIsIdle(p)) ? primaryTarget(p) : s;
    }

    /**
     * Exception to the design: where replicas known past its token are only full, a read (which so does not
     * lag) may use a primary that its own fresh report shows idle, with no write out. It guards against few
     * crowded replicas beside an idle primary; it may hurt when many gateways read the same report. Where
     * they are many and no report tells load, primaries on the whole must answer as in calm.
     */
    private boolean primaryIsIdle(PendingRequest p) {
        EndpointState primary = p.group.primary;
        return primary != null
                && (reportsLoad || !isLargeFleet() || roleLatency(Role.PRIMARY) <= LATENCY_CALM)
                && reportsIdle(primary, SPARE_USE)
                && replicasFull(p)
                && p.group.outstanding.values().stream()
                        .filter(o -> o.server == primary)
                        .noneMatch(this::needsPrimary);
    }

    /** Every sound replica was heard lately, and one at least is past the token. */
    private boolean replicasFull(PendingRequest p) {
        boolean past = false;
        for (EndpointState s : p.group.members) {
            if (s != p.group.primary && s.role != Role.PRIMARY && isHealthy(s)) {
                if (!isRecentlyHeard(s)) {
                    return false;
                }
                past |= isFreshEnough(s, p);
            }
        }
        return past;
    }

    /**
     * Exception to the design: with every replica gone, failing or long silent, nobody else can answer, so
     * reads may use the primary until a replica answers again. May hurt where the primary has no room.
     */
    private boolean noReplicaAnswers(EndpointGroup g) {
        for (EndpointState s : g.members) {
            if (s != g.primary && isListed(s) && s.ejectedUntil == AbsentValue.NONE && !isSilent(s, LOST_AFTER)) {
                return false;
            }
        }
        return true;
    }

    /** After any news of a group: what can go goes, what must be known is asked, the next look is armed. */
    private void dispatch(EndpointGroup g) {
        checkAttempts(g);
        for (boolean onTime : new boolean[] {true, false}) {
            for (int classIndex : classOrder) {
                dispatchQueue(g, classIndex, onTime);
            }
        }
        probeForEvidence(g);
        schedule(g);
    }

    /**
     * What can still make its aim goes first, the worthiest class first, then what is late. In a class the
     * newest goes first: in overload the oldest would each be served just too late.
     */
    private void dispatchQueue(EndpointGroup g, int classIndex, boolean onTime) {
        boolean full = false;
        Iterator<PendingRequest> it = g.waiting.get(classIndex).iterator();
        while (it.hasNext()) {
            PendingRequest p = it.next();
            if (p.closed) {
                it.remove();
            } else if (now + calmDuration(p) > lastUsefulAt(p) || hasNoMembers(g)) {
                it.remove();
                giveUp(p);
            } else if (!full && onTime == now + calmDuration(p) < p.askedAt + p.kind.latencyObjective()) {
                EndpointState s = needsPrimary(p) ? primaryTarget(p) : readTarget(p);
                if (s != null) {
                    it.remove();
                    send(p, s);
                } else {
                    full = needsPrimary(p);
                }
            }
        }
    }

    private double calmDuration(PendingRequest p) {
        return typical(p) * LATENCY_CALM;
    }

    /** The last moment at which an answer is worth anything. */
    private long lastUsefulAt(PendingRequest p) {
        long last = p.request.expiresAt() - GIVE_UP_MARGIN;
        return p.kind.lateWeight() > 0 ? last : Math.min(last, p.askedAt + p.kind.latencyObjective());
    }

    /**
     * First tries of a class bring the same time, the last ones what is left of the first one's deadline; so
     * a time that is not the typical one tells when the client first asked, and its aim counts from then.
     * Guards against work for retries that can only come too late; it may hurt where patience differs.
     */
    private long firstAsked(RoutingRequest r, RequestClass kind) {
        long left = r.expiresAt() - now;
        if (left < IMPATIENT_SHARE * kind.latencyObjective()) {
            return now;
        }
        boolean first = firstTries.get(r.classIndex()).isFirstAttempt(left);
        return first ? now : Math.min(now, r.expiresAt() - kind.deadline());
    }

    /** Load shedding: no member gets what it can't be expected to answer in time; late work only if calm. */
    private boolean isInTime(EndpointState s, PendingRequest p) {
        long aim = p.kind.latencyObjective();
        double done = now + typical(p) * expected(s);
        double latest = Math.max(p.askedAt + aim, now + aim / 2);
        return !isOverloaded(s, p) && done < Math.min(lastUsefulAt(p), latest);
    }

    /**
     * A replica busy and behind takes only what is worth it. With more gateways than it bears requests, their
     * own limits can't keep its log's thread from starving. It may hurt where lag has another cause.
     */
    private boolean isOverloaded(EndpointState s, PendingRequest p) {
        return isLargeFleet()
                && now - s.reportAt <= FRESH
                && s.utilization > FULL_USE
                && s.role == Role.REPLICA
                && s.positionAt - s.position > OVERLOADED_LAG * p.kind.priorityWeight() / highestWorth;
    }

    /** More gateways than a member bears requests: their own limits, one request at least, bind nobody. */
    private boolean isLargeFleet() {
        return settings.proxyCount() > LIMIT_START;
    }

    /** No member is known, as after a restart with an empty list: another gateway may know one. */
    private boolean hasNoMembers(EndpointGroup g) {
        for (EndpointState s : g.members) {
            if (isListed(s)) {
                return false;
            }
        }
        return true;
    }

    private void giveUp(PendingRequest p) {
        if (mayRefuse(p)) {
            long away = hasNoMembers(p.group) ? PROBE_AGAIN : p.kind.latencyObjective() * 2;
            long after = Math.min(settings.limits().maxRetryAfter(), jitter(away));
            actions.reject(p.request.requestId(), settings.limits().retryAfterSupported() ? after : 0);
        } else {
            actions.fail(p.request.requestId());
        }
        close(p);
    }

    /** The request has its final answer; it is kept only while an attempt is still out. */
    private void close(PendingRequest p) {
        if (p == null) {
            return;
        }
        p.closed = true;
        p.group.primarySeeker = p.group.primarySeeker == p ? null : p.group.primarySeeker;
        if (p.server == null) {
            open.remove(p.request.requestId());
        }
    }

    /**
     * Evidence is fetched when something waits and nobody who could serve it was heard lately: one replica at
     * a time, or all who may be the primary. Probes are priced, so they are earned by requests.
     */
    private void probeForEvidence(EndpointGroup g) {
        if (!settings.limits().healthChecksAllowed()) {
            return;
        }
        for (ArrayDeque<PendingRequest> queue : g.waiting) {
            for (PendingRequest p : queue) {
                if (needsPrimary(p)) {
                    probePrimary(g);
                    break;
                }
                probeReplica(p);
            }
        }
    }

    private void probePrimary(EndpointGroup g) {
        boolean doubted = !isHealthy(g.primary) || isSilent(g.primary, PROBE_WAIT);
        for (EndpointState s : g.members) {
            if ((doubted || s == g.primary && !isRecentlyHeard(s)) && mayProbe(s)) {
                probe(s);
            }
        }
    }

    private void probeReplica(PendingRequest p) {
        EndpointState primary = p.group.primary;
        for (EndpointState s : p.group.members) {
            boolean serves = isHealthy(s) && isRecentlyHeard(s) && isFreshEnough(s, p) && isInTime(s, p);
            if (s != primary && isListed(s) && (serves || s.probeOut && !isSilent(s, PROBE_WAIT))) {
                return;
            }
        }
        EndpointState pick = draw(p, s -> mayProbe(s) && isWorthProbing(s, p));
        boolean reportIsOld = primary != null && now - primary.reportAt > FRESH;
        if (pick != null) {
            probe(pick);
        } else if (reportIsOld && mayProbe(primary) && replicasFull(p)) {
            probe(primary);
        }
    }

    /** Its answer may let the read go, and it is not silent or far behind, unless last probed long ago. */
    private boolean isWorthProbing(EndpointState s, PendingRequest p) {
        boolean mayTell = reportsLoad || !isRecentlyHeard(s) || !isFreshEnough(s, p);
        if (!mayTell || now - s.probedAt > PROBE_FAR * probePriceFactor) {
            return mayTell;
        }
        long reach = PROBE_REACH + now - s.positionAt;
        return !isSilent(s, PROBE_WAIT) && (isFreshEnough(s, p) || requiredPosition(p) - s.position < reach);
    }

    private boolean mayProbe(EndpointState s) {
        boolean rested = now - s.probedAt >= PROBE_AGAIN * probePriceFactor;
        return isListed(s) && !s.probeOut && rested && probeBudget >= 1;
    }

    private void probe(EndpointState s) {
        probeBudget--;
        s.probeOut = true;
        s.probedAt = now;
        s.silentSince = s.silentSince == AbsentValue.NONE ? now : s.silentSince;
        actions.checkHealth(s.id);
    }

    /** Arms for the next moment at which something is due, unless an earlier look is armed already. */
    private void schedule(EndpointGroup g) {
        long due = g.waiting.stream().allMatch(ArrayDeque::isEmpty) ? Long.MAX_VALUE : now + PROBE_WAIT;
        for (PendingRequest p : g.outstanding.values()) {
            due = Math.min(due, p.checkAt);
        }
        if (due < g.nextLookAt) {
            g.nextLookAt = Math.max(due, now + MS);
            actions.scheduleTimer(g.nextLookAt - now, g.id + 1);
        }
    }

    private long jitter(long span) {
        return (long) (span * (0.8 + 0.4 * random.nextDouble()));
    }

    private boolean needsPrimary(PendingRequest p) {
        return p.kind.consistency() == ConsistencyLevel.WRITE || p.kind.consistency() == ConsistencyLevel.STRONG;
    }

    /** The primary; while none is known, one write at a time tries each other member once. */
    private EndpointState primaryTarget(PendingRequest p) {
        EndpointGroup g = p.group;
        if (g.primary != null) {
            return isUsable(g.primary, p) ? g.primary : null;
        }
        if (g.primarySeeker != null && g.primarySeeker != p || p.kind.consistency() != ConsistencyLevel.WRITE) {
            return null;
        }
        for (EndpointState s : g.members) {
            boolean open = s.role == Role.UNKNOWN || now - s.roleAsOf > ROLE_MEMORY;
            if (open && isUsable(s, p) && !p.tried.contains(s)) {
                g.primarySeeker = p;
                return s;
            }
        }
        return null;
    }

    private void send(PendingRequest p, EndpointState s) {
        p.attempts++;
        p.server = s;
        p.sentAt = now;
        p.checkAt = p.kind.idempotency() == Idempotency.IDEMPOTENT
                        && settings.limits().healthChecksAllowed()
                ? now + (long) (longRunningFactor * typical(p) * expected(s))
                : Long.MAX_VALUE;
        p.group.outstanding.put(p.request.requestId(), p);
        s.inFlight++;
        s.sentAt = now;
        s.coldCredit--;
        sends.add(now);
        if (s.ejectedUntil != AbsentValue.NONE) {
            eject(s);
        }
        actions.send(p.request.requestId(), s.id, AbsentValue.NONE);
    }

    private boolean mayRefuse(PendingRequest p) {
        return p.kind.idempotency() == Idempotency.IDEMPOTENT
                || p.mayHaveRunAt == null
                || p.kind.idempotency() == Idempotency.WITH_KEY
                        && p.kind.deduplicationScope() == DeduplicationScope.FLEET;
    }

    private boolean repeatAllowedAt(PendingRequest p, EndpointState s) {
        return p.mayHaveRunAt == null
                || p.kind.idempotency() == Idempotency.IDEMPOTENT
                || p.kind.idempotency() == Idempotency.WITH_KEY
                        && now - p.mayHaveRunSince < p.kind.keyTtl()
                        && (p.kind.deduplicationScope() != DeduplicationScope.ZONE || s.zone == p.mayHaveRunAt.zone);
    }

    private boolean mayResend(PendingRequest p) {
        return p.attempts < settings.limits().maxAttempts()
                && now < p.request.expiresAt() - GIVE_UP_MARGIN
                && repeatAllowedAt(p, p.mayHaveRunAt);
    }

    private void retry(PendingRequest p, EndpointState s, AttemptResult result) {
        p.tried.add(s);
        p.group.primarySeeker = p.group.primarySeeker == p ? null : p.group.primarySeeker;
        int price = result == AttemptResult.INELIGIBLE_REPLICA || result == AttemptResult.STALE_CONNECTION ? 0 : 1;
        if (mayResend(p) && retryBudget >= price) {
            retryBudget -= price;
            p.group.waiting.get(p.request.classIndex()).addFirst(p);
        } else {
            giveUp(p);
        }
    }

    /** Long work makes its member be asked; if that is silent, or free, safe work is withdrawn. */
    private void checkAttempts(EndpointGroup g) {
        for (PendingRequest p : g.outstanding.values()) {
            if (p.checkAt > now || p.closed) {
                continue;
            }
            p.checkAt = now + PROBE_WAIT;
            if (!isSilent(p.server, SILENCE) && !looksLost(p)) {
                if (now - p.server.lastHeardAt > SILENCE && mayProbe(p.server)) {
                    probe(p.server);
                }
            } else if (settings.limits().cancellationAllowed() && mayResend(p) && retryBudget >= 1) {
                p.checkAt = Long.MAX_VALUE;
                actions.cancelAttempt(p.request.requestId(), p.attempts - 1);
            }
        }
    }

    /** Much longer out than is expected at a member that answers and shows no load: likely lost. */
    private boolean looksLost(PendingRequest p) {
        double expected = Math.max(expected(p.server), roleLatency(p.server.role));
        boolean overdue = now - p.sentAt > OVERDUE * typical(p) * expected;
        return overdue && now + calmDuration(p) < lastUsefulAt(p) && reportsIdle(p.server, FULL_USE);
    }

    private boolean reportsIdle(EndpointState s, double use) {
        return now - s.reportAt <= FRESH && s.queued == 0 && s.utilization < use;
    }

    private boolean isListed(EndpointState s) {
        return !s.draining && (s.listed || settings.rules().unlistedEndpointsUsable());
    }

    /** Asked for so long and not heard since, whatever the cause: a stall, a hang, a cut, a dead process. */
    private boolean isSilent(EndpointState s, long span) {
        return settings.limits().healthChecksAllowed()
                && s.silentSince != AbsentValue.NONE
                && now - s.silentSince > span;
    }

    private boolean isHealthy(EndpointState s) {
        return s != null && isListed(s) && s.ejectedUntil == AbsentValue.NONE && !isSilent(s, SILENCE);
    }

    /**
     * The more gateways share the work, the longer each is without news of a member that is well: a span that
     * suits few makes many ask before nearly every read. It ends where the sends are no longer counted. Not
     * for primaries: what is written to one that has stopped can't be withdrawn, and waits for its successor.
     */
    private long beliefSpan() {
        return Math.max(FRESH, (long)
                Math.min(RATE_SPAN, BELIEF_GAPS * servers.size() * RATE_SPAN / Math.max(1, sends.at(now))));
    }

    /**
     * Heard lately, so it can be believed to answer; a member never heard is taken at its listing. It guards
     * against all silences since; it costs a probe and a round trip where little is heard. With no probe
     * earned nobody can be asked, and work that waits for news of members is lost for certain.
     */
    private boolean isRecentlyHeard(EndpointState s) {
        long span = s == s.group.primary ? (long) Math.min(RATE_SPAN, FRESH * probePriceFactor) : beliefSpan;
        boolean believed = now - s.lastHeardAt <= span || s.lastHeardAt == RouterState.NEVER;
        return !settings.limits().healthChecksAllowed() || !isSilent(s, PROBE_WAIT) && (believed || probeBudget < 1);
    }

    private boolean isUsable(EndpointState s, PendingRequest p) {
        boolean trial = s.ejectedUntil <= now && s.inFlight == 0;
        return isListed(s)
                && (s.ejectedUntil == AbsentValue.NONE || trial)
                && isRecentlyHeard(s)
                && repeatAllowedAt(p, s)
                && hasRoom(s, p)
                && isInTime(s, p);
    }

    /**
     * The limit follows the answers' lateness; under one request it spaces the sends. It guards against the
     * queues of all gateways together, and any slowing. It may hurt when a class is slow by nature.
     */
    private boolean hasRoom(EndpointState s, PendingRequest p) {
        double warmth = warmth(s);
        return s.inFlight < Math.max(1, s.limit * warmth * warmth)
                && (warmth >= 1 || coldBudgetLeft(s))
                && (s.limit >= 1 || now - s.sentAt >= typical(p) * latency(s) / s.limit);
    }

    private void recordUnreachable(EndpointState s, long duration) {
        // Refused at once: the process is down. Not connected in time: cut off or at its limit.
        s.down |= duration < settings.limits().connectTimeout() * 0.8;
        s.silentSince = Math.min(s.silentSince == AbsentValue.NONE ? now : s.silentSince, now - LOST_AFTER - 1);
        if (!settings.limits().healthChecksAllowed()) {
            s.failures = 1;
            recordFailure(s);
        }
    }

    /**
     * Outlier ejection: a member that fails its work is left out until a trial after a backoff succeeds. It
     * may hurt when all members fail for one outside cause: each then gets only trials.
     */
    private void recordFailure(EndpointState s) {
        s.failures += FAILURE_GAIN * (1 - s.failures);
        if (s.failures > EJECT_FAILURES && s.ejectedUntil <= now) {
            if (s.ejectedUntil == AbsentValue.NONE) {
                actions.log(s.id + " ejected: fails");
                s.ejectedSince = now;
            }
            eject(s);
        }
    }

    private void eject(EndpointState s) {
        s.recentFaults.add(now);
        double span = EJECT_FIRST * Math.pow(2, s.recentFaults.at(now) - 1);
        s.ejectedUntil = now + jitter((long) Math.min(EJECT_MAX, span));
    }

    /** What was sent before a failing member's ejection proves nothing: only a trial readmits it. */
    private void readmit(EndpointState s, PendingRequest p) {
        s.failures *= 1 - FAILURE_GAIN;
        if (s.ejectedUntil != AbsentValue.NONE && (p.sentAt > s.ejectedSince || s.failures < EJECT_FAILURES / 2)) {
            actions.log(s.id + " readmitted");
            s.ejectedUntil = AbsentValue.NONE;
            s.failures = Math.min(s.failures, EJECT_FAILURES / 2);
        }
    }

    /** The share of its capacity that a member has for certain, by the settings' worst case. */
    private double warmth(EndpointState s) {
        long ramp = settings.rules().slowStartDuration();
        if (s.startedAt <= 0 || now - s.startedAt >= ramp) {
            return 1;
        }
        double from = settings.rules().startCapacity();
        return from + (1 - from) * Math.max(0, now - s.startedAt) / ramp;
    }

    /** The start of a process; each gateway's budget begins at a random point: not all send at once. */
    private void markRestarted(EndpointState s, long at, String how) {
        if (now - at < settings.rules().slowStartDuration()) {
            actions.log(s.id + how + ", taken as cold");
        }
        s.startedAt = at;
        s.latency = LATENCY_CALM;
        // What an earlier process failed at proves nothing of this one.
        s.failures = 0;
        s.ejectedUntil = AbsentValue.NONE;
        s.coldCredit = random.nextDouble();
        s.creditAt = now;
    }

    /**
     * A cold member's credit grows by its part of what the settings allow. What this gateway sends to each
     * member, at their mean use, tells its part of a warm one's capacity, also where a whole group is cold;
     * all gateways doing so keep the sum under the multiple.
     */
    private boolean coldBudgetLeft(EndpointState s) {
        long warm = Math.max(
                1,
                servers.values().stream()
                        .filter(m -> isListed(m) && warmth(m) >= 1)
                        .count());
        double capacity = sends.at(now) * SECOND / RATE_SPAN / warm / Math.max(USE_LEAST, fleetUse);
        double allowed = COLD_SHARE * settings.rules().overloadMultiple() * warmth(s) * capacity;
        double rate = Math.max(LIMIT_MIN / settings.proxyCount(), allowed);
        s.coldCredit = Math.min(1.5, s.coldCredit + rate * (now - s.creditAt) / SECOND);
        s.creditAt = now;
        return s.coldCredit >= 1;
    }
}
