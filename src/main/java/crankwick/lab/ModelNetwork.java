package crankwick.lab;

import crankwick.RouterApi;
import crankwick.RouterApi.Report;
import crankwick.RouterApi.Result;
import crankwick.RouterApi.Role;
import crankwick.broker.BrokerEvent;
import crankwick.broker.Effect;
import crankwick.model.GroupModel;
import crankwick.model.ModelEffect;
import crankwick.model.ModelEvent;
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

    private final Simulation time;
    private final LabRandom random;
    private final HandoverAudit audit;
    private final List<LabGroup> groups;
    /** Who is told of attempts and probes; and of who leads a group now. */
    private final Consumer<BrokerEvent> broker;

    private final BiConsumer<LabGroup, Integer> leaders;
    private final Map<Long, Job> atModels = new HashMap<>();
    private final Map<Long, Job> attempts = new LinkedHashMap<>();
    private long generation;
    private long modelRefs;

    ModelNetwork(
            Simulation time,
            LabRandom random,
            HandoverAudit audit,
            List<LabGroup> groups,
            Consumer<BrokerEvent> broker,
            BiConsumer<LabGroup, Integer> leaders) {
        this.time = time;
        this.random = random;
        this.audit = audit;
        this.groups = groups;
        this.broker = broker;
        this.leaders = leaders;
    }

    private LabGroup group(String server) {
        return groups.get(LabGroup.groupOf(server));
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
            audit.ended(time.now(), ref, job.written ? Result.CANCELLED : Result.NOT_SENT);
            time.after(random.way(), () -> drop(job));
        }
    }

    /** An attempt of which nothing has been written ends. */
    void recall(long ref) {
        Job job = attempts.get(ref);
        if (job != null && !job.written) {
            end(job, Result.NOT_SENT, null);
        }
    }

    /** Sends an attempt, with its idempotency key and the position that it must see. */
    void send(Effect.Send e, String key, long mustSee) {
        audit.sent(time.now(), e.ref(), e.server());
        Job job = new Job(e.ref(), e.attempt(), e.server(), time.now(), ++modelRefs, key, mustSee);
        attempts.put(e.ref(), job);
        travel(job);
    }

    void probe(String server) {
        Job job = new Job(-1, -1, server, time.now(), ++modelRefs, null, RouterApi.NONE);
        travel(job);
        time.after(PROBE_TIMEOUT, () -> end(job, Result.TIMEOUT, null));
    }

    /** A hung machine accepts no new connection; half of the attempts find one that is open. */
    private void travel(Job job) {
        long alive = generation;
        GroupModel model = group(job.server).model;
        int member = LabGroup.memberOf(job.server);
        if (!model.answers(member) && !model.refuses(member) && random.flip()) {
            time.after(CONNECT_TIMEOUT, () -> end(job, Result.UNREACHABLE, null));
            return;
        }
        if (random.chance(BREAKS)) {
            time.after(random.way(), () -> end(job, Result.DROPPED, null));
            return;
        }
        time.after(random.way(), () -> {
            if (job.over || alive != generation) {
                return;
            }
            atModels.put(job.modelRef, job);
            if (!job.isProbe() && !model.refuses(member)) {
                job.written = true;
                broker.accept(new BrokerEvent.Written(job.ref, job.attempt));
            }
            at(
                    group(job.server),
                    job.isProbe()
                            ? new ModelEvent.Probe(job.modelRef, member)
                            : new ModelEvent.Query(job.modelRef, member, job.key, job.mustSee));
            if (random.chance(BREAKS)) {
                time.after(random.way(), () -> {
                    if (atModels.containsKey(job.modelRef)) {
                        drop(job);
                        end(job, Result.RESET, null);
                    }
                });
            }
        });
    }

    private void drop(Job job) {
        atModels.remove(job.modelRef);
        at(group(job.server), new ModelEvent.Dropped(job.modelRef));
    }

    /** Puts an event to a group, and carries out what follows. */
    void at(LabGroup g, ModelEvent event) {
        List<ModelEffect> effects = new ArrayList<>(2);
        g.model.handle(event, time.now(), effects::add);
        for (ModelEffect effect : effects) {
            onModel(g, effect);
        }
        long due = g.model.nextDue();
        if (due < g.dueAt) {
            g.dueAt = due;
            time.at(due, () -> {
                if (g.dueAt == due) {
                    g.dueAt = Long.MAX_VALUE;
                    at(g, new ModelEvent.Due());
                }
            });
        }
    }

    private void onModel(LabGroup g, ModelEffect effect) {
        audit.history(time.now(), g.id, effect);
        if (effect instanceof ModelEffect.Answered e) {
            Job job = atModels.remove(e.ref());
            if (job != null) {
                boolean lost = random.chance(BREAKS);
                time.after(random.way(), () -> end(job, lost ? Result.RESET : e.result(), lost ? null : e));
            }
        } else if (effect instanceof ModelEffect.Broken e) {
            Job job = atModels.remove(e.ref());
            if (job != null) {
                time.after(random.way(), () -> end(job, e.refused() ? Result.UNREACHABLE : Result.RESET, null));
            }
        } else if (effect instanceof ModelEffect.Led e) {
            leaders.accept(g, e.member());
        }
    }

    private void end(Job job, Result result, ModelEffect.Answered answer) {
        if (job.over) {
            return;
        }
        job.over = true;
        long duration = time.now() - job.startedAt;
        Report report = answer == null ? null : answer.report();
        if (job.isProbe()) {
            broker.accept(new BrokerEvent.Probed(job.server, result, duration, report));
            return;
        }
        attempts.remove(job.ref, job);
        audit.ended(time.now(), job.ref, result);
        broker.accept(new BrokerEvent.Ended(
                job.ref,
                job.attempt,
                result,
                duration,
                answer == null ? Role.UNKNOWN : answer.role(),
                answer == null ? RouterApi.NONE : answer.position(),
                report,
                new byte[1]));
    }
}
