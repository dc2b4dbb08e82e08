package crankwick.model;

import crankwick.routing.api.AttemptResult;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Semi-synchronous replication of the log: a write is acknowledged once another member has received its entry.
 * Entries in transit are lost when the leadership epoch changes.
 */
final class Replication {
    private final ModelSettings settings;
    private final ModelContext context;
    private final List<Member> members;
    private final Leadership leadership;
    private final ReplicationLog log;
    private final MemberResponder responder;
    private final IdempotencyKeys keys;
    /** Unanswered writes whose entry no other member has received yet, by log index. */
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

    /**
     * Appends a write to the log, unless its idempotency key is stored and unexpired. Acknowledges the write once
     * another member has received the entry with its key, or at once if that entry has been trimmed.
     */
    void commit(Member leader, StatementExecution statement) {
        String key = statement.request().idempotencyKey();
        Long earlierCommitTime = keys.commitTime(key, context.now());
        long index = earlierCommitTime != null
                ? log.find(key, earlierCommitTime)
                : append(leader, new LogEntry(key, context.now()));
        if (index == ReplicationLog.NO_ENTRY || isReplicated(leader, index)) {
            responder.answer(leader, statement, AttemptResult.OK);
        } else {
            unacknowledged.computeIfAbsent(index, i -> new ArrayList<>()).add(statement);
        }
    }

    private boolean isReplicated(Member leader, long index) {
        return members.stream()
                .anyMatch(other -> other != leader && other.progress().received() > index);
    }

    private long append(Member leader, LogEntry entry) {
        long index = log.append(entry);
        keys.add(entry, context.now());
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
                replica.progress().scheduleArrival(earliest), leadership.guardedByEpoch(() -> receive(replica, index)));
    }

    /** Delivers an entry to a replica; ignored if the replica is not up or already has the entry. */
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

    /**
     * Sends the replicas that are up the entries that they have not received, after the leader has resumed its role.
     */
    void resendUnreceived(Member leader) {
        for (Member other : members) {
            if (other != leader && other.isUp()) {
                for (long index = other.progress().received(); index < log.end(); index++) {
                    send(other, index);
                }
            }
        }
    }

    /**
     * Marks the complete log as received by all members that are up, before a draining leader hands over; acknowledges
     * pending writes.
     */
    void completeForHandover(Member leader) {
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

    /**
     * Rolls back entries that only the failed leader has; marks all remaining entries as received by the members that
     * are up.
     */
    void rollBackUnreplicated(Member failedLeader) {
        long end = log.begin();
        for (Member member : members) {
            end = member != failedLeader ? Math.max(end, member.progress().received()) : end;
        }
        while (log.end() > end) {
            LogEntry lost = log.removeLast();
            keys.remove(lost);
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
