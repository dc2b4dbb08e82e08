package crankwick.simulation;

import static crankwick.simulation.TimeUnits.MILLIS;
import static crankwick.simulation.TimeUnits.SECONDS;

import crankwick.model.GroupModel;
import crankwick.model.ModelEvent;
import crankwick.model.ModelEvent.FaultInjected.Kind;
import java.util.function.BooleanSupplier;

/** Schedules crashes, hangs and drains of a group's members, drawn by seed, and the restarts that follow. */
final class FaultSchedule {
    private static final long MIN_FAULT_INTERVAL_MICROS = 300 * MILLIS;
    private static final double MEAN_ADDED_INTERVAL_MICROS = 8.0 * SECONDS;
    private static final long RESTART_RETRY_MICROS = 500 * MILLIS;
    /**
     * Exclusive upper limits of the random number from 0 to 99 that selects a fault: below the first limit the leader
     * drains, below the second it crashes, below the third it hangs; from the third limit up, a replica crashes.
     */
    private static final int DRAIN_DRAW_LIMIT = 30;

    private static final int CRASH_DRAW_LIMIT = 65;
    private static final int HANG_DRAW_LIMIT = 90;
    private static final int SUCCESSOR_FAULT_PERCENT = 15;

    private final SimulatedClock clock;
    private final SimulationRandom random;
    private final FailoverAudit audit;
    private final ModelNetwork network;
    private final int members;
    private final SimulatedDiscovery discovery;
    private final BooleanSupplier coolingDown;

    FaultSchedule(
            SimulatedClock clock,
            SimulationRandom random,
            FailoverAudit audit,
            ModelNetwork network,
            int members,
            SimulatedDiscovery discovery,
            BooleanSupplier coolingDown) {
        this.clock = clock;
        this.random = random;
        this.audit = audit;
        this.network = network;
        this.members = members;
        this.discovery = discovery;
        this.coolingDown = coolingDown;
    }

    /** Schedules the next fault of a group; each fault schedules the one after it until the cool-down. */
    void scheduleNext(SimulatedGroup group) {
        clock.scheduleAfter(MIN_FAULT_INTERVAL_MICROS + random.exponential(MEAN_ADDED_INTERVAL_MICROS), () -> {
            if (!coolingDown.getAsBoolean()) {
                injectRandomFault(group);
                scheduleNext(group);
            }
        });
    }

    private void injectRandomFault(SimulatedGroup group) {
        int leader = group.model().leader();
        int draw = random.nextPercent();
        if (leader < 0 || !areOtherMembersReady(group, leader)) {
            return;
        }
        if (draw < DRAIN_DRAW_LIMIT) {
            drainLeader(group, leader);
        } else if (draw < HANG_DRAW_LIMIT) {
            failLeader(group, leader, draw < CRASH_DRAW_LIMIT ? Kind.CRASH : Kind.HANG);
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

    /** Whether all members except the leader respond and none of them is draining; otherwise no fault is injected. */
    private boolean areOtherMembersReady(SimulatedGroup group, int leader) {
        GroupModel model = group.model();
        for (int member = 0; member < members; member++) {
            if (member != leader && (!model.isResponsive(member) || model.isDraining(member))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Crashes the member whose index follows that of the previous leader, if the group has no leader yet, and this
     * member and a third one respond.
     */
    private void crashSuccessor(SimulatedGroup group) {
        GroupModel model = group.model();
        int successor = (model.latestLeader() + 1) % members;
        int next = (successor + 1) % members;
        int other = next == model.latestLeader() ? (successor + 2) % members : next;
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
                group.setListedStart(member);
                discovery.publish(group, member);
            });
        });
    }
}
