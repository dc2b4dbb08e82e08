package crankwick.lab;

import crankwick.RouterApi;
import crankwick.RouterApi.Limits;
import crankwick.RouterApi.ListKind;
import crankwick.RouterApi.ListRole;
import crankwick.RouterApi.Member;
import crankwick.RouterApi.Need;
import crankwick.RouterApi.Prices;
import crankwick.RouterApi.Repeat;
import crankwick.RouterApi.Report;
import crankwick.RouterApi.RequestClass;
import crankwick.RouterApi.Result;
import crankwick.RouterApi.Role;
import crankwick.RouterApi.Rules;
import crankwick.RouterApi.Scope;
import crankwick.RouterApi.Settings;
import crankwick.RouterApi.Standing;
import crankwick.RouterApi.WhenBehind;
import crankwick.broker.Broker;
import crankwick.broker.BrokerEvent;
import crankwick.broker.Call;
import crankwick.broker.Contract;
import crankwick.broker.Effect;
import crankwick.broker.Reply;
import crankwick.handover.HandoverCounters;
import crankwick.handover.HandoverSettings;
import crankwick.model.GroupModel;
import crankwick.model.ModelEffect;
import crankwick.model.ModelEvent;
import crankwick.model.ModelEvent.Trouble.Kind;
import crankwick.model.ModelSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Explores changes of primaries in simulated time: the real broker, router and handover over modelled groups,
 * with delays, lost connections, troubles and restarts of the proxy drawn by seed, checked at every step by
 * {@link HandoverAudit}. The same options give the same run (as in FoundationDB's simulation testing; Zhou et
 * al., SIGMOD 2021).
 */
public final class HandoverLab {
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
    public record Options(int groups, int failovers, long seed, HandoverSettings handover, Fault fault) {}

    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final long START = 1_000_000 * SECOND;
    private static final long CONNECT_TIMEOUT = 250 * MS;
    private static final long PROBE_TIMEOUT = 250 * MS;
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
    /** In ten thousand: connections that break before, under, and after the work. */
    private static final int BREAKS = 20;

    private static final int RETRIES = 3;
    /** In a hundred, clients that ask again with a key that has failed. */
    private static final int IMPATIENT = 50;

    /** An attempt or a probe on its way to a member, at it, or on its way back. */
    private static final class Job {
        final long ref;
        final int attempt;
        final String server;
        final long startedAt;
        final long modelRef;
        boolean written;
        boolean over;

        Job(long ref, int attempt, String server, long startedAt, long modelRef) {
            this.ref = ref;
            this.attempt = attempt;
            this.server = server;
            this.startedAt = startedAt;
            this.modelRef = modelRef;
        }

        boolean isProbe() {
            return attempt < 0;
        }
    }

    private static final class Group {
        final int id;
        final GroupModel model;
        long dueAt = Long.MAX_VALUE;
        final Role[] shownRole;
        final long[] shownStart;
        int lastLeader;

        Group(int id, GroupModel model, int members) {
            this.id = id;
            this.model = model;
            shownRole = new Role[members];
            shownStart = new long[members];
            for (int i = 0; i < members; i++) {
                shownRole[i] = i == 0 ? Role.PRIMARY : Role.REPLICA;
            }
        }
    }

    /** A client's request with all its tries. */
    private record Wish(int group, int cls, String key, long mustSee, int tries, long until, boolean doubtful) {
        Wish again(int more, long newUntil, boolean nowDoubtful) {
            return new Wish(group, cls, key, mustSee, tries + more, newUntil, doubtful || nowDoubtful);
        }
    }

    private final Options options;
    private final Simulation time = new Simulation(START);
    private final SplittableRandom random;
    private final ModelSettings figures = ModelSettings.SITE;
    private final Settings settings;
    private final HandoverSettings changes;
    private final HandoverAudit audit;
    private final List<Group> groups = new ArrayList<>();
    private final Map<Long, Job> atModels = new HashMap<>();
    private final Map<Long, Job> attempts = new LinkedHashMap<>();
    private final Map<Long, Wish> wishes = new HashMap<>();
    private Broker broker;
    private long generation;
    private long refs;
    private long modelRefs;
    private long keys;
    private long heldMax;
    private long restarts;
    private boolean ending;

