package crankwick.client;

import crankwick.broker.AbandonReason;
import crankwick.broker.BrokerEvent;
import crankwick.broker.BrokerEventSink;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The requests of all sessions that are neither answered nor abandoned, by id. Confined to the event loop. */
final class OpenRequests {
    private final BrokerEventSink broker;
    private final Map<Long, ClientCommand> commandsById = new HashMap<>();
    private long lastId;

    OpenRequests(BrokerEventSink broker) {
        this.broker = broker;
    }

    /** Returns an id that is unique among the listener's commands. */
    long nextId() {
        return ++lastId;
    }

    void add(ClientCommand command) {
        commandsById.put(command.requestId, command);
    }

    /** Returns the command of a request; null if the request is answered or abandoned. */
    ClientCommand find(long requestId) {
        return commandsById.get(requestId);
    }

    /** Removes a request and returns its command; null if the request is already answered or abandoned. */
    ClientCommand remove(long requestId) {
        return commandsById.remove(requestId);
    }

    /**
     * Removes all queued commands of a session without replies, and reports to the broker that their requests are
     * abandoned.
     */
    void abandon(ClientSession session, AbandonReason reason) {
        List<ClientCommand> abandoned = new ArrayList<>(session.commands);
        session.commands.clear();
        for (ClientCommand command : abandoned) {
            session.onAnswered(command.message, command.pendingReplies);
            session.releaseReply(command.reply == null ? 0 : command.reply.valueBytes());
            if (commandsById.remove(command.requestId) != null) {
                broker.publish(new BrokerEvent.RequestAbandoned(command.requestId, reason));
            }
        }
    }

    /** Reports to the broker that every unanswered request has reached its deadline, although its own may be later. */
    void expireAll() {
        for (long requestId : List.copyOf(commandsById.keySet())) {
            broker.publish(new BrokerEvent.DeadlineReached(requestId));
        }
    }
}
