package crankwick.client;

import crankwick.broker.ClientRequest;
import crankwick.routing.api.Idempotency;
import crankwick.routing.api.RequestClass;
import crankwick.statement.Statement;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Decodes a client's statement and builds the request to the broker. */
final class RequestDecoder {
    private static final long MICROS_PER_MILLI = 1_000;

    private final List<RequestClass> classes;
    private final Map<String, Integer> classIndexes = new HashMap<>();

    /** {@code names} are the names of {@code classes}, in the same order. */
    RequestDecoder(List<RequestClass> classes, List<String> names) {
        this.classes = classes;
        for (int i = 0; i < names.size(); i++) {
            classIndexes.put(names.get(i), i);
        }
    }

    /**
     * Parses a statement and checks its class and idempotency key; throws IllegalArgumentException with a message for
     * the client.
     */
    Statement decode(String text) {
        Statement statement = Statement.parse(text);
        Integer classIndex = classIndexes.get(statement.requestClassName());
        if (classIndex == null) {
            throw new IllegalArgumentException("c names no class");
        }
        if (classes.get(classIndex).idempotency() == Idempotency.WITH_KEY && statement.idempotencyKey() == null) {
            throw new IllegalArgumentException("k is missing");
        }
        return statement;
    }

    /** Builds the request of a command whose statement was parsed by {@link #decode}. */
    ClientRequest request(ClientCommand command, long timeoutMicros) {
        Statement statement = command.statement();
        long requiredPosition =
                statement.requiredPositionMillis() > 0 ? statement.requiredPositionMillis() * MICROS_PER_MILLI : -1;
        return new ClientRequest(
                command.requestId,
                statement.requestId(),
                command.session.team,
                classIndexes.get(statement.requestClassName()),
                statement.groupId(),
                statement.sessionHash(),
                requiredPosition,
                timeoutMicros,
                statement.idempotencyKey(),
                command.message.bytes());
    }
}
