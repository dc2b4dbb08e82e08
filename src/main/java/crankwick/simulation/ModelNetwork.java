package crankwick.simulation;

import crankwick.broker.BrokerEvent;
import crankwick.broker.Effect;
import crankwick.model.GroupModel;
import crankwick.model.ModelEffect;
import crankwick.model.ModelEvent;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The network between the proxy and the modelled groups: attempts and probes take their time each way, find a hung
 * machine, and now and then lose their connection.
 */
final class ModelNetwork {
    private static final long CONNECT_TIMEOUT = 250_000;
    private static final long PROBE_TIMEOUT = 250_000;
    /** In ten thousand: connections that break before, under, and after the work. */
    private static final int BREAKS = 20;

    /** An attempt or a probe on its way to a member, at it, or on its way back. */
    private static final class Job {
        final long ref;
        final int attempt;
        final String server;
        final long startedAt;
        final long modelRef;
        final String key;
        final long mustSee;
        boolean written;
        boolean over;

        Job(long ref, int attempt, String server, long startedAt, long modelRef, String key, long mustSee) {
            this.ref = ref;
            this.attempt = attempt;
            this.server = server;
            this.startedAt = startedAt;
            this.modelRef = modelRef;
            this.key = key;
            this.mustSee = mustSee;
        }

        boolean isProbe() {
            return attempt < 0;
        }
    }

    private final SimulatedClock time;
    private final SimulationRandom random;
    private final FailoverAudit audit;
    private final List<SimulatedGroup> groups;
    /** Who is told of attempts and probes; and of who leads a group now. */
    private final Consumer<BrokerEvent> broker;

    private final BiConsumer<SimulatedGroup, Integer> leaders;
    private final Map<Long, Job> atModels = new HashMap<>();
    private final Map<Long, Job> attempts = new LinkedHashMap<>();
    private long generation;
    private long modelRefs;

    ModelNetwork(
            SimulatedClock time,
            SimulationRandom random,
            FailoverAudit audit,
            List<SimulatedGroup> groups,
            Consumer<BrokerEvent> broker,
            BiConsumer<SimulatedGroup, Integer> leaders) {
        this.time = time;
        this.random = random;
        this.audit = audit;
        this.groups = groups;
        this.broker = broker;
        this.leaders = leaders;
    }

    private SimulatedGroup group(String server) {
        return groups.get(SimulatedGroup.groupOf(server));
    }

    /** The proxy's process has ended: its connections are gone, and what was on its way to a database too. */
    void reset() {
        generation++;
        for (Job job : List.copyOf(atModels.values())) {
            job.over = true;
            atModels.remove(job.modelRef);
            drop(job);
        }
        attempts.clear();
    }

    /** The proxy waits for an attempt no longer. */
    void withdraw(long ref) {
        Job job = attempts.remove(ref);
        if (job != null) {
            job.over = true;
            audit.ended(time.now(), ref, job.written ? AttemptResult.CANCELLED : AttemptResult.NOT_SENT);
            time.after(random.way(), () -> drop(job));
        }
    }

    /** An attempt of which nothing has been written ends. */
    void recall(long ref) {
        Job job = attempts.get(ref);
        if (job != null && !job.written) {
            end(job, AttemptResult.NOT_SENT, null);
        }
    }

    /** Sends an attempt, with its idempotency key and the position that it must see. */
    void send(Effect.SendAttempt e, String key, long mustSee) {
        audit.sent(time.now(), e.requestId(), e.endpointId());
        Job job = new Job(e.requestId(), e.attempt(), e.endpointId(), time.now(), ++modelRefs, key, mustSee);
        attempts.put(e.requestId(), job);
        travel(job);
    }

    void probe(String server) {
        Job job = new Job(-1, -1, server, time.now(), ++modelRefs, null, AbsentValue.NONE);
        travel(job);
        time.after(PROBE_TIMEOUT, () -> end(job, AttemptResult.TIMEOUT, null));
    }

