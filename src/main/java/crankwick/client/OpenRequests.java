package crankwick.client;

import crankwick.broker.AbandonReason;
import crankwick.broker.BrokerEvent;
import crankwick.broker.BrokerEventSink;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The requests of all sessions that are neither answered nor abandoned, by id. Confined to the event loop. */
final class OpenRequests {
    /**
     * The router looks at all its requests on many events, so that its work grows with their number. A session may
     * have this many times as many requests open as are left of {@link #MAX_SHARED_REQUESTS}.
     */
    private static final int SHARE_OF_FREE_REQUESTS = 4;

    private static final int MAX_SHARED_REQUESTS = 320;
    /** The requests that each session may have open, however many others have. */
    private static final int MIN_REQUESTS_PER_SESSION = 4;

    private final BrokerEventSink broker;
    private final Consumer<ClientSession> onFinished;
    private final Map<Long, ClientCommand> commandsById = new HashMap<>();
    private long lastId;

    /** {@code onFinished} is called with the session whenever a request has been answered or abandoned. */
    OpenRequests(BrokerEventSink broker, Consumer<ClientSession> onFinished) {
        this.broker = broker;
        this.onFinished = onFinished;
    }

    /** Whether the session must wait with its next request until others are finished. */
    boolean isWindowFull(ClientSession session) {
        int free = Math.max(0, MAX_SHARED_REQUESTS - commandsById.size());
        return session.openRequests >= Math.max(MIN_REQUESTS_PER_SESSION, SHARE_OF_FREE_REQUESTS * free);
    }

    /** Returns an id that is unique among the listener's commands. */
    long nextId() {
        return ++lastId;
    }

    void add(ClientCommand command) {
        commandsById.put(command.requestId, command);
        command.session.openRequests++;
    }

    /** Returns the command of a request; null if the request is answered or abandoned. */
    ClientCommand find(long requestId) {
        return commandsById.get(requestId);
    }

    /** Removes a request and returns its command; null if the request is already answered or abandoned. */
    ClientCommand remove(long requestId) {
        ClientCommand command = commandsById.remove(requestId);
        if (command != null) {
            command.session.openRequests--;
            onFinished.accept(command.session);
        }
        return command;
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
            if (remove(command.requestId) != null) {
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
