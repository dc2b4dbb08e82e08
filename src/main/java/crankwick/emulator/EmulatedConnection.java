package crankwick.emulator;

import java.net.SocketAddress;
import org.glassfish.grizzly.Connection;

/** A proxy's connection to a member, with at most one exchange (statement or health check) at a time. */
final class EmulatedConnection {
    private static final long NO_EXCHANGE = 0;

    private final EmulatedGroup group;
    private final int member;
    private final Connection<SocketAddress> connection;
    private long exchangeId = NO_EXCHANGE;
    private boolean healthCheck;
    private boolean write;
    private String requestId;
    private boolean loginPending;

    EmulatedConnection(EmulatedGroup group, int member, Connection<SocketAddress> connection) {
        this.group = group;
        this.member = member;
        this.connection = connection;
    }

    EmulatedGroup group() {
        return group;
    }

    int member() {
        return member;
    }

    boolean belongsTo(EmulatedGroup otherGroup, int otherMember) {
        return group == otherGroup && member == otherMember;
    }

    Connection<SocketAddress> connection() {
        return connection;
    }

    /** The id of the exchange that the model processes for this connection; 0 for none. */
    long exchangeId() {
        return exchangeId;
    }

    void beginExchange(long id, boolean isHealthCheck) {
        exchangeId = id;
        healthCheck = isHealthCheck;
    }

    void setStatement(String request, boolean isWrite) {
        requestId = request;
        write = isWrite;
    }

    void endExchange() {
        exchangeId = NO_EXCHANGE;
    }

    boolean hasExchange() {
        return exchangeId != NO_EXCHANGE;
    }

    boolean isHealthCheck() {
        return healthCheck;
    }

    boolean isWrite() {
        return write;
    }

    /** The request ID of the connection's last statement; null before the first. */
    String requestId() {
        return requestId;
    }

    /** Whether a login was received while the member hung and has no response yet. */
    boolean isLoginPending() {
        return loginPending;
    }

    void setLoginPending(boolean pending) {
        loginPending = pending;
    }
}
