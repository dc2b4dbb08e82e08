package crankwick.model;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * One group of databases as a state machine: (event, now) in, effects out, the same for the same seed. It has
 * no threads, sockets or clock, so that simulated time and sockets can both host it.
 *
 * <p>The log is the group's one history. A write is answered once another member has received its entry, as
 * in semi-synchronous replication; entries that nobody received leave with their primary. The most advanced
 * member takes over, of several the one that has been up longest. What a deposed primary does before it
 * learns of its successor is never answered.
 */
public final class GroupModel {
    private static final long ELECT_AGAIN = 200_000;
    /** Entries of the log that are kept behind the slowest member that is up. */
    private static final int LOG_TRIM = 4_096;

    private enum State {
        UP,
        HUNG,
        DOWN,
        FALLEN
    }

    /** An entry of the log. */
    private record Entry(String key, long commit) {}

    /** Work that a cold member was sent. */
    private record Sent(long at, double work) {}

    /** Something that falls due; {@code number} keeps the order of what falls due together. */
    private record Timer(long at, long number, Runnable task) {}

    /** A statement at a member, until it is answered or its connection ends. */
    private static final class Job {
        final ModelEvent.Query query;
        boolean running;
        boolean gone;

        Job(ModelEvent.Query query) {
            this.query = query;
        }
    }

    private static final class Member {
        final int index;
        State state = State.UP;
        boolean draining;
        /** It believes itself the primary, rightly or not. */
        boolean claims;
        /** Entries received and applied, counted from the log's beginning; when the last one is applied. */
        long received;

        long applied;
        long appliedAt;
        long shippedAt;
        /** A position that it can't tell less than. */
        long floor;
        /** How far its log reached when it last led. */
        long frozen;

        long startedAt = Long.MIN_VALUE / 2;
        int running;
        final Map<Long, Job> jobs = new LinkedHashMap<>();
        final ArrayDeque<Job> waiting = new ArrayDeque<>();
        final List<Long> silentProbes = new ArrayList<>();
        final ArrayDeque<Sent> pressure = new ArrayDeque<>();
        double pressed;

        Member(int index) {
            this.index = index;
        }
    }

    private final ModelSettings settings;
    private final SplittableRandom random;
    private final Member[] members;
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private final ArrayList<Entry> log = new ArrayList<>();
    /** Entries that were trimmed off the log's beginning. */
    private long trimmed;

    private final Map<String, Long> memory = new HashMap<>();
    private final ArrayDeque<Entry> memories = new ArrayDeque<>();
    /** Writes that wait for their entry to be received elsewhere, by the entry's place. */
    private final Map<Long, List<Job>> unacknowledged = new HashMap<>();
    /** Who takes writes, or -1; who did last; and a count that ends what belongs to an earlier leader. */
    private int leader;

    private int last;
    private long epoch;
    /** The last leader is not waited for any more. */
    private boolean givenUp;
    /** The position up to which the last leader has told its replicas that there is no more. */
    private long beat;

    private long numbers;
    private long now;
    private Consumer<ModelEffect> out;

    /** A group whose member 0 leads. */
    public GroupModel(ModelSettings settings, long seed, long now) {
        this.settings = settings;
        this.now = now;
        random = new SplittableRandom(seed);
        members = new Member[settings.members()];
        for (int i = 0; i < members.length; i++) {
            members[i] = new Member(i);
            members[i].floor = now;
        }
        members[0].claims = true;
        beat = now;
    }

    /** Takes one event. The clock never goes back. */
    public void handle(ModelEvent event, long time, Consumer<ModelEffect> effects) {
        now = time;
        out = effects;
        if (event instanceof ModelEvent.Query e) {
            onQuery(members[e.member()], e);
        } else if (event instanceof ModelEvent.Probe e) {
            onProbe(members[e.member()], e);
        } else if (event instanceof ModelEvent.Dropped e) {
            onDropped(e.ref());
        } else if (event instanceof ModelEvent.Trouble e) {
            onTrouble(members[e.member()], e.kind());
        } else {
            while (!timers.isEmpty() && timers.peek().at <= now) {
                timers.poll().task.run();
            }
        }
    }

