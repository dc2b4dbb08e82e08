package crankwick.simulation;

import static crankwick.simulation.TimeUnits.MILLIS;
import static crankwick.simulation.TimeUnits.SECONDS;

import crankwick.model.GroupModel;
import crankwick.model.ModelEvent;
import crankwick.model.ModelEvent.FaultInjected.Kind;
import java.util.function.BooleanSupplier;

/** Crashes, hangs and drains of a group's members, drawn by seed, and their restarts. */
final class FaultSchedule {
    private static final long MIN_PAUSE_MICROS = 300 * MILLIS;
    private static final double MEAN_PAUSE_MICROS = 8.0 * SECONDS;
    private static final long RESTART_RETRY_MICROS = 500 * MILLIS;
    /** Bounds of a draw in percent: drains, then crashes, then hangs of the leader; the rest hits a replica. */
    private static final int DRAINS_BELOW = 30;

    private static final int CRASHES_BELOW = 65;
    private static final int HANGS_BELOW = 90;
    private static final int SUCCESSOR_FAULT_PERCENT = 15;

    private final SimulatedClock clock;
    private final SimulationRandom random;
    private final FailoverAudit audit;
    private final ModelNetwork network;
    private final int members;
    private final SimulatedDiscovery discovery;
    private final BooleanSupplier ending;

    FaultSchedule(
            SimulatedClock clock,
            SimulationRandom random,
            FailoverAudit audit,
            ModelNetwork network,
            int members,
            SimulatedDiscovery discovery,
            BooleanSupplier ending) {
        this.clock = clock;
        this.random = random;
        this.audit = audit;
        this.network = network;
        this.members = members;
        this.discovery = discovery;
        this.ending = ending;
    }

    /** Draws the next fault of a group, and so on until the run comes to its end. */
    void scheduleNext(SimulatedGroup group) {
        clock.scheduleAfter(MIN_PAUSE_MICROS + random.exponential(MEAN_PAUSE_MICROS), () -> {
            if (!ending.getAsBoolean()) {
                injectAny(group);
                scheduleNext(group);
            }
        });
    }

    private void injectAny(SimulatedGroup group) {
        int leader = group.model().leader();
        int draw = random.nextPercent();
        if (leader < 0 || !areOthersReady(group, leader)) {
            return;
        }
        if (draw < DRAINS_BELOW) {
            drainLeader(group, leader);
        } else if (draw < HANGS_BELOW) {
            failLeader(group, leader, draw < CRASHES_BELOW ? Kind.CRASH : Kind.HANG);
        } else {
            int replica = (leader + 1) % members;
            inject(group, replica, Kind.CRASH);
            restartAfter(group, replica, random.between(600 * MILLIS, 3 * SECONDS));
        }
    }

    private void drainLeader(SimulatedGroup group, int leader) {
        inject(group, leader, Kind.DRAIN);
        clock.scheduleAfter(random.between(20 * MILLIS, 300 * MILLIS), () -> discovery.publish(group, leader));
        restartAfter(group, leader, random.between(1_500 * MILLIS, 4 * SECONDS));
    }

    private void failLeader(SimulatedGroup group, int leader, Kind kind) {
        inject(group, leader, kind);
        restartAfter(group, leader, random.between(600 * MILLIS, 12 * SECONDS));
        if (random.nextPercent() < SUCCESSOR_FAULT_PERCENT) {
            clock.scheduleAfter(random.between(3 * SECONDS, 5 * SECONDS), () -> crashSuccessor(group));
        }
    }

    /** The next fault of a leader waits until the group has all its members again. */
    private boolean areOthersReady(SimulatedGroup group, int leader) {
        GroupModel model = group.model();
        for (int member = 0; member < members; member++) {
            if (member != leader && (!model.isResponsive(member) || model.isDraining(member))) {
                return false;
            }
        }
        return true;
    }

    /** A member that may be about to take over crashes too, if another remains. */
    private void crashSuccessor(SimulatedGroup group) {
        GroupModel model = group.model();
        int successor = (model.mostRecentLeader() + 1) % members;
        int next = (successor + 1) % members;
        int other = next == model.mostRecentLeader() ? (successor + 2) % members : next;
        if (model.leader() < 0 && model.isResponsive(successor) && model.isResponsive(other)) {
            inject(group, successor, Kind.CRASH);
            restartAfter(group, successor, random.between(SECONDS, 3 * SECONDS));
        }
    }

    private void inject(SimulatedGroup group, int member, Kind kind) {
        audit.trace(clock.now(), group.id(), group.endpointId(member) + " " + kind);
        network.deliver(group, new ModelEvent.FaultInjected(kind, member));
    }

    private void restartAfter(SimulatedGroup group, int member, long delay) {
        clock.scheduleAfter(delay, () -> {
            GroupModel model = group.model();
            if (model.isDraining(member) && (model.leader() == member || model.leader() < 0)) {
                restartAfter(group, member, RESTART_RETRY_MICROS);
                return;
            }
            inject(group, member, Kind.RESTART);
            clock.scheduleAfter(random.between(20 * MILLIS, 300 * MILLIS), () -> discovery.publish(group, member));
            clock.scheduleAfter(discovery.drawDelay(), () -> {
                group.listStart(member);
                discovery.publish(group, member);
            });
        });
    }
}
