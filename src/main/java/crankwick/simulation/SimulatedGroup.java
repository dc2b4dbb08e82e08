package crankwick.simulation;

import crankwick.model.GroupModel;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.Role;

/** A modelled group of databases with its endpoint list entries, whose roles and start times lag behind the model. */
final class SimulatedGroup {
    private final int id;
    private final GroupModel model;
    private final Role[] listedRoles;
    private final long[] listedStarts;
    private long timerDueAt = Long.MAX_VALUE;
    private int lastLeader;

    /** Creates a group with member 0 as the leader. */
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

    /** When the scheduled timer event of the model is due; Long.MAX_VALUE if none is scheduled. */
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

    void setListedRole(int member, Role role) {
        listedRoles[member] = role;
    }

    /** Sets the start time of a member in the endpoint list to its start time in the model. */
    void setListedStart(int member) {
        listedStarts[member] = model.startedAt(member);
    }

    String endpointId(int member) {
        return endpointId(id, member);
    }

    static String endpointId(int group, int member) {
        return "g" + group + "m" + member;
    }

    /** The group of the member with the given endpoint id. */
    static int groupOf(String endpointId) {
        return Integer.parseInt(endpointId.substring(1, endpointId.indexOf('m')));
    }

    /** The index within its group of the member with the given endpoint id. */
    static int memberOf(String endpointId) {
        return Integer.parseInt(endpointId.substring(endpointId.indexOf('m') + 1));
    }

    /** The endpoint list entry of a member; its role and start time may be outdated, its drain status is current. */
    Endpoint endpoint(int member) {
        EndpointStatus status = model.isDraining(member) ? EndpointStatus.DRAINING : EndpointStatus.LIVE;
        return new Endpoint(endpointId(member), 0, id, listedRoles[member], status, listedStarts[member]);
    }
}
