package crankwick;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Feeds events to a router and keeps the actions that it took, one string each. */
final class Rig implements RouterApi.Actions {
    static final long MS = 1_000;
    static final long START = 1_000_000_000L;
    static final int VIEW = 0;
    static final int OWN = 1;
    static final int ANY = 2;
    static final int FRESH = 3;
    static final int WRITE = 4;
    static final int KEYED = 5;

    final List<String> actions = new ArrayList<>();
    final List<RouterApi.Member> list = new ArrayList<>();
    final Router router;
    private final List<long[]> timers = new ArrayList<>();
    private final Map<String, RouterApi.Role> answering = new TreeMap<>();
    long now = START;
    int probes;
    private long nextId = 1;

    Rig(RouterApi.Settings settings) {
        this(settings, 7);
    }

    Rig(RouterApi.Settings settings, long seed) {
        router = new Router(settings, seed);
    }

    /** A rig with primary p and replicas r1, r2 in group 1, all known to be level with the present. */
    static Rig known(RouterApi.Settings settings) {
        Rig rig = new Rig(settings);
        rig.members("p", "r1", "r2");
        rig.report("p", RouterApi.Role.PRIMARY, rig.now);
        rig.report("r1", RouterApi.Role.REPLICA, rig.now);
        rig.report("r2", RouterApi.Role.REPLICA, rig.now);
        return rig;
    }

    void members(String... servers) {
        for (String server : servers) {
            list.add(member(server, RouterApi.Standing.LIVE, 0));
        }
        tell(new RouterApi.Membership(RouterApi.ListKind.RESTORED, List.copyOf(list)));
    }

    static RouterApi.Member member(String server, RouterApi.Standing standing, long startedAt) {
        return new RouterApi.Member(server, 0, 1, RouterApi.Role.UNKNOWN, standing, startedAt);
    }

    void change(String server, RouterApi.Standing standing, long startedAt) {
        tell(new RouterApi.Membership(RouterApi.ListKind.CHANGES, List.of(member(server, standing, startedAt))));
    }

    /** Tells a report, as the answer to a probe. */
    void report(String server, RouterApi.Role role, long position) {
        report(server, role, position, 0, 0);
    }

    void report(String server, RouterApi.Role role, long position, double backlog, double utilization) {
        actions.removeIf(a -> a.equals("probe " + server));
        tell(new RouterApi.ProbeResult(
                server,
                RouterApi.Result.OK,
                2 * MS,
                new RouterApi.Report(position, role, backlog, utilization, backlog)));
    }

    /** From now on this server answers each probe at the next step, level with the present. */
    void answers(String server, RouterApi.Role role) {
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
            due.forEach(t -> tell(new RouterApi.Timer(t[1])));
            answerProbes();
        }
    }

    void tell(RouterApi.Event event) {
        router.handle(now, event, this);
    }

    long request(int cls) {
        return request(cls, 9, RouterApi.NONE);
    }

    long request(int cls, long session, long tokenAge) {
        return request(cls, 1, session, tokenAge, now + 2_000 * MS);
    }

    long requestUntil(int cls, long expires) {
        return request(cls, 1, 9, RouterApi.NONE, expires);
    }

    long requestTo(long group, int cls) {
        return request(cls, group, 9, RouterApi.NONE, now + 2_000 * MS);
    }

    private long request(int cls, long group, long session, long tokenAge, long expires) {
        long id = nextId++;
        tell(new RouterApi.Request(id, cls, group, session, tokenAge, expires));
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

    void outcome(long id, RouterApi.Result result, RouterApi.Role role, long position) {
        tell(new RouterApi.Outcome(
                id,
                attempts(id) - 1,
                result == RouterApi.Result.OK,
                result,
                20 * MS,
                sentTo(id),
                role,
                position,
                null));
    }

    void ok(long id) {
        outcome(id, RouterApi.Result.OK, RouterApi.Role.UNKNOWN, RouterApi.NONE);
    }

    /** A write of the session, answered with this commit. */
    void write(long session, long commit) {
        long id = request(WRITE, session, RouterApi.NONE);
        outcome(id, RouterApi.Result.OK, RouterApi.Role.PRIMARY, commit);
    }

    @Override
    public void send(long id, String server, long patience) {
        actions.add("send " + id + " " + server);
    }

    @Override
    public void refuse(long id, long retryAfter) {
        actions.add("refuse " + id);
        actions.add("retry-after " + id + " " + (retryAfter > 0));
    }

    @Override
    public void fail(long id) {
        actions.add("fail " + id);
    }

    @Override
    public void probe(String server) {
        actions.add("probe " + server);
        probes++;
    }

    @Override
    public void cancel(long id, int attempt) {
        actions.add("cancel " + id);
    }

    @Override
    public void arm(long fromNow, long ref) {
        actions.add("arm " + ref);
        timers.add(new long[] {now + fromNow, ref});
    }

    @Override
    public void watch() {
        actions.add("watch");
    }

    @Override
    public void fetch() {
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
        RouterApi.WhenBehind whenBehind = RouterApi.WhenBehind.SERVE;
        RouterApi.Scope scope = RouterApi.Scope.GROUP;

        RouterApi.Settings settings() {
            return new RouterApi.Settings(
                    instances,
                    0,
                    asksDiscovery,
                    answersCarryPosition,
                    tokensCarried,
                    whenBehind,
                    RouterApi.ListRole.OFF,
                    new RouterApi.Rules(20 * MS, 250 * MS, onlyDrainingBinds, 0.15, 18_000 * MS, 3, 1_000 * MS),
                    new RouterApi.Limits(probes, cancels, true, 1_000 * MS, 8, 250 * MS),
                    new RouterApi.Prices(0.02, probePrice, 0.03),
                    List.of(
                            cls(RouterApi.Need.BOUNDED, 1_500 * MS, RouterApi.Repeat.SAFE, 0),
                            cls(RouterApi.Need.SESSION, 0, RouterApi.Repeat.SAFE, 0),
                            cls(RouterApi.Need.ANY, 0, RouterApi.Repeat.SAFE, 0),
                            cls(RouterApi.Need.FRESH, 0, RouterApi.Repeat.SAFE, 0),
                            cls(RouterApi.Need.WRITE, 0, RouterApi.Repeat.UNSAFE, 0.3),
                            cls(RouterApi.Need.WRITE, 0, RouterApi.Repeat.KEYED, 0.3)));
        }

        private RouterApi.RequestClass cls(RouterApi.Need need, long bound, RouterApi.Repeat repeat, double late) {
            return new RouterApi.RequestClass(need, bound, repeat, scope, 5_000 * MS, 500 * MS, 2_000 * MS, 1, late);
        }
    }
}