    /** Prepares a run. */
    public HandoverLab(Options options) {
        this.options = options;
        random = new SplittableRandom(options.seed());
        boolean endless = options.fault() == Fault.RESEND_AFTER_WINDOW;
        settings = settings(endless ? 60 * SECOND : KEY_TTL);
        HandoverSettings d = options.handover();
        changes = d == null || options.fault() != Fault.RELEASE_WITHOUT_PACE
                ? d
                : new HandoverSettings(
                        d.heldPerGroup(),
                        d.heldPerTeam(),
                        d.bytesPerGroup(),
                        d.bytesPerTeam(),
                        d.hopeLeast(),
                        1_000_000,
                        d.keyMargin(),
                        d.keys(),
                        d.keyMemory(),
                        d.unplannedLeast(),
                        d.unplannedMost(),
                        d.plannedLeast(),
                        d.plannedMost());
        audit = new HandoverAudit(
                options.groups(),
                settings.rules().answerSlack(),
                settings.rules().drainGrace(),
                KEY_TTL,
                HandoverSettings.DEFAULT.startWindow());
    }

    /** As the site has them: a session read, a read that must be current, and a keyed write. */
    private static Settings settings(long keyTtl) {
        return new Settings(
                1,
                0,
                false,
                true,
                true,
                WhenBehind.WAIT,
                ListRole.LATE,
                new Rules(20 * MS, 2 * SECOND, false, 0.18, 16 * SECOND, 2.5, 2 * SECOND),
                new Limits(true, true, true, 2 * SECOND, 8, CONNECT_TIMEOUT),
                new Prices(0.0095, 0.021, 0.05),
                List.of(
                        new RequestClass(
                                Need.SESSION, 0, Repeat.SAFE, Scope.ALL, 5 * SECOND, 500 * MS, 1_200 * MS, 1, 0),
                        new RequestClass(Need.FRESH, 0, Repeat.SAFE, Scope.ALL, 5 * SECOND, 600 * MS, 2 * SECOND, 1, 0),
                        new RequestClass(
                                Need.WRITE, 0, Repeat.KEYED, Scope.GROUP, keyTtl, 750 * MS, 3 * SECOND, 6, 0.5)));
    }