    /** A hung machine accepts no new connection; half of the attempts find one that is open. */
    private void travel(Job job) {
        long alive = generation;
        GroupModel model = group(job.server).model;
        int member = SimulatedGroup.memberOf(job.server);
        if (!model.isResponsive(member) && !model.refusesConnections(member) && random.flip()) {
            time.after(CONNECT_TIMEOUT, () -> end(job, AttemptResult.UNREACHABLE, null));
            return;
        }
        if (random.chance(BREAKS)) {
            time.after(random.way(), () -> end(job, AttemptResult.CONNECTION_LOST_BEFORE_SEND, null));
            return;
        }
        time.after(random.way(), () -> {
            if (job.over || alive != generation) {
                return;
            }
            atModels.put(job.modelRef, job);
            if (!job.isProbe() && !model.refusesConnections(member)) {
                job.written = true;
                broker.accept(new BrokerEvent.AttemptWritten(job.ref, job.attempt));
            }
            at(
                    group(job.server),
                    job.isProbe()
                            ? new ModelEvent.HealthCheckReceived(job.modelRef, member)
                            : new ModelEvent.QueryReceived(job.modelRef, member, job.key, job.mustSee));
            if (random.chance(BREAKS)) {
                time.after(random.way(), () -> {
                    if (atModels.containsKey(job.modelRef)) {
                        drop(job);
                        end(job, AttemptResult.RESET, null);
                    }
                });
            }
        });
    }

    private void drop(Job job) {
        atModels.remove(job.modelRef);
        at(group(job.server), new ModelEvent.ConnectionClosed(job.modelRef));
    }

    /** Puts an event to a group, and carries out what follows. */
    void at(SimulatedGroup g, ModelEvent event) {
        List<ModelEffect> effects = new ArrayList<>(2);
        g.model.handle(event, time.now(), effects::add);
        for (ModelEffect effect : effects) {
            onModel(g, effect);
        }
        long due = g.model.nextTimerDue();
        if (due < g.dueAt) {
            g.dueAt = due;
            time.at(due, () -> {
                if (g.dueAt == due) {
                    g.dueAt = Long.MAX_VALUE;
                    at(g, new ModelEvent.TimerDue());
                }
            });
        }
    }

    private void onModel(SimulatedGroup g, ModelEffect effect) {
        audit.history(time.now(), g.id, effect);
        if (effect instanceof ModelEffect.Answered e) {
            Job job = atModels.remove(e.exchangeId());
            if (job != null) {
                boolean lost = random.chance(BREAKS);
                time.after(random.way(), () -> end(job, lost ? AttemptResult.RESET : e.result(), lost ? null : e));
            }
        } else if (effect instanceof ModelEffect.ConnectionBroken e) {
            Job job = atModels.remove(e.exchangeId());
            if (job != null) {
                time.after(
                        random.way(),
                        () -> end(job, e.refused() ? AttemptResult.UNREACHABLE : AttemptResult.RESET, null));
            }
        } else if (effect instanceof ModelEffect.LeaderElected e) {
            leaders.accept(g, e.member());
        }
    }

    private void end(Job job, AttemptResult result, ModelEffect.Answered answer) {
        if (job.over) {
            return;
        }
        job.over = true;
        long duration = time.now() - job.startedAt;
        LoadReport report = answer == null ? null : answer.report();
        if (job.isProbe()) {
            broker.accept(new BrokerEvent.HealthCheckEnded(job.server, result, duration, report));
            return;
        }
        attempts.remove(job.ref, job);
        audit.ended(time.now(), job.ref, result);
        broker.accept(new BrokerEvent.AttemptEnded(
                job.ref,
                job.attempt,
                result,
                duration,
                answer == null ? Role.UNKNOWN : answer.role(),
                answer == null ? AbsentValue.NONE : answer.position(),
                report,
                new byte[1]));
    }
}
