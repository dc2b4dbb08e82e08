package crankwick.routing;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptOutcome;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.ConsistencyLevel;
import crankwick.routing.api.CostWeights;
import crankwick.routing.api.DeduplicationScope;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdate;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.HealthCheckResult;
import crankwick.routing.api.Idempotency;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoleVisibility;
import crankwick.routing.api.RoutingActions;
import crankwick.routing.api.RoutingEvent;
import crankwick.routing.api.RoutingLimits;
import crankwick.routing.api.RoutingRequest;
import crankwick.routing.api.RoutingRules;
import crankwick.routing.api.RoutingSettings;
import crankwick.routing.api.StaleReadPolicy;
import crankwick.routing.api.TimerFired;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Feeds events to a router and keeps the actions that it took, one string each. */
final class RouterTestHarness implements RoutingActions {
    static final long MS = 1_000;
    static final long START = 1_000_000_000L;
    static final int VIEW = 0;
    static final int OWN = 1;
    static final int ANY = 2;
    static final int FRESH = 3;
    static final int WRITE = 4;
    static final int KEYED = 5;

    final List<String> actions = new ArrayList<>();
    final List<Endpoint> list = new ArrayList<>();
    final Router router;
    private final List<long[]> timers = new ArrayList<>();
    private final Map<String, Role> answering = new TreeMap<>();
    long now = START;
    int probes;
    private long nextId = 1;

    RouterTestHarness(RoutingSettings settings) {
        this(settings, 7);
    }

    RouterTestHarness(RoutingSettings settings, long seed) {
        router = new Router(settings, seed);
    }

    /** A rig with primary p and replicas r1, r2 in group 1, all known to be level with the present. */
    static RouterTestHarness known(RoutingSettings settings) {
        RouterTestHarness rig = new RouterTestHarness(settings);
        rig.members("p", "r1", "r2");
        rig.report("p", Role.PRIMARY, rig.now);
        rig.report("r1", Role.REPLICA, rig.now);
        rig.report("r2", Role.REPLICA, rig.now);
        return rig;
    }

    void members(String... servers) {
        for (String server : servers) {
            list.add(member(server, EndpointStatus.LIVE, 0));
        }
        tell(new EndpointUpdate(EndpointUpdateKind.RESTORED, List.copyOf(list)));
    }

    static Endpoint member(String server, EndpointStatus standing, long startedAt) {
        return new Endpoint(server, 0, 1, Role.UNKNOWN, standing, startedAt);
    }

    void change(String server, EndpointStatus standing, long startedAt) {
        tell(new EndpointUpdate(EndpointUpdateKind.INCREMENTAL, List.of(member(server, standing, startedAt))));
    }

    /** Tells a report, as the answer to a probe. */
    void report(String server, Role role, long position) {
        report(server, role, position, 0, 0);
    }

    void report(String server, Role role, long position, double backlog, double utilization) {
        actions.removeIf(a -> a.equals("probe " + server));
        tell(new HealthCheckResult(
                server, AttemptResult.OK, 2 * MS, new LoadReport(position, role, backlog, utilization, backlog)));
    }

    /** From now on this server answers each probe at the next step, level with the present. */
    void answers(String server, Role role) {
        answering.put(server, role);
    }

    private void answerProbes() {
        answering.forEach((server, role) -> {
            if (probing(server)) {
                report(server, role, now);
            }
        });
    }

    boolean probing(String server) {
        return actions.contains("probe " + server);
    }

    /** Moves the clock on; timers that fall due are told, in steps of 5 ms. */
    void advance(long span) {
        long until = now + span;
        while (now < until) {
            now = Math.min(until, now + 5 * MS);
            List<long[]> due = timers.stream().filter(t -> t[0] <= now).toList();
            timers.removeAll(due);
            due.forEach(t -> tell(new TimerFired(t[1])));
            answerProbes();
        }
    }

    void tell(RoutingEvent event) {
        router.handle(now, event, this);
    }

    long request(int classIndex) {
        return request(classIndex, 9, AbsentValue.NONE);
    }

    long request(int classIndex, long session, long tokenAge) {
        return request(classIndex, 1, session, tokenAge, now + 2_000 * MS);
    }

    long requestUntil(int classIndex, long expires) {
        return request(classIndex, 1, 9, AbsentValue.NONE, expires);
    }

    long requestTo(long group, int classIndex) {
        return request(classIndex, group, 9, AbsentValue.NONE, now + 2_000 * MS);
    }

