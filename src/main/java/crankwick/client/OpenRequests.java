package crankwick.client;

import crankwick.broker.AbandonReason;
import crankwick.broker.BrokerEvent;
import crankwick.broker.BrokerEventSink;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The requests that have no reply yet, by id. Lives on the event loop. */
final class OpenRequests {
    private final BrokerEventSink broker;
    private final Map<Long, ClientCommand> open = new HashMap<>();
    private long lastId;

    OpenRequests(BrokerEventSink broker) {
        this.broker = broker;
    }

    /** An id that no other command of the listener has. */
    long nextId() {
        return ++lastId;
    }

    void add(ClientCommand command) {
        open.put(command.requestId, command);
    }

    /** Null where the request has its reply or has been abandoned. */
    ClientCommand find(long requestId) {
        return open.get(requestId);
    }

    /** Null where the request has its reply or has been abandoned. */
    ClientCommand remove(long requestId) {
        return open.remove(requestId);
    }

    /** The client wants no reply to any command it has sent so far. */
    void abandon(ClientSession session, AbandonReason reason) {
        List<ClientCommand> abandoned = new ArrayList<>(session.commands);
        session.commands.clear();
        for (ClientCommand command : abandoned) {
            session.onAnswered(command.message, command.repeatCount);
            session.releaseReply(command.reply == null ? 0 : command.reply.valueBytes());
            if (open.remove(command.requestId) != null) {
                broker.publish(new BrokerEvent.RequestAbandoned(command.requestId, reason));
            }
        }
    }

    /** Every open request has reached its deadline. */
    void expireAll() {
        for (long requestId : List.copyOf(open.keySet())) {
            broker.publish(new BrokerEvent.DeadlineReached(requestId));
        }
    }
}
