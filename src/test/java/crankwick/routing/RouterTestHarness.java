package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;

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

/** Drives a router in simulated time and records each of its actions as a string. */
final class RouterTestHarness implements RoutingActions {
    static final long START = 1_000_000_000L;
    /** Indices of the request classes of {@link SettingsBuilder}. */
    static final int BOUNDED_READ = 0;

    static final int SESSION_READ = 1;
    static final int EVENTUAL_READ = 2;
    static final int STRONG_READ = 3;
    static final int WRITE = 4;
    static final int WRITE_WITH_KEY = 5;

    private static final long GROUP = 1;
    private static final long SESSION = 9;
    private static final long CLIENT_TIMEOUT = 2_000 * MICROS_PER_MILLI;
    private static final long CLOCK_STEP = 5 * MICROS_PER_MILLI;

    final List<String> actions = new ArrayList<>();
    final List<Endpoint> endpointList = new ArrayList<>();
    final Router router;
    long now = START;
    /** The number of health checks that the router has started. */
    int healthChecksSent;

    private final List<Timer> timers = new ArrayList<>();
    private final Map<String, Role> autoResponders = new TreeMap<>();
    private long nextRequestId = 1;

    private record Timer(long dueAt, long id) {}

    RouterTestHarness(RoutingSettings settings) {
        this(settings, 7);
    }

    RouterTestHarness(RoutingSettings settings, long seed) {
        router = new Router(settings, seed);
    }

    /** Creates a harness with the default settings and an empty endpoint list. */
    static RouterTestHarness withoutEndpoints() {
        return new RouterTestHarness(new SettingsBuilder().build());
    }

    /** Creates a harness with the default settings; see {@link #withHealthyGroup(RoutingSettings)}. */
    static RouterTestHarness withHealthyGroup() {
        return withHealthyGroup(new SettingsBuilder().build());
    }

    /** Creates a harness with primary p and replicas r1 and r2 in group 1, all of which have just reported no lag. */
    static RouterTestHarness withHealthyGroup(RoutingSettings settings) {
        RouterTestHarness harness = new RouterTestHarness(settings);
        harness.addEndpoints("p", "r1", "r2");
        harness.reportHealth("p", Role.PRIMARY, harness.now);
        harness.reportHealth("r1", Role.REPLICA, harness.now);
        harness.reportHealth("r2", Role.REPLICA, harness.now);
        return harness;
    }