    /** Runs to the end; the figures, of which "violations" must be 0. */
    public Map<String, Object> run() {
        long began = System.nanoTime();
        for (int i = 0; i < options.groups(); i++) {
            Group g = new Group(i, new GroupModel(figures, random.nextLong(), START), figures.members());
            groups.add(g);
            nextArrival(g);
            nextTrouble(g);
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

    private long between(long least, long most) {
        return least + random.nextLong(most - least);
    }

    private boolean chance(int inTenThousand) {
        return random.nextInt(10_000) < inTenThousand;
    }

    /** One way over the network: mostly under half a millisecond, now and then some twenty. */
    private long way() {
        return chance(100) ? between(MS, 20 * MS) : between(100, 500);
    }

    // ---- Clients -------------------------------------------------------------------------------------

    private void nextArrival(Group g) {
        time.after((long) (-Math.log(1 - random.nextDouble()) * SECOND / RATE), () -> {
            if (!ending) {
                double draw = random.nextDouble();
                int cls = draw < WRITES ? RESERVE : draw < WRITES + CHECKS ? CHECK : OWN;
                long mustSee = cls == OWN ? time.now() - between(50 * MS, 2 * SECOND) : RouterApi.NONE;
                ask(new Wish(g.id, cls, cls == RESERVE ? "k" + keys++ : null, mustSee, 0, Long.MAX_VALUE, false));
                nextArrival(g);
            }
        });
    }

    private void ask(Wish wish) {
        long patience = Math.min(settings.classes().get(wish.cls()).deadline(), wish.until() - time.now());
        if (patience <= 0) {
            return;
        }
        long ref = ++refs;
        wishes.put(ref, wish);
        audit.asked(time.now(), ref, wish.group(), wish.key(), time.now() + patience);
        tell(new BrokerEvent.Taken(new Call(
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
        if (reply instanceof Reply.Refused r && wish.tries() < RETRIES && !ending) {
            time.after(Math.max(10 * MS, r.retryAfter()), () -> ask(wish.again(1, wish.until(), false)));
        } else if (reply instanceof Reply.Failed
                && wish.key() != null
                && !wish.doubtful()
                && !ending
                && changes != null
                && random.nextInt(100) < IMPATIENT) {
            long alive = generation;
            time.after(between(50 * MS, SECOND), () -> {
                if (alive == generation) {
                    ask(wish.again(1, wish.until(), true));
                }
            });
        }
    }

    // ---- The proxy -----------------------------------------------------------------------------------

    private void startProxy() {
        generation++;
        broker = new Broker(settings, random.nextLong(), Map.of("", Contract.UNLIMITED), changes);
        List<Member> all = new ArrayList<>();
        for (Group g : groups) {
            for (int m = 0; m < figures.members(); m++) {
                Member entry = entry(g, m);
                audit.told(time.now(), entry.server(), entry.standing() != Standing.LIVE);
                all.add(entry);
            }
        }
        tell(new BrokerEvent.Listed(ListKind.RESTORED, all));
    }

    private void nextRestart() {
        time.after(between(60 * SECOND, 180 * SECOND), () -> {
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
        for (Job job : List.copyOf(atModels.values())) {
            job.over = true;
            atModels.remove(job.modelRef);
            drop(job);
        }
        attempts.clear();
        for (HandoverAudit.Asked a : audit.open()) {
            audit.lost(a);
            audit.ended(time.now(), a.ref, Result.NOT_SENT);
            Wish wish = wishes.remove(a.ref);
            long wait = between(50 * MS, 300 * MS);
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
        HandoverCounters counters =
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
        if (effect instanceof Effect.Send e) {
            send(e);
            if (options.fault() == Fault.HELD_SENT_TWICE
                    && broker.handover().counters().released() > 0) {
                audit.sent(time.now(), e.ref(), e.server());
            }
        } else if (effect instanceof Effect.Answer e) {
            answered(e.ref(), e.reply());
        } else if (effect instanceof Effect.Withdraw e) {
            Job job = attempts.remove(e.ref());
            if (job != null) {
                job.over = true;
                audit.ended(time.now(), e.ref(), job.written ? Result.CANCELLED : Result.NOT_SENT);
                time.after(way(), () -> drop(job));
            }
        } else if (effect instanceof Effect.Recall e) {
            Job job = attempts.get(e.ref());
            if (job != null && !job.written) {
                end(job, Result.NOT_SENT, null);
            }
        } else if (effect instanceof Effect.Probe e) {
            probe(e.server());
        } else if (effect instanceof Effect.Arm e) {
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

    // ---- The network ---------------------------------------------------------------------------------

    private Group groupOf(String server) {
        return groups.get(Integer.parseInt(server.substring(1, server.indexOf('m'))));
    }

    private static int memberOf(String server) {
        return Integer.parseInt(server.substring(server.indexOf('m') + 1));
    }

    private static String name(Group g, int member) {
        return "g" + g.id + "m" + member;
    }

    private void send(Effect.Send e) {
        audit.sent(time.now(), e.ref(), e.server());
        Job job = new Job(e.ref(), e.attempt(), e.server(), time.now(), ++modelRefs);
        attempts.put(e.ref(), job);
        travel(job);
    }

    private void probe(String server) {
        Job job = new Job(-1, -1, server, time.now(), ++modelRefs);
        travel(job);
        time.after(PROBE_TIMEOUT, () -> end(job, Result.TIMEOUT, null));
    }

    /** A hung machine accepts no new connection; half of the attempts find one that is open. */
    private void travel(Job job) {
        long alive = generation;
        GroupModel model = groupOf(job.server).model;
        int member = memberOf(job.server);
        if (!model.answers(member) && !model.refuses(member) && random.nextBoolean()) {
            time.after(CONNECT_TIMEOUT, () -> end(job, Result.UNREACHABLE, null));
            return;
        }
        if (chance(BREAKS)) {
            time.after(way(), () -> end(job, Result.DROPPED, null));
            return;
        }
        time.after(way(), () -> {
            if (job.over || alive != generation) {
                return;
            }
            atModels.put(job.modelRef, job);
            if (!job.isProbe() && !model.refuses(member)) {
                job.written = true;
                tell(new BrokerEvent.Written(job.ref, job.attempt));
            }
            Wish wish = wishes.get(job.ref);
            at(
                    groupOf(job.server),
                    job.isProbe()
                            ? new ModelEvent.Probe(job.modelRef, member)
                            : new ModelEvent.Query(job.modelRef, member, wish.key(), wish.mustSee()));
            if (chance(BREAKS)) {
                time.after(way(), () -> {
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
        at(groupOf(job.server), new ModelEvent.Dropped(job.modelRef));
    }

    private void at(Group g, ModelEvent event) {
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

    private void onModel(Group g, ModelEffect effect) {
        audit.history(time.now(), g.id, effect);
        if (effect instanceof ModelEffect.Answered e) {
            Job job = atModels.remove(e.ref());
            if (job != null) {
                boolean lost = chance(BREAKS);
                time.after(way(), () -> end(job, lost ? Result.RESET : e.result(), lost ? null : e));
            }
        } else if (effect instanceof ModelEffect.Broken e) {
            Job job = atModels.remove(e.ref());
            if (job != null) {
                time.after(way(), () -> end(job, e.refused() ? Result.UNREACHABLE : Result.RESET, null));
            }
        } else if (effect instanceof ModelEffect.Led e) {
            onLed(g, e.member());
        }
    }

    private void onLed(Group g, int member) {
        long change = audit.changed(g.id, g.lastLeader != member);
        long ledAt = time.now();
        boolean commits = g.model.commits();
        time.after(HandoverAudit.MARGIN, () -> {
            if (commits && g.model.commits()) {
                audit.stable(g.id, change, ledAt, name(g, member), ledAt < g.model.startedAt(member) + figures.ramp());
            }
        });
        int old = g.lastLeader;
        g.lastLeader = member;
        time.after(between(2_800 * MS, 4_900 * MS), () -> {
            g.shownRole[old] = Role.REPLICA;
            g.shownRole[member] = Role.PRIMARY;
            list(g, old);
            list(g, member);
        });
    }

    private void end(Job job, Result result, ModelEffect.Answered answer) {
        if (job.over) {
            return;
        }
        job.over = true;
        long duration = time.now() - job.startedAt;
        Report report = answer == null ? null : answer.report();
        if (job.isProbe()) {
            tell(new BrokerEvent.Probed(job.server, result, duration, report));
            return;
        }
        attempts.remove(job.ref, job);
        audit.ended(time.now(), job.ref, result);
        tell(new BrokerEvent.Ended(
                job.ref,
                job.attempt,
                result,
                duration,
                answer == null ? Role.UNKNOWN : answer.role(),
                answer == null ? RouterApi.NONE : answer.position(),
                report,
                new byte[1]));
    }

    // ---- The list ------------------------------------------------------------------------------------

    private Member entry(Group g, int m) {
        boolean drains = g.model.drains(m);
        return new Member(
                name(g, m), 0, g.id, g.shownRole[m], drains ? Standing.DRAINING : Standing.LIVE, g.shownStart[m]);
    }

    private void list(Group g, int m) {
        Member entry = entry(g, m);
        audit.told(time.now(), entry.server(), entry.standing() != Standing.LIVE);
        audit.note(time.now(), g.id, -1, "listed " + entry);
        tell(new BrokerEvent.Listed(ListKind.CHANGES, List.of(entry)));
        if (options.fault() == Fault.LATE_LIST_BELIEVED && entry.role() == Role.PRIMARY) {
            tell(new BrokerEvent.Probed(
                    entry.server(), Result.OK, 0, new Report(time.now(), Role.PRIMARY, 0, 0, Double.NaN)));
        }
    }

    // ---- Troubles ------------------------------------------------------------------------------------

    private void nextTrouble(Group g) {
        time.after(300 * MS + (long) (-Math.log(1 - random.nextDouble()) * 8 * SECOND), () -> {
            if (!ending) {
                trouble(g);
                nextTrouble(g);
            }
        });
    }

    private void trouble(Group g) {
        int leader = g.model.leader();
        int draw = random.nextInt(100);
        if (leader < 0 || !othersAnswer(g, leader)) {
            return;
        }
        if (draw < 30) {
            befall(g, leader, Kind.DRAIN);
            time.after(between(20 * MS, 300 * MS), () -> list(g, leader));
            back(g, leader, between(1_500 * MS, 4 * SECOND));
        } else if (draw < 90) {
            befall(g, leader, draw < 65 ? Kind.DIE : Kind.HANG);
            back(g, leader, between(600 * MS, 12 * SECOND));
            if (random.nextInt(100) < 15) {
                time.after(between(3 * SECOND, 5 * SECOND), () -> loseElected(g));
            }
        } else {
            int replica = (leader + 1) % figures.members();
            befall(g, replica, Kind.DIE);
            back(g, replica, between(600 * MS, 3 * SECOND));
        }
    }

    /** The next trouble of a leader waits until the group has all its members again. */
    private boolean othersAnswer(Group g, int leader) {
        for (int m = 0; m < figures.members(); m++) {
            if (m != leader && (!g.model.answers(m) || g.model.drains(m))) {
                return false;
            }
        }
        return true;
    }

    /** One that might be about to take over, or just has, dies too, if another remains. */
    private void loseElected(Group g) {
        int victim = (g.model.lastLeader() + 1) % figures.members();
        int other = (victim + 1) % figures.members() == g.model.lastLeader()
                ? (victim + 2) % figures.members()
                : (victim + 1) % figures.members();
        if (g.model.leader() < 0 && g.model.answers(victim) && g.model.answers(other)) {
            befall(g, victim, Kind.DIE);
            back(g, victim, between(SECOND, 3 * SECOND));
        }
    }

    private void befall(Group g, int member, Kind kind) {
        audit.note(time.now(), g.id, -1, name(g, member) + " " + kind);
        at(g, new ModelEvent.Trouble(kind, member));
    }

    private void back(Group g, int member, long after) {
        time.after(after, () -> {
            if (g.model.drains(member) && (g.model.leader() == member || g.model.leader() < 0)) {
                back(g, member, 500 * MS);
                return;
            }
            befall(g, member, Kind.RETURN);
            time.after(between(20 * MS, 300 * MS), () -> list(g, member));
            time.after(between(2_800 * MS, 4_900 * MS), () -> {
                g.shownStart[member] = g.model.startedAt(member);
                list(g, member);
            });
        });
    }
}
