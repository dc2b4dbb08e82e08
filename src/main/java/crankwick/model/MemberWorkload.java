package crankwick.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The statements at one member: queued ones, busy cores, and the health checks that a hung process holds. */
final class MemberWorkload {
    private final int cores;
    private final Map<Long, StatementExecution> unanswered = new LinkedHashMap<>();
    private final ArrayDeque<StatementExecution> queue = new ArrayDeque<>();
    private final List<Long> heldHealthChecks = new ArrayList<>();
    private int busyCores;

    MemberWorkload(int cores) {
        this.cores = cores;
    }

    /** Registers a statement, which is still to be queued or answered. */
    StatementExecution register(ModelEvent.StatementReceived query) {
        StatementExecution statement = new StatementExecution(query);
        unanswered.put(query.exchangeId(), statement);
        return statement;
    }

    void enqueue(StatementExecution statement) {
        queue.add(statement);
    }

    int queueLength() {
        return queue.size();
    }

    /** Share of the cores that execute a statement, 0 to 1. */
    double utilization() {
        return Math.min(1, busyCores / (double) cores);
    }

    /** Gives the next queued statement to a free core; null without either. */
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
        unanswered.remove(statement.query().exchangeId());
    }

    void removeFromQueue(StatementExecution statement) {
        queue.remove(statement);
    }

    List<StatementExecution> unansweredWrites() {
        return unanswered.values().stream().filter(StatementExecution::isWrite).toList();
    }

    void holdHealthCheck(long exchangeId) {
        heldHealthChecks.add(exchangeId);
    }

    /** The health checks that came while the process hung, which are held no longer. */
    List<Long> releaseHealthChecks() {
        List<Long> released = List.copyOf(heldHealthChecks);
        heldHealthChecks.clear();
        return released;
    }

    /** The connection of an exchange has ended: executing work goes on, queued work is dropped. */
    void abandon(long exchangeId) {
        heldHealthChecks.remove(exchangeId);
        StatementExecution statement = unanswered.remove(exchangeId);
        if (statement != null) {
            statement.abandon();
            queue.remove(statement);
        }
    }

    /** Ends everything with the process; returns the exchanges whose connections break. */
    List<Long> clear() {
        List<Long> exchangeIds = new ArrayList<>(unanswered.keySet());
        exchangeIds.addAll(heldHealthChecks);
        unanswered.values().forEach(StatementExecution::abandon);
        unanswered.clear();
        heldHealthChecks.clear();
        queue.clear();
        busyCores = 0;
        return exchangeIds;
    }
}
