package crankwick.emulator;

import crankwick.client.ClientMessage;
import crankwick.transport.EventLoop;
import crankwick.transport.Transport;
import java.net.SocketAddress;
import java.util.List;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** The last filter in a member's chain: passes decoded messages and connection events to the event loop. */
final class MemberFilter extends BaseFilter {
    private final EmulatedGroup group;
    private final int member;
    private final MemberConnections connections;
    private final EventLoop loop;

    MemberFilter(EmulatedGroup group, int member, MemberConnections connections, EventLoop loop) {
        this.group = group;
        this.member = member;
        this.connections = connections;
        this.loop = loop;
    }

    @Override
    public NextAction handleAccept(FilterChainContext context) {
        Connection<SocketAddress> connection = Transport.connection(context);
        loop.execute(() -> connections.onAccepted(group, member, connection));
        return context.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        Connection<SocketAddress> connection = Transport.connection(context);
        List<ClientMessage> messages = context.getMessage();
        loop.execute(() -> connections.onMessages(connection, messages));
        return context.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext context) {
        Connection<SocketAddress> connection = Transport.connection(context);
        loop.execute(() -> connections.onClosed(connection));
        return context.getStopAction();
    }
}
