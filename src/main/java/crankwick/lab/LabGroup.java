package crankwick.lab;

import crankwick.RouterApi.Member;
import crankwick.RouterApi.Role;
import crankwick.RouterApi.Standing;
import crankwick.model.GroupModel;

/** A modelled group of databases, and what the list shows of it, which is late. */
final class LabGroup {
    final int id;
    final GroupModel model;
    long dueAt = Long.MAX_VALUE;
    final Role[] shownRole;
    final long[] shownStart;
    int lastLeader;

    LabGroup(int id, GroupModel model, int members) {
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
    Member entry(int member) {
        Standing standing = model.drains(member) ? Standing.DRAINING : Standing.LIVE;
        return new Member(name(member), 0, id, shownRole[member], standing, shownStart[member]);
    }
}
