package crankwick.simulation;

import crankwick.model.GroupModel;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.Role;

/** A modelled group of databases, and what the list shows of it, which is late. */
final class SimulatedGroup {
    final int id;
    final GroupModel model;
    long dueAt = Long.MAX_VALUE;
    final Role[] shownRole;
    final long[] shownStart;
    int lastLeader;

    SimulatedGroup(int id, GroupModel model, int members) {
        this.id = id;
        this.model = model;
        shownRole = new Role[members];
        shownStart = new long[members];
        for (int i = 0; i < members; i++) {
            shownRole[i] = i == 0 ? Role.PRIMARY : Role.REPLICA;
        }
    }

    String name(int member) {
        return "g" + id + "m" + member;
    }

    /** The number of the group that a member's name tells. */
    static int groupOf(String server) {
        return Integer.parseInt(server.substring(1, server.indexOf('m')));
    }

    /** The member's number in its group. */
    static int memberOf(String server) {
        return Integer.parseInt(server.substring(server.indexOf('m') + 1));
    }

    /** A member as the list shows it. */
    Endpoint entry(int member) {
        EndpointStatus standing = model.isDraining(member) ? EndpointStatus.DRAINING : EndpointStatus.LIVE;
        return new Endpoint(name(member), 0, id, shownRole[member], standing, shownStart[member]);
    }
}
