package crankwick.simulation;

import crankwick.model.ModelEvent;
import crankwick.model.ModelEvent.FaultInjected.Kind;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

/** Deaths, hangs and drains of a group's members, drawn by seed, and their return. */
final class FaultSchedule {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;

    private final SimulatedClock time;
    private final SimulationRandom random;
    private final FailoverAudit audit;
    private final ModelNetwork network;
    private final int members;
    /** Lists a member as it is shown by now. */
    private final BiConsumer<SimulatedGroup, Integer> lists;

    private final BooleanSupplier ending;

    FaultSchedule(
            SimulatedClock time,
            SimulationRandom random,
            FailoverAudit audit,
            ModelNetwork network,
            int members,
            BiConsumer<SimulatedGroup, Integer> lists,
            BooleanSupplier ending) {
        this.time = time;
        this.random = random;
        this.audit = audit;
        this.network = network;
        this.members = members;
        this.lists = lists;
        this.ending = ending;
    }

    /** Draws the next trouble of a group, and so on until the run comes to its end. */
    void next(SimulatedGroup g) {
        time.after(300 * MS + random.exponential(8.0 * SECOND), () -> {
            if (!ending.getAsBoolean()) {
                trouble(g);
                next(g);
            }
        });
    }

    private void trouble(SimulatedGroup g) {
        int leader = g.model.leader();
        int draw = random.percent();
        if (leader < 0 || !othersAnswer(g, leader)) {
            return;
        }
        if (draw < 30) {
            befall(g, leader, Kind.DRAIN);
            time.after(random.between(20 * MS, 300 * MS), () -> lists.accept(g, leader));
            back(g, leader, random.between(1_500 * MS, 4 * SECOND));
        } else if (draw < 90) {
            befall(g, leader, draw < 65 ? Kind.CRASH : Kind.HANG);
            back(g, leader, random.between(600 * MS, 12 * SECOND));
            if (random.percent() < 15) {
                time.after(random.between(3 * SECOND, 5 * SECOND), () -> loseElected(g));
            }
        } else {
            int replica = (leader + 1) % members;
            befall(g, replica, Kind.CRASH);
            back(g, replica, random.between(600 * MS, 3 * SECOND));
        }
    }

    /** The next trouble of a leader waits until the group has all its members again. */
    private boolean othersAnswer(SimulatedGroup g, int leader) {
        for (int m = 0; m < members; m++) {
            if (m != leader && (!g.model.isResponsive(m) || g.model.isDraining(m))) {
                return false;
            }
        }
        return true;
    }

    /** One that might be about to take over, or just has, dies too, if another remains. */
    private void loseElected(SimulatedGroup g) {
        int victim = (g.model.lastLeader() + 1) % members;
        int other = (victim + 1) % members == g.model.lastLeader() ? (victim + 2) % members : (victim + 1) % members;
        if (g.model.leader() < 0 && g.model.isResponsive(victim) && g.model.isResponsive(other)) {
            befall(g, victim, Kind.CRASH);
            back(g, victim, random.between(SECOND, 3 * SECOND));
        }
    }

    private void befall(SimulatedGroup g, int member, Kind kind) {
        audit.note(time.now(), g.id, -1, g.name(member) + " " + kind);
        network.at(g, new ModelEvent.FaultInjected(kind, member));
    }

    private void back(SimulatedGroup g, int member, long after) {
        time.after(after, () -> {
            if (g.model.isDraining(member) && (g.model.leader() == member || g.model.leader() < 0)) {
                back(g, member, 500 * MS);
                return;
            }
            befall(g, member, Kind.RESTART);
            time.after(random.between(20 * MS, 300 * MS), () -> lists.accept(g, member));
            time.after(random.between(2_800 * MS, 4_900 * MS), () -> {
                g.shownStart[member] = g.model.startedAt(member);
                lists.accept(g, member);
            });
        });
    }
}