    private long request(int classIndex, long group, long session, long tokenAge, long expires) {
        long id = nextId++;
        tell(new RoutingRequest(id, classIndex, group, session, tokenAge, expires));
        return id;
    }

    /** The server that the request's newest attempt went to, or null. */
    String sentTo(long id) {
        String server = null;
        for (String action : actions) {
            if (action.startsWith("send " + id + " ")) {
                server = action.split(" ")[2];
            }
        }
        return server;
    }

    int attempts(long id) {
        return (int)
                actions.stream().filter(a -> a.startsWith("send " + id + " ")).count();
    }

    boolean refused(long id) {
        return actions.contains("refuse " + id);
    }

    boolean failed(long id) {
        return actions.contains("fail " + id);
    }

    boolean cancelled(long id) {
        return actions.contains("cancel " + id);
    }

    void outcome(long id, AttemptResult result, Role role, long position) {
        tell(new AttemptOutcome(
                id, attempts(id) - 1, result == AttemptResult.OK, result, 20 * MS, sentTo(id), role, position, null));
    }

    void ok(long id) {
        outcome(id, AttemptResult.OK, Role.UNKNOWN, AbsentValue.NONE);
    }

    /** A write of the session, answered with this commit. */
    void write(long session, long commit) {
        long id = request(WRITE, session, AbsentValue.NONE);
        outcome(id, AttemptResult.OK, Role.PRIMARY, commit);
    }

    @Override
    public void send(long id, String server, long patience) {
        actions.add("send " + id + " " + server);
    }

    @Override
    public void reject(long id, long retryAfter) {
        actions.add("refuse " + id);
        actions.add("retry-after " + id + " " + (retryAfter > 0));
    }

    @Override
    public void fail(long id) {
        actions.add("fail " + id);
    }

    @Override
    public void checkHealth(String server) {
        actions.add("probe " + server);
        probes++;
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        actions.add("cancel " + id);
    }

    @Override
    public void scheduleTimer(long fromNow, long ref) {
        actions.add("arm " + ref);
        timers.add(new long[] {now + fromNow, ref});
    }

    @Override
    public void watchEndpoints() {
        actions.add("watch");
    }

    @Override
    public void fetchEndpoints() {
        actions.add("fetch");
    }

    @Override
    public void log(String line) {
        actions.add("log " + line);
    }

    /** Settings for tests, to be varied one value at a time. */
    static final class Build {
        boolean answersCarryPosition;
        boolean tokensCarried;
        boolean asksDiscovery;
        boolean onlyDrainingBinds;
        boolean cancels = true;
        boolean probes = true;
        int instances = 3;
        double probePrice = 0.02;
        StaleReadPolicy whenBehind = StaleReadPolicy.SERVE;
        DeduplicationScope scope = DeduplicationScope.GROUP;

        RoutingSettings settings() {
            return new RoutingSettings(
                    instances,
                    0,
                    asksDiscovery,
                    answersCarryPosition,
                    tokensCarried,
                    whenBehind,
                    RoleVisibility.HIDDEN,
                    new RoutingRules(20 * MS, 250 * MS, onlyDrainingBinds, 0.15, 18_000 * MS, 3, 1_000 * MS),
                    new RoutingLimits(probes, cancels, true, 1_000 * MS, 8, 250 * MS),
                    new CostWeights(0.02, probePrice, 0.03),
                    List.of(
                            cls(ConsistencyLevel.BOUNDED_STALENESS, 1_500 * MS, Idempotency.IDEMPOTENT, 0),
                            cls(ConsistencyLevel.SESSION, 0, Idempotency.IDEMPOTENT, 0),
                            cls(ConsistencyLevel.EVENTUAL, 0, Idempotency.IDEMPOTENT, 0),
                            cls(ConsistencyLevel.STRONG, 0, Idempotency.IDEMPOTENT, 0),
                            cls(ConsistencyLevel.WRITE, 0, Idempotency.NON_IDEMPOTENT, 0.3),
                            cls(ConsistencyLevel.WRITE, 0, Idempotency.WITH_KEY, 0.3)));
        }

        private RequestClass cls(ConsistencyLevel need, long bound, Idempotency repeat, double late) {
            return new RequestClass(need, bound, repeat, scope, 5_000 * MS, 500 * MS, 2_000 * MS, 1, late);
        }
    }
}
