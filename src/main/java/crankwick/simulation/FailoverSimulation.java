package crankwick.simulation;

import crankwick.broker.Broker;
import crankwick.broker.BrokerEvent;
import crankwick.broker.ClientRequest;
import crankwick.broker.Contract;
import crankwick.broker.Effect;
import crankwick.broker.Reply;
import crankwick.failover.FailoverCounters;
import crankwick.failover.FailoverSettings;
import crankwick.model.GroupModel;
import crankwick.model.ModelSettings;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.ConsistencyLevel;
import crankwick.routing.api.CostWeights;
import crankwick.routing.api.DeduplicationScope;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.Idempotency;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoleVisibility;
import crankwick.routing.api.RoutingLimits;
import crankwick.routing.api.RoutingRules;
import crankwick.routing.api.RoutingSettings;
import crankwick.routing.api.StaleReadPolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Explores changes of primaries in simulated time: the real broker, router and handover over modelled groups,
 * with delays, lost connections, troubles and restarts of the proxy drawn by seed, checked at every step by
 * {@link FailoverAudit}. The same options give the same run (as in FoundationDB's simulation testing; Zhou et
 * al., SIGMOD 2021).
 */
public final class FailoverSimulation {
    /** A deliberate defect of the world around the broker or of its settings, which the audit must catch. */
    public enum Fault {
        NONE,
        RESEND_AFTER_WINDOW,
        LATE_LIST_BELIEVED,
        HELD_SENT_TWICE,
        RELEASE_WITHOUT_PACE
    }

    /**
     * What to run.
     *
     * @param groups groups of three databases, 1 or more
     * @param failovers changes of leaders after which the run comes to its end, 1 or more
     * @param handover what is set of changes; null leaves them to the router alone, as earlier versions did
     */
    public record Options(int groups, int failovers, long seed, FailoverSettings handover, Fault fault) {}

    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final long START = 1_000_000 * SECOND;
    private static final long CONNECT_TIMEOUT = 250 * MS;
    private static final long KEY_TTL = 2 * SECOND;
    /** Requests a second and group; and the longest run, in simulated time, for a change wanted. */
    private static final double RATE = 30;

    private static final double WRITES = 0.2;
    private static final double CHECKS = 0.1;
    private static final long RUN_MOST = 60 * SECOND;
    private static final int STATEMENT = 160;
    private static final int OWN = 0;
    private static final int CHECK = 1;
    private static final int RESERVE = 2;
    private static final int RETRIES = 3;
    /** In a hundred, clients that ask again with a key that has failed. */
    private static final int IMPATIENT = 50;

    /** A client's request with all its tries. */
    private record Wish(int group, int cls, String key, long mustSee, int tries, long until, boolean doubtful) {
        Wish again(int more, long newUntil, boolean nowDoubtful) {
            return new Wish(group, cls, key, mustSee, tries + more, newUntil, doubtful || nowDoubtful);
        }
    }

    private final Options options;
    private final SimulatedClock time = new SimulatedClock(START);
    private final SimulationRandom random;
    private final ModelSettings figures = ModelSettings.DEFAULT;
    private final RoutingSettings settings;
    private final FailoverSettings changes;
    private final FailoverAudit audit;
    private final List<SimulatedGroup> groups = new ArrayList<>();
    private final ModelNetwork network;
    private final FaultSchedule troubles;
    private final Map<Long, Wish> wishes = new HashMap<>();
    private Broker broker;
    private long generation;
    private long refs;
    private long keys;
    private long heldMax;
    private long restarts;
    private boolean ending;

    /** Prepares a run. */
    public FailoverSimulation(Options options) {
        this.options = options;
        random = new SimulationRandom(options.seed());
        boolean endless = options.fault() == Fault.RESEND_AFTER_WINDOW;
        settings = settings(endless ? 60 * SECOND : KEY_TTL);
        FailoverSettings d = options.handover();
        changes = d == null || options.fault() != Fault.RELEASE_WITHOUT_PACE
                ? d
                : new FailoverSettings(
                        d.bufferedPerGroup(),
                        d.bufferedPerTeam(),
                        d.bytesPerGroup(),
                        d.bytesPerTeam(),
                        d.minSuccessProbability(),
                        1_000_000,
                        d.keyMargin(),
                        d.maxKeys(),
                        d.keyRetention(),
                        d.unplannedMin(),
                        d.unplannedMax(),
                        d.plannedMin(),
                        d.plannedMax());
        audit = new FailoverAudit(
                options.groups(),
                settings.rules().answerSlack(),
                settings.rules().drainGrace(),
                KEY_TTL,
                FailoverSettings.DEFAULT.initialWindow());
        network = new ModelNetwork(time, random, audit, groups, this::tell, this::onLed);
        troubles = new FaultSchedule(time, random, audit, network, figures.members(), this::list, () -> ending);
    }

