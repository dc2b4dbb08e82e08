package crankwick.emulator;

import crankwick.model.GroupModel;
import crankwick.routing.api.Role;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/** A modelled group and the listeners of its members. */
final class EmulatedGroup {
    private static final long MICROS_PER_MILLI = 1_000;

    private final int id;
    private final GroupModel model;
    private final int memberCount;
    private final int[] ports;
    private final TCPNIOServerConnection[] listeners;
    private long timerDueAt = Long.MAX_VALUE;
    private int lastLeader;

    EmulatedGroup(int id, GroupModel model, int memberCount) {
        this.id = id;
        this.model = model;
        this.memberCount = memberCount;
        ports = new int[memberCount];
        listeners = new TCPNIOServerConnection[memberCount];
    }

    int id() {
        return id;
    }

    GroupModel model() {
        return model;
    }

    int memberCount() {
        return memberCount;
    }

    /** A member's port; 0 before its first listener is bound. */
    int port(int member) {
        return ports[member];
    }

    void setListener(int member, TCPNIOServerConnection listener, int port) {
        listeners[member] = listener;
        ports[member] = port;
    }

    boolean isListening(int member) {
        return listeners[member].isOpen();
    }

    void stopListening(int member) {
        listeners[member].closeSilently();
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

    /** The members' endpoints, with the leader as primary and the others as replicas. */
    List<EmulatedEndpoint> endpointsWithPrimary(int leader) {
        List<EmulatedEndpoint> endpoints = new ArrayList<>();
        for (int member = 0; member < memberCount; member++) {
            endpoints.add(endpoint(member, member == leader ? Role.PRIMARY : Role.REPLICA));
        }
        return endpoints;
    }

    /** The members' endpoints with role UNKNOWN, so that the endpoint list keeps the roles that it shows. */
    List<EmulatedEndpoint> endpoints() {
        List<EmulatedEndpoint> endpoints = new ArrayList<>();
        for (int member = 0; member < memberCount; member++) {
            endpoints.add(endpoint(member, Role.UNKNOWN));
        }
        return endpoints;
    }

    private EmulatedEndpoint endpoint(int member, Role role) {
        return new EmulatedEndpoint(
                "g" + id + "m" + member,
                ports[member],
                id,
                role,
                model.isDraining(member),
                model.startedAt(member) / MICROS_PER_MILLI);
    }
}
