package crankwick.simulation;

import crankwick.model.GroupModel;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.Role;

/** A modelled group of databases, and what the endpoint list shows of it, which lags behind. */
final class SimulatedGroup {
    private final int id;
    private final GroupModel model;
    private final Role[] listedRoles;
    private final long[] listedStarts;
    private long timerDueAt = Long.MAX_VALUE;
    private int lastLeader;

    /** A group whose member 0 leads. */
    SimulatedGroup(int id, GroupModel model, int members) {
        this.id = id;
        this.model = model;
        listedRoles = new Role[members];
        listedStarts = new long[members];
        for (int i = 0; i < members; i++) {
            listedRoles[i] = i == 0 ? Role.PRIMARY : Role.REPLICA;
        }
    }

    int id() {
        return id;
    }

    GroupModel model() {
        return model;
    }

    /** When the model's next timer is scheduled; Long.MAX_VALUE for never. */
    long timerDueAt() {
        return timerDueAt;
    }

    void setTimerDueAt(long dueAt) {
        timerDueAt = dueAt;
    }

    int lastLeader() {
        return lastLeader;
    }

    void setLastLeader(int member) {
        lastLeader = member;
    }

    void listRole(int member, Role role) {
        listedRoles[member] = role;
    }

    /** Lists a member's start as it is now. */
    void listStart(int member) {
        listedStarts[member] = model.startedAt(member);
    }

    String endpointId(int member) {
        return endpointId(id, member);
    }

    static String endpointId(int group, int member) {
        return "g" + group + "m" + member;
    }

    /** The group of the member with that id. */
    static int groupOf(String endpointId) {
        return Integer.parseInt(endpointId.substring(1, endpointId.indexOf('m')));
    }

    /** The index in its group of the member with that id. */
    static int memberOf(String endpointId) {
        return Integer.parseInt(endpointId.substring(endpointId.indexOf('m') + 1));
    }

    /** A member as the list shows it. */
    Endpoint endpoint(int member) {
        EndpointStatus status = model.isDraining(member) ? EndpointStatus.DRAINING : EndpointStatus.LIVE;
        return new Endpoint(endpointId(member), 0, id, listedRoles[member], status, listedStarts[member]);
    }
}