    /** As the site has them: a session read, a read that must be current, and a keyed write. */
    private static RoutingSettings settings(long keyTtl) {
        return new RoutingSettings(
                1,
                0,
                false,
                true,
                true,
                StaleReadPolicy.WAIT,
                RoleVisibility.DELAYED,
                new RoutingRules(20 * MS, 2 * SECOND, false, 0.18, 16 * SECOND, 2.5, 2 * SECOND),
                new RoutingLimits(true, true, true, 2 * SECOND, 8, CONNECT_TIMEOUT),
                new CostWeights(0.0095, 0.021, 0.05),
                List.of(
                        new RequestClass(
                                ConsistencyLevel.SESSION,
                                0,
                                Idempotency.IDEMPOTENT,
                                DeduplicationScope.FLEET,
                                5 * SECOND,
                                500 * MS,
                                1_200 * MS,
                                1,
                                0),
                        new RequestClass(
                                ConsistencyLevel.STRONG,
                                0,
                                Idempotency.IDEMPOTENT,
                                DeduplicationScope.FLEET,
                                5 * SECOND,
                                600 * MS,
                                2 * SECOND,
                                1,
                                0),
                        new RequestClass(
                                ConsistencyLevel.WRITE,
                                0,
                                Idempotency.WITH_KEY,
                                DeduplicationScope.GROUP,
                                keyTtl,
                                750 * MS,
                                3 * SECOND,
                                6,
                                0.5)));
    }

    /** Runs to the end; the figures, of which "violations" must be 0. */
    public Map<String, Object> run() {
        long began = System.nanoTime();
        for (int i = 0; i < options.groups(); i++) {
            SimulatedGroup g = new SimulatedGroup(i, new GroupModel(figures, random.seed(), START), figures.members());
            groups.add(g);
            nextArrival(g);
            troubles.next(g);
        }
        startProxy();
        nextRestart();
        long latest = START + RUN_MOST * options.failovers() / options.groups() + RUN_MOST;
        while (audit.failovers() < options.failovers() && time.now() < latest && time.step()) {
            heldMax = Math.max(
                    heldMax, broker.handover() == null ? 0 : broker.handover().held());
        }
        ending = true;
        long rest = time.now() + 10 * SECOND;
        time.at(rest, () -> {});
        while (time.now() < rest && time.step()) {
            continue;
        }
        audit.end(time.now());
        Map<String, Object> all = audit.figures();
        all.put("held_max", heldMax);
        all.put("restarts", restarts);
        all.put("simulated_s", (time.now() - START) / SECOND);
        all.put("seed", options.seed());
        all.put("took_s", Math.round((System.nanoTime() - began) / 1e7) / 100.0);
        return all;
    }

    /** The first violation with its trace; null for none. */
    public String violation() {
        return audit.violation();
    }

    private void nextArrival(SimulatedGroup g) {
        time.after(random.exponential(SECOND / RATE), () -> {
            if (!ending) {
                double draw = random.share();
                int classIndex = draw < WRITES ? RESERVE : draw < WRITES + CHECKS ? CHECK : OWN;
                long mustSee = classIndex == OWN ? time.now() - random.between(50 * MS, 2 * SECOND) : AbsentValue.NONE;
                ask(new Wish(
                        g.id,
                        classIndex,
                        classIndex == RESERVE ? "k" + keys++ : null,
                        mustSee,
                        0,
                        Long.MAX_VALUE,
                        false));
                nextArrival(g);
            }
        });
    }

    private void ask(Wish wish) {
        long patience = Math.min(settings.requestClasses().get(wish.cls()).deadline(), wish.until() - time.now());
        if (patience <= 0) {
            return;
        }
        long ref = ++refs;
        wishes.put(ref, wish);
        audit.asked(time.now(), ref, wish.group(), wish.key(), time.now() + patience);
        tell(new BrokerEvent.RequestReceived(new ClientRequest(
                ref,
                Long.toString(ref),
                "",
                wish.cls(),
                wish.group(),
                refs,
                wish.mustSee(),
                patience,
                wish.key(),
                STATEMENT)));
    }

    /**
     * A refused client comes again when it was told to, with the same key and a new id. Some whose write has
     * failed do so too, which they should not: the key may have run.
     */
    private void answered(long ref, Reply reply) {
        audit.answered(time.now(), ref, reply);
        Wish wish = wishes.remove(ref);
        if (reply instanceof Reply.Rejected r && wish.tries() < RETRIES && !ending) {
            time.after(Math.max(10 * MS, r.retryAfter()), () -> ask(wish.again(1, wish.until(), false)));
        } else if (reply instanceof Reply.Failed
                && wish.key() != null
                && !wish.doubtful()
                && !ending
                && changes != null
                && random.percent() < IMPATIENT) {
            long alive = generation;
            time.after(random.between(50 * MS, SECOND), () -> {
                if (alive == generation) {
                    ask(wish.again(1, wish.until(), true));
                }
            });
        }
    }