    /** When {@link ModelEvent.ScheduledEvent} is wanted next; Long.MAX_VALUE for never. */
    public long nextDue() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at;
    }

    /** Who takes writes now, or -1. */
    public int leader() {
        return leader;
    }

    /** Whether a write would be answered now: somebody leads, and another member can receive its entry. */
    public boolean commits() {
        for (Member m : members) {
            if (leader >= 0 && m.index != leader && m.state == State.UP) {
                return true;
            }
        }
        return false;
    }

    /** Who took writes last, or does now. */
    public int lastLeader() {
        return last;
    }

    /** Whether connections to a member come up, and work there is answered. */
    public boolean answers(int member) {
        return members[member].state == State.UP;
    }

    /** Whether connections to a member are refused at once. */
    public boolean refuses(int member) {
        return members[member].state == State.DOWN || members[member].state == State.FALLEN;
    }

    private void after(long span, Runnable task) {
        timers.add(new Timer(now + span, numbers++, task));
    }

    private long between(long least, long most) {
        return least + (most > least ? random.nextLong(most - least) : 0);
    }

    // ---- Statements ----------------------------------------------------------------------------------

    private void onQuery(Member m, ModelEvent.Query query) {
        if (m.state == State.DOWN || m.state == State.FALLEN) {
            out.accept(new ModelEffect.Broken(query.ref(), m.index, true));
            return;
        }
        Job job = new Job(query);
        m.jobs.put(query.ref(), job);
        if (m.state == State.HUNG) {
            m.waiting.add(job);
        } else if (press(m, query.isWrite() ? settings.writeWork() : settings.readWork())) {
            return;
        } else if (m.draining || m.waiting.size() >= settings.queue()) {
            answer(m, job, AttemptResult.REJECTED_OVERLOADED);
        } else if (query.isWrite() && !m.claims) {
            answer(m, job, AttemptResult.INELIGIBLE_REPLICA);
        } else {
            m.waiting.add(job);
            begin(m);
        }
    }

    private void onProbe(Member m, ModelEvent.Probe probe) {
        if (m.state == State.DOWN || m.state == State.FALLEN) {
            out.accept(new ModelEffect.Broken(probe.ref(), m.index, true));
        } else if (m.state == State.HUNG) {
            m.silentProbes.add(probe.ref());
        } else {
            out.accept(
                    new ModelEffect.Answered(probe.ref(), m.index, AttemptResult.OK, role(m), position(m), report(m)));
        }
    }

    /** Work that has begun goes on when its connection ends; what only waits is forgotten. */
    private void onDropped(long ref) {
        for (Member m : members) {
            m.silentProbes.remove(ref);
            Job job = m.jobs.remove(ref);
            if (job != null) {
                job.gone = true;
                m.waiting.remove(job);
            }
        }
    }

    private void begin(Member m) {
        while (m.state == State.UP && m.running < settings.cores() && !m.waiting.isEmpty()) {
            Job job = m.waiting.poll();
            job.running = true;
            m.running++;
            long mean = job.query.isWrite() ? settings.writeWork() : settings.readWork();
            long work = (long) (-mean * Math.log(1 - random.nextDouble()) / warmth(m));
            long start = m.startedAt;
            after(Math.max(100, work), () -> worked(m, job, start));
        }
    }

    /** A core is done with a statement; one that hung meanwhile is done when its process goes on. */
    private void worked(Member m, Job job, long start) {
        if (m.startedAt != start || m.state == State.DOWN || m.state == State.FALLEN) {
            return;
        }
        if (m.state == State.HUNG) {
            after(ELECT_AGAIN, () -> worked(m, job, start));
            return;
        }
        m.running--;
        if (job.query.isWrite()) {
            write(m, job);
        } else {
            read(m, job, now + settings.readWait());
        }
        begin(m);
    }

    private void read(Member m, Job job, long until) {
        if (position(m) >= job.query.mustSee()) {
            answer(m, job, AttemptResult.OK);
        } else if (now >= until || job.gone) {
            answer(m, job, AttemptResult.INELIGIBLE_REPLICA);
        } else {
            after(1_000, () -> read(m, job, until));
        }
    }

    private void write(Member m, Job job) {
        if (!m.claims) {
            answer(m, job, AttemptResult.ERROR);
            return;
        }
        if (m.index != leader) {
            // Deposed and not aware of it: nobody receives the entry, so that the answer never leaves.
            return;
        }
        Long known = memory.get(job.query.key());
        long place;
        if (known != null && now - known < settings.keyTtl()) {
            place = placeOf(job.query.key(), known);
        } else {
            place = append(m, new Entry(job.query.key(), now));
        }
        if (place < 0 || heldElsewhere(m, place)) {
            answer(m, job, AttemptResult.OK);
        } else {
            unacknowledged.computeIfAbsent(place, p -> new ArrayList<>()).add(job);
        }
    }

    /** Where a remembered entry stands, if it may not have been received elsewhere; else -1. */
    private long placeOf(String key, long commit) {
        for (int i = log.size() - 1; i >= 0 && log.get(i).commit >= commit; i--) {
            if (log.get(i).key.equals(key)) {
                return trimmed + i;
            }
        }
        return -1;
    }

    private boolean heldElsewhere(Member m, long place) {
        for (Member other : members) {
            if (other != m && other.received > place) {
                return true;
            }
        }
        return false;
    }

    private long append(Member m, Entry entry) {
        log.add(entry);
        memory.put(entry.key, entry.commit);
        memories.add(entry);
        while (now - memories.peek().commit >= settings.keyTtl()) {
            Entry old = memories.poll();
            memory.remove(old.key, old.commit);
        }
        out.accept(new ModelEffect.Applied(entry.key));
        long place = trimmed + log.size() - 1;
        m.received = place + 1;
        m.applied = place + 1;
        long inEpoch = epoch;
        for (Member other : members) {
            if (other != m && other.state == State.UP) {
                other.shippedAt = Math.max(other.shippedAt, now + between(settings.shipLeast(), settings.shipMost()));
                timers.add(new Timer(other.shippedAt, numbers++, () -> receive(other, place, inEpoch)));
            }
        }
        trim();
        return place;
    }

    /** An entry reaches a replica, unless its sender has stopped or the replica has since caught up. */
    private void receive(Member m, long place, long inEpoch) {
        if (inEpoch != epoch || m.state != State.UP || place < m.received) {
            return;
        }
        m.received = place + 1;
        m.appliedAt = Math.max(m.appliedAt, now) + settings.applyWork();
        timers.add(new Timer(
                m.appliedAt,
                numbers++,
                () -> m.applied = Math.max(m.applied, Math.min(place + 1, trimmed + log.size()))));
        List<Job> waiting = unacknowledged.remove(place);
        if (waiting != null) {
            waiting.forEach(job -> answer(members[leader], job, AttemptResult.OK));
        }
    }

    private void trim() {
        if (log.size() >= 2 * LOG_TRIM) {
            log.subList(0, LOG_TRIM).clear();
            trimmed += LOG_TRIM;
            for (Member m : members) {
                m.received = Math.max(m.received, trimmed);
                m.applied = Math.max(m.applied, trimmed);
            }
        }
    }

    private void answer(Member m, Job job, AttemptResult result) {
        m.jobs.remove(job.query.ref());
        if (!job.gone) {
            boolean commit = job.query.isWrite() && result == AttemptResult.OK;
            out.accept(new ModelEffect.Answered(
                    job.query.ref(), m.index, result, role(m), commit ? now : position(m), report(m)));
        }
    }

    private Role role(Member m) {
        return m.claims ? Role.PRIMARY : Role.REPLICA;
    }

    /** A primary stands at the present, a deposed one where it was; a replica before what it has to apply. */
    private long position(Member m) {
        if (m.index == leader) {
            beat = now;
            m.floor = now;
        } else if (m.claims) {
            m.floor = Math.max(m.floor, m.frozen);
        } else if (m.applied < trimmed + log.size()) {
            m.floor = Math.max(m.floor, log.get((int) (m.applied - trimmed)).commit - 1);
        } else {
            m.floor = Math.max(m.floor, (leader >= 0 ? now : beat) - settings.shipMost());
        }
        return m.floor;
    }

    private LoadReport report(Member m) {
        return new LoadReport(
                position(m), role(m), m.waiting.size(), Math.min(1, m.running / (double) settings.cores()), Double.NaN);
    }

    // ---- Changes -------------------------------------------------------------------------------------

    private void onTrouble(Member m, ModelEvent.Trouble.Kind kind) {
        switch (kind) {
            case DIE -> stop(m, State.DOWN);
            case HANG -> hang(m);
            case DRAIN -> drain(m);
            default -> comeBack(m);
        }
    }

    private void stop(Member m, State state) {
        if (m.state == State.DOWN || m.state == State.FALLEN) {
            return;
        }
        m.state = state;
        m.running = 0;
        m.waiting.clear();
        List<Long> refs = new ArrayList<>(m.jobs.keySet());
        refs.addAll(m.silentProbes);
        m.jobs.values().forEach(job -> job.gone = true);
        m.jobs.clear();
        m.silentProbes.clear();
        refs.forEach(ref -> out.accept(new ModelEffect.Broken(ref, m.index, false)));
        loseLeader(m);
    }

    private void hang(Member m) {
        if (m.state == State.UP) {
            m.state = State.HUNG;
            loseLeader(m);
        }
    }

    private void loseLeader(Member m) {
        if (m.index != leader) {
            return;
        }
        vacate(m);
        long inEpoch = epoch;
        after(between(settings.giveUpLeast(), settings.giveUpMost()), () -> {
            if (epoch == inEpoch) {
                epoch++;
                givenUp = true;
                level(m);
                awaitTakeover();
            }
        });
    }

    /** Shipments under way end with the leadership: what they carry was received by nobody. */
    private void vacate(Member m) {
        beat = now;
        m.frozen = now;
        leader = -1;
        epoch++;
        givenUp = false;
        out.accept(new ModelEffect.Vacant(m.index, false));
    }

    private void awaitTakeover() {
        long inEpoch = epoch;
        after(between(settings.takeoverLeast(), settings.takeoverMost()), () -> takeOver(inEpoch));
    }

    private void takeOver(long inEpoch) {
        if (epoch != inEpoch) {
            return;
        }
        Member best = null;
        for (Member m : members) {
            boolean fit = m.state == State.UP && !m.draining && m.index != last;
            if (fit
                    && (best == null
                            || m.received > best.received
                            || m.received == best.received && m.startedAt < best.startedAt)) {
                best = m;
            }
        }
        if (best == null) {
            after(ELECT_AGAIN, () -> takeOver(inEpoch));
            return;
        }
        lead(best);
    }

    /** Members that are up exchange what they have; what none of them has leaves the log. */
    private void level(Member old) {
        long most = trimmed;
        for (Member m : members) {
            most = m != old ? Math.max(most, m.received) : most;
        }
        while (trimmed + log.size() > most) {
            Entry lost = log.remove(log.size() - 1);
            memory.remove(lost.key, lost.commit);
            memories.remove(lost);
            out.accept(new ModelEffect.Undone(lost.key));
        }
        unacknowledged.clear();
        for (Member m : members) {
            m.received = m.state == State.UP || m == old ? most : m.received;
            m.applied = Math.min(m.applied, most);
        }
    }

    private void lead(Member m) {
        Member old = members[last];
        m.received = trimmed + log.size();
        m.applied = m.received;
        m.claims = true;
        leader = m.index;
        last = m.index;
        epoch++;
        if (old != m && old.state == State.UP) {
            demote(old);
        }
        out.accept(new ModelEffect.Led(m.index));
    }

    /** It learns that another leads: what it holds unanswered may have run, what only waits has not. */
    private void demote(Member m) {
        m.claims = false;
        m.received = trimmed + log.size();
        m.applied = m.received;
        for (Job job : List.copyOf(m.jobs.values())) {
            if (job.query.isWrite() && (job.running || !m.waiting.contains(job))) {
                answer(m, job, AttemptResult.ERROR);
            } else if (job.query.isWrite()) {
                m.waiting.remove(job);
                answer(m, job, AttemptResult.INELIGIBLE_REPLICA);
            }
        }
    }

    private void drain(Member m) {
        if (m.state != State.UP || m.draining) {
            return;
        }
        m.draining = true;
        if (m.index != leader) {
            return;
        }
        out.accept(new ModelEffect.Vacant(m.index, true));
        long inEpoch = epoch;
        after(between(settings.drainLeast(), settings.drainMost()), () -> {
            if (epoch == inEpoch) {
                for (Member other : members) {
                    other.received = other.state == State.UP ? trimmed + log.size() : other.received;
                }
                unacknowledged.values().forEach(jobs -> jobs.forEach(job -> answer(m, job, AttemptResult.OK)));
                unacknowledged.clear();
                m.frozen = now;
                beat = now;
                leader = -1;
                epoch++;
                givenUp = true;
                takeOver(epoch);
            }
        });
    }

    private void comeBack(Member m) {
        if (m.state == State.FALLEN) {
            return;
        }
        boolean restarted = m.state == State.DOWN || m.draining && m.index != leader && m.index != last;
        if (restarted) {
            stop(m, State.DOWN);
            m.startedAt = now;
            m.pressure.clear();
            m.pressed = 0;
        }
        boolean hung = m.state == State.HUNG;
        m.state = State.UP;
        m.draining = m.draining && !restarted;
        if (m.index == last && leader < 0 && !m.draining) {
            reclaim(m);
        } else if (m.claims && m.index != leader) {
            long inStart = m.startedAt;
            after(between(0, settings.claimMost()), () -> {
                if (m.claims && m.index != leader && m.startedAt == inStart && m.state == State.UP) {
                    demote(m);
                }
            });
        } else if (m.index != leader) {
            m.received = trimmed + log.size();
            m.applied = m.received;
        }
        if (hung) {
            m.silentProbes.forEach(ref -> out.accept(
                    new ModelEffect.Answered(ref, m.index, AttemptResult.OK, role(m), position(m), report(m))));
            m.silentProbes.clear();
            begin(m);
        }
    }

    /** Back before it was given up, a primary goes on; after that, it only claims to. */
    private void reclaim(Member m) {
        if (!givenUp) {
            leader = m.index;
            epoch++;
            m.claims = true;
            out.accept(new ModelEffect.Led(m.index));
            shipAgain(m);
        } else {
            long inStart = m.startedAt;
            after(between(0, settings.claimMost()), () -> {
                if (m.index != leader && m.startedAt == inStart && m.state == State.UP) {
                    demote(m);
                }
            });
        }
    }

    private void shipAgain(Member m) {
        long inEpoch = epoch;
        for (Member other : members) {
            if (other != m && other.state == State.UP) {
                for (long place = other.received; place < trimmed + log.size(); place++) {
                    long entry = place;
                    other.shippedAt =
                            Math.max(other.shippedAt, now + between(settings.shipLeast(), settings.shipMost()));
                    timers.add(new Timer(other.shippedAt, numbers++, () -> receive(other, entry, inEpoch)));
                }
            }
        }
    }

    // ---- Cold start ----------------------------------------------------------------------------------

    private double warmth(Member m) {
        double share = Math.min(1, Math.max(0, (now - m.startedAt) / (double) settings.ramp()));
        return settings.startCapacity() + (1 - settings.startCapacity()) * share;
    }

    /** Counts work against what a cold member bears; true if that brought it down. */
    private boolean press(Member m, double work) {
        if (warmth(m) >= 1) {
            return false;
        }
        m.pressure.add(new Sent(now, work));
        m.pressed += work;
        while (m.pressure.peek().at < now - settings.tipAfter()) {
            m.pressed -= m.pressure.poll().work;
        }
        double bears = settings.fallMultiple() * warmth(m) * settings.cores() * settings.tipAfter();
        if (m.pressed <= bears) {
            return false;
        }
        stop(m, State.FALLEN);
        out.accept(new ModelEffect.Fell(m.index));
        return true;
    }

    /** When a member last started, in microseconds; 0 for long ago. */
    public long startedAt(int member) {
        return Math.max(0, members[member].startedAt);
    }

    /** Whether a member turns new work away before it ends. */
    public boolean drains(int member) {
        return members[member].draining;
    }
}
