package crankwick.model;

import crankwick.routing.api.AttemptResult;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Semi-synchronous replication of the log: a write is answered once another member has received its entry.
 * Entries under way are lost with the epoch in which they were sent.
 */
final class Replication {
    private final ModelSettings settings;
    private final ModelContext context;
    private final List<Member> members;
    private final Leadership leadership;
    private final ReplicationLog log;
    private final MemberResponder responder;
    private final IdempotencyKeys keys;
    /** Writes whose entry no other member has received yet, by the entry's index. */
    private final Map<Long, List<StatementExecution>> unacknowledged = new HashMap<>();

    Replication(
            ModelSettings settings,
            ModelContext context,
            List<Member> members,
            Leadership leadership,
            ReplicationLog log,
            MemberResponder responder) {
        this.settings = settings;
        this.context = context;
        this.members = members;
        this.leadership = leadership;
        this.log = log;
        this.responder = responder;
        keys = new IdempotencyKeys(settings.keyTtlMicros());
    }

    /** Commits a write at the leader, or finds the entry of its key, and answers it once that is replicated. */
    void commit(Member leader, StatementExecution statement) {
        String key = statement.query().idempotencyKey();
        Long earlierCommit = keys.commitOf(key, context.now());
        long index =
                earlierCommit != null ? log.find(key, earlierCommit) : append(leader, new LogEntry(key, context.now()));
        if (index == ReplicationLog.NO_ENTRY || isReceivedByAnother(leader, index)) {
            responder.answer(leader, statement, AttemptResult.OK);
        } else {
            unacknowledged.computeIfAbsent(index, i -> new ArrayList<>()).add(statement);
        }
    }

    private boolean isReceivedByAnother(Member leader, long index) {
        return members.stream()
                .anyMatch(other -> other != leader && other.progress().received() > index);
    }

    private long append(Member leader, LogEntry entry) {
        long index = log.append(entry);
        keys.remember(entry, context.now());
        context.emit(new ModelEffect.WriteAppended(entry.idempotencyKey()));
        leader.progress().catchUpTo(index + 1);
        for (Member other : members) {
            if (other != leader && other.isUp()) {
                send(other, index);
            }
        }
        trimLog();
        return index;
    }

    private void send(Member replica, long index) {
        long earliest = context.now() + context.draw(settings.replicationDelay());
        context.schedule(
                replica.progress().scheduleArrival(earliest), leadership.inThisEpoch(() -> receive(replica, index)));
    }

    /** An entry reaches a replica, unless that has caught up meanwhile. */
    private void receive(Member replica, long index) {
        if (!replica.isUp() || index < replica.progress().received()) {
            return;
        }
        long appliedAt = replica.progress().receive(index, context.now(), settings.applyWorkMicros());
        context.schedule(appliedAt, () -> replica.progress().applyUpTo(Math.min(index + 1, log.end())));
        List<StatementExecution> acknowledged = unacknowledged.remove(index);
        if (acknowledged != null) {
            Member leader = members.get(leadership.leader());
            acknowledged.forEach(statement -> responder.answer(leader, statement, AttemptResult.OK));
        }
    }

    private void trimLog() {
        if (log.trim()) {
            members.forEach(member -> member.progress().skipTo(log.begin()));
        }
    }

    /** Sends again what replicas have not received, on behalf of a leader that resumes. */
    void sendAgain(Member leader) {
        for (Member other : members) {
            if (other != leader && other.isUp()) {
                for (long index = other.progress().received(); index < log.end(); index++) {
                    send(other, index);
                }
            }
        }
    }

    /** Every member that is up receives the whole log from a leader that has drained; all writes are answered. */
    void completeBeforeHandOver(Member leader) {
        for (Member member : members) {
            if (member.isUp()) {
                member.progress().receiveUpTo(log.end());
            }
        }
        unacknowledged
                .values()
                .forEach(statements ->
                        statements.forEach(statement -> responder.answer(leader, statement, AttemptResult.OK)));
        unacknowledged.clear();
    }

    /** Rolls back entries that only a failed leader has, and lets the members that are up catch up. */
    void rollBackUnreceived(Member failedLeader) {
        long end = log.begin();
        for (Member member : members) {
            end = member != failedLeader ? Math.max(end, member.progress().received()) : end;
        }
        while (log.end() > end) {
            LogEntry lost = log.removeLast();
            keys.forget(lost);
            context.emit(new ModelEffect.WriteRolledBack(lost.idempotencyKey()));
        }
        unacknowledged.clear();
        for (Member member : members) {
            if (member.isUp() || member == failedLeader) {
                member.progress().receiveUpTo(end);
            }
            member.progress().rollBackTo(end);
        }
    }
}