    private void startProxy() {
        generation++;
        broker = new Broker(settings, random.seed(), Map.of("", Contract.UNLIMITED), changes);
        List<Endpoint> all = new ArrayList<>();
        for (SimulatedGroup g : groups) {
            for (int m = 0; m < figures.members(); m++) {
                Endpoint entry = g.entry(m);
                audit.told(time.now(), entry.id(), entry.status() != EndpointStatus.LIVE);
                all.add(entry);
            }
        }
        tell(new BrokerEvent.EndpointsUpdated(EndpointUpdateKind.RESTORED, all));
    }

    private void nextRestart() {
        time.after(random.between(60 * SECOND, 180 * SECOND), () -> {
            if (!ending) {
                restart();
                nextRestart();
            }
        });
    }

    /**
     * Killed outright. Clients ask again while their keys' windows surely last, and from then on wait no
     * longer than that: the new process can't know that a key may have run, nor do its refusals say so.
     */
    private void restart() {
        restarts++;
        audit.restarted();
        network.reset();
        for (AuditedRequest a : audit.open()) {
            audit.lost(a);
            audit.ended(time.now(), a.ref, AttemptResult.NOT_SENT);
            Wish wish = wishes.remove(a.ref);
            long wait = random.between(50 * MS, 300 * MS);
            if (!wish.doubtful()) {
                time.after(
                        wait,
                        () -> ask(wish.again(
                                0,
                                wish.key() == null
                                        ? Long.MAX_VALUE
                                        : Math.min(wish.until(), a.takenAt + KEY_TTL - 100 * MS),
                                false)));
            }
        }
        startProxy();
    }

    private void tell(BrokerEvent event) {
        FailoverCounters counters =
                broker.handover() == null ? null : broker.handover().counters();
        long changesBefore = counters == null ? 0 : counters.changes();
        long releasedBefore = counters == null ? 0 : counters.released();
        List<Effect> effects = broker.reduce(event, time.now());
        if (counters != null && counters.changes() > changesBefore) {
            audit.released(time.now(), (int) (counters.released() - releasedBefore));
        }
        for (Effect effect : effects) {
            carryOut(effect);
        }
    }

    private void carryOut(Effect effect) {
        long alive = generation;
        if (effect instanceof Effect.SendAttempt e) {
            Wish wish = wishes.get(e.requestId());
            network.send(e, wish.key(), wish.mustSee());
            if (options.fault() == Fault.HELD_SENT_TWICE
                    && broker.handover().counters().released() > 0) {
                audit.sent(time.now(), e.requestId(), e.endpointId());
            }
        } else if (effect instanceof Effect.SendReply e) {
            answered(e.requestId(), e.reply());
        } else if (effect instanceof Effect.CancelAttempt e) {
            network.withdraw(e.requestId());
        } else if (effect instanceof Effect.CancelQueued e) {
            network.recall(e.requestId());
        } else if (effect instanceof Effect.CheckHealth e) {
            network.probe(e.endpointId());
        } else if (effect instanceof Effect.ScheduleTimer e) {
            time.after(e.delay(), () -> {
                if (alive == generation) {
                    tell(e.event());
                }
            });
        } else if (effect instanceof Effect.Log e) {
            audit.note(time.now(), groupNamed(e.line()), -1, e.line());
        }
    }

    /** The proxy's lines begin with "group N" or a member's name. */
    private static int groupNamed(String line) {
        int from = line.startsWith("group ") ? 6 : 1;
        int to = from;
        while (to < line.length() && Character.isDigit(line.charAt(to))) {
            to++;
        }
        return to > from ? Integer.parseInt(line.substring(from, to)) : 0;
    }

    private void onLed(SimulatedGroup g, int member) {
        long change = audit.changed(g.id, g.lastLeader != member);
        long ledAt = time.now();
        boolean commits = g.model.canCommitWrites();
        time.after(FailoverAudit.MARGIN, () -> {
            if (commits && g.model.canCommitWrites()) {
                audit.stable(
                        g.id,
                        change,
                        ledAt,
                        g.name(member),
                        ledAt < g.model.startedAt(member) + figures.warmUpMicros());
            }
        });
        int old = g.lastLeader;
        g.lastLeader = member;
        time.after(random.between(2_800 * MS, 4_900 * MS), () -> {
            g.shownRole[old] = Role.REPLICA;
            g.shownRole[member] = Role.PRIMARY;
            list(g, old);
            list(g, member);
        });
    }

    private void list(SimulatedGroup g, int m) {
        Endpoint entry = g.entry(m);
        audit.told(time.now(), entry.id(), entry.status() != EndpointStatus.LIVE);
        audit.note(time.now(), g.id, -1, "listed " + entry);
        tell(new BrokerEvent.EndpointsUpdated(EndpointUpdateKind.INCREMENTAL, List.of(entry)));
        if (options.fault() == Fault.LATE_LIST_BELIEVED && entry.role() == Role.PRIMARY) {
            tell(new BrokerEvent.HealthCheckEnded(
                    entry.id(), AttemptResult.OK, 0, new LoadReport(time.now(), Role.PRIMARY, 0, 0, Double.NaN)));
        }
    }
}
