package crankwick.emulator;

import crankwick.model.GroupModel;
import crankwick.routing.api.Role;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/** A modelled group whose members listen at ports. */
final class EmulatedGroup {
    private static final long MICROS_PER_MILLI = 1_000;

    private final int id;
    private final GroupModel model;
    private final int members;
    private final int[] ports;
    private final TCPNIOServerConnection[] listeners;
    private long timerDueAt = Long.MAX_VALUE;
    private int lastLeader;

    EmulatedGroup(int id, GroupModel model, int members) {
        this.id = id;
        this.model = model;
        this.members = members;
        ports = new int[members];
        listeners = new TCPNIOServerConnection[members];
    }

    int id() {
        return id;
    }

    GroupModel model() {
        return model;
    }

    int members() {
        return members;
    }

    /** A member's port; 0 before it first listened. */
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

    /** The members with the roles of a new leadership. */
    List<EmulatedEndpoint> endpointsLedBy(int leader) {
        List<EmulatedEndpoint> endpoints = new ArrayList<>();
        for (int member = 0; member < members; member++) {
            endpoints.add(endpoint(member, member == leader ? Role.PRIMARY : Role.REPLICA));
        }
        return endpoints;
    }

    /** The members without a word on their roles. */
    List<EmulatedEndpoint> endpoints() {
        List<EmulatedEndpoint> endpoints = new ArrayList<>();
        for (int member = 0; member < members; member++) {
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