    /** Creates a harness with a healthy group and the default settings except for the number of proxies. */
    static RouterTestHarness withProxyCount(int proxyCount) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.proxyCount = proxyCount;
        return withHealthyGroup(settings.build());
    }

    /** Adds live endpoints to the endpoint list and delivers the complete list. */
    void addEndpoints(String... ids) {
        for (String id : ids) {
            endpointList.add(endpoint(id, EndpointStatus.LIVE, 0));
        }
        handle(new EndpointUpdate(EndpointUpdateKind.RESTORED, List.copyOf(endpointList)));
    }

    static Endpoint endpoint(String id, EndpointStatus status, long startedAt) {
        return new Endpoint(id, 0, GROUP, Role.UNKNOWN, status, startedAt);
    }

    /** Delivers an incremental update of one endpoint. */
    void updateEndpoint(String id, EndpointStatus status, long startedAt) {
        handle(new EndpointUpdate(EndpointUpdateKind.INCREMENTAL, List.of(endpoint(id, status, startedAt))));
    }

    /** Delivers a successful health check whose report shows an idle endpoint. */
    void reportHealth(String id, Role role, long position) {
        reportHealth(id, role, position, 0, 0);
    }

    void reportHealth(String id, Role role, long position, double queueLength, double utilization) {
        actions.removeIf(a -> a.equals("check " + id));
        LoadReport report = new LoadReport(position, role, queueLength, utilization, queueLength);
        handle(new HealthCheckResult(id, AttemptResult.OK, 2 * MICROS_PER_MILLI, report));
    }

    /** Delivers a successful result without lag for the endpoint's pending health check after each clock step. */
    void autoRespondToHealthChecks(String id, Role role) {
        autoResponders.put(id, role);
    }

    private void respondToPendingHealthChecks() {
        autoResponders.forEach((id, role) -> {
            if (isHealthCheckPending(id)) {
                reportHealth(id, role, now);
            }
        });
    }

    boolean isHealthCheckPending(String id) {
        return actions.contains("check " + id);
    }

    long pendingHealthCheckCount() {
        return actions.stream().filter(a -> a.startsWith("check ")).count();
    }

    /** Advances the clock in small steps, fires due timers and delivers automatic health check responses. */
    void advance(long span) {
        long until = now + span;
        while (now < until) {
            now = Math.min(until, now + CLOCK_STEP);
            List<Timer> due =
                    timers.stream().filter(timer -> timer.dueAt() <= now).toList();
            timers.removeAll(due);
            due.forEach(timer -> handle(new TimerFired(timer.id())));
            respondToPendingHealthChecks();
        }
    }

    void handle(RoutingEvent event) {
        router.handle(now, event, this);
    }

    long request(int classIndex) {
        return request(classIndex, SESSION, AbsentValue.NONE);
    }

    long request(int classIndex, long session, long tokenAge) {
        return request(classIndex, GROUP, session, tokenAge, now + CLIENT_TIMEOUT);
    }

    long requestExpiringAt(int classIndex, long expiresAt) {
        return request(classIndex, GROUP, SESSION, AbsentValue.NONE, expiresAt);
    }

    long requestToGroup(long group, int classIndex) {
        return request(classIndex, group, SESSION, AbsentValue.NONE, now + CLIENT_TIMEOUT);
    }

    private long request(int classIndex, long group, long session, long tokenAge, long expiresAt) {
        long id = nextRequestId++;
        handle(new RoutingRequest(id, classIndex, group, session, tokenAge, expiresAt));
        return id;
    }

    /** Returns the endpoint of the request's last attempt, or null if it was not sent. */
    String sentTo(long id) {
        String endpoint = null;
        for (String action : actions) {
            if (action.startsWith("send " + id + " ")) {
                endpoint = action.split(" ")[2];
            }
        }
        return endpoint;
    }

    int attempts(long id) {
        return (int)
                actions.stream().filter(a -> a.startsWith("send " + id + " ")).count();
    }

    boolean isRejected(long id) {
        return actions.contains("reject " + id);
    }

    boolean isFailed(long id) {
        return actions.contains("fail " + id);
    }

    boolean isCancelled(long id) {
        return actions.contains("cancel " + id);
    }

    /** Delivers the outcome of the request's last attempt. */
    void endAttempt(long id, AttemptResult result, Role role, long position) {
        handle(new AttemptOutcome(
                id,
                attempts(id) - 1,
                result == AttemptResult.OK,
                result,
                20 * MICROS_PER_MILLI,
                sentTo(id),
                role,
                position,
                null));
    }

    void succeed(long id) {
        endAttempt(id, AttemptResult.OK, Role.UNKNOWN, AbsentValue.NONE);
    }

    /** Sends a write of the session and completes it with a commit at the position. */
    void commitWrite(long session, long position) {
        long id = request(WRITE, session, AbsentValue.NONE);
        endAttempt(id, AttemptResult.OK, Role.PRIMARY, position);
    }

    @Override
    public void send(long id, String endpoint, long timeout) {
        actions.add("send " + id + " " + endpoint);
    }

    @Override
    public void reject(long id, long retryAfter) {
        actions.add("reject " + id);
        actions.add("retry-after " + id + " " + (retryAfter > 0));
    }

    @Override
    public void fail(long id) {
        actions.add("fail " + id);
    }

    @Override
    public void checkHealth(String endpoint) {
        actions.add("check " + endpoint);
        healthChecksSent++;
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        actions.add("cancel " + id);
    }

    @Override
    public void scheduleTimer(long delay, long timerId) {
        actions.add("timer " + timerId);
        timers.add(new Timer(now + delay, timerId));
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

    /** Builds routing settings from defaults; tests overwrite single fields. */
    static final class SettingsBuilder {
        boolean responsesCarryPosition;
        boolean sessionTokensCarried;
        boolean pollsDiscovery;
        boolean unlistedEndpointsUsable;
        boolean cancellationAllowed = true;
        boolean healthChecksAllowed = true;
        int proxyCount = 3;
        double healthCheckCost = 0.02;
        StaleReadPolicy staleReadPolicy = StaleReadPolicy.SERVE;
        DeduplicationScope deduplicationScope = DeduplicationScope.GROUP;

        RoutingSettings build() {
            return new RoutingSettings(
                    proxyCount,
                    0,
                    pollsDiscovery,
                    responsesCarryPosition,
                    sessionTokensCarried,
                    staleReadPolicy,
                    RoleVisibility.HIDDEN,
                    new RoutingRules(
                            20 * MICROS_PER_MILLI,
                            250 * MICROS_PER_MILLI,
                            unlistedEndpointsUsable,
                            0.15,
                            18_000 * MICROS_PER_MILLI,
                            3,
                            1_000 * MICROS_PER_MILLI),
                    new RoutingLimits(
                            healthChecksAllowed,
                            cancellationAllowed,
                            true,
                            1_000 * MICROS_PER_MILLI,
                            8,
                            250 * MICROS_PER_MILLI),
                    new CostWeights(0.02, healthCheckCost, 0.03),
                    List.of(
                            requestClass(
                                    ConsistencyLevel.BOUNDED_STALENESS,
                                    1_500 * MICROS_PER_MILLI,
                                    Idempotency.IDEMPOTENT,
                                    0),
                            requestClass(ConsistencyLevel.SESSION, 0, Idempotency.IDEMPOTENT, 0),
                            requestClass(ConsistencyLevel.EVENTUAL, 0, Idempotency.IDEMPOTENT, 0),
                            requestClass(ConsistencyLevel.STRONG, 0, Idempotency.IDEMPOTENT, 0),
                            requestClass(ConsistencyLevel.WRITE, 0, Idempotency.NON_IDEMPOTENT, 0.3),
                            requestClass(ConsistencyLevel.WRITE, 0, Idempotency.WITH_KEY, 0.3)));
        }

        private RequestClass requestClass(
                ConsistencyLevel consistency, long stalenessBound, Idempotency idempotency, double lateWeight) {
            return new RequestClass(
                    consistency,
                    stalenessBound,
                    idempotency,
                    deduplicationScope,
                    5_000 * MICROS_PER_MILLI,
                    500 * MICROS_PER_MILLI,
                    2_000 * MICROS_PER_MILLI,
                    1,
                    lateWeight);
        }
    }
}
