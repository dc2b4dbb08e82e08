package crankwick.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One member's statements (queued and executing), its busy cores, and health checks buffered during a hang. */
final class MemberWorkload {
    private final int cores;
    private final Map<Long, StatementExecution> unanswered = new LinkedHashMap<>();
    private final ArrayDeque<StatementExecution> queue = new ArrayDeque<>();
    private final List<Long> bufferedHealthChecks = new ArrayList<>();
    private int busyCores;

    MemberWorkload(int cores) {
        this.cores = cores;
    }

    /** Registers a statement as unanswered; the caller then queues or answers it. */
    StatementExecution register(ModelEvent.StatementReceived request) {
        StatementExecution statement = new StatementExecution(request);
        unanswered.put(request.exchangeId(), statement);
        return statement;
    }

    void enqueue(StatementExecution statement) {
        queue.add(statement);
    }

    int queueLength() {
        return queue.size();
    }

    /** Fraction of the cores that are busy, 0 to 1. */
    double utilization() {
        return Math.min(1, busyCores / (double) cores);
    }

    /**
     * Removes the next statement from the queue and starts it on a free core; returns null if the queue is empty or no
     * core is free.
     */
    StatementExecution startNext() {
        if (busyCores >= cores || queue.isEmpty()) {
            return null;
        }
        StatementExecution statement = queue.poll();
        statement.start();
        busyCores++;
        return statement;
    }

    void releaseCore() {
        busyCores--;
    }

    void markAnswered(StatementExecution statement) {
        unanswered.remove(statement.request().exchangeId());
    }

    void removeFromQueue(StatementExecution statement) {
        queue.remove(statement);
    }

    List<StatementExecution> unansweredWrites() {
        return unanswered.values().stream().filter(StatementExecution::isWrite).toList();
    }

    void bufferHealthCheck(long exchangeId) {
        bufferedHealthChecks.add(exchangeId);
    }

    /** Removes and returns the health checks that were buffered while the process hung. */
    List<Long> releaseHealthChecks() {
        List<Long> released = List.copyOf(bufferedHealthChecks);
        bufferedHealthChecks.clear();
        return released;
    }

    /** The connection of an exchange has ended: an executing statement continues, a queued one is removed. */
    void onConnectionClosed(long exchangeId) {
        bufferedHealthChecks.remove(exchangeId);
        StatementExecution statement = unanswered.remove(exchangeId);
        if (statement != null) {
            statement.abandon();
            queue.remove(statement);
        }
    }

    /** Removes all work when the process ends; returns the exchanges whose connections fail. */
    List<Long> clear() {
        List<Long> exchangeIds = new ArrayList<>(unanswered.keySet());
        exchangeIds.addAll(bufferedHealthChecks);
        unanswered.values().forEach(StatementExecution::abandon);
        unanswered.clear();
        bufferedHealthChecks.clear();
        queue.clear();
        busyCores = 0;
        return exchangeIds;
    }
}
