package crankwick.simulation;

import crankwick.broker.Reply;
import crankwick.model.ModelEffect;
import crankwick.routing.api.AttemptResult;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks a run after every step, from outside: it sees what clients asked and were answered, what was sent to
 * databases, what the groups' logs hold, and what the proxy was told; it asks the proxy nothing.
 *
 * <p>A write counts as reachable if it was open or came in while its group took no writes, its deadline lies
 * {@link #MARGIN} or more past the moment at which the group took writes again for at least that long, and no
 * attempt of it may have run at a time that puts its key's window before that moment. Writes to a new primary
 * that started too lately to be warm are counted apart: how much it may be sent is another rule's matter.
 */
final class FailoverAudit {
    /** Microseconds for finding the new primary and for the write itself. */
    static final long MARGIN = 250_000;

    private static final class KeyState {
        int applied;
        boolean served;
    }

    private static final class GroupWatch {
        final Map<Long, AuditedRequest> open = new HashMap<>();
        final List<AuditedRequest> affected = new ArrayList<>();
        boolean vacant;
        boolean planned;
        long changes;
        String leader;
        /** Who has served a write in the present term, as the proxy was told. */
        String serving;
    }

    /** What must not happen; in the order in which it is reported. */
    private enum Violation {
        APPLIED_TWICE,
        SERVED_NOT_APPLIED,
        SECOND_ATTEMPTS,
        WINDOW_RESENDS,
        MISDIRECTED,
        REFUSED_IN_DOUBT,
        ANSWERS_LATE,
        ANSWERS_MISSING,
        DRAIN_VIOLATIONS,
        PACE_VIOLATIONS,
        FALLEN
    }

    private final long slack;
    private final long drainGrace;
    private final long keyTtl;
    private final int paceBound;
    private final Map<Long, AuditedRequest> asked = new HashMap<>();
    private final Map<String, KeyState> keys = new HashMap<>();
    private final GroupWatch[] groups;
    private final Map<String, Long> withdrawnAt = new HashMap<>();
    private final Set<String> firstOf = new HashSet<>();
    private final AuditTrace trace = new AuditTrace();
    private final Map<Violation, Long> violations = new EnumMap<>(Violation.class);
    private String violation;
    private long failovers;
    private long failoversAtViolation;
    private long refusedWrites;
    private long refusalWaits;
    private final long[] reachable = new long[AuditedRequest.Reach.values().length];
    private final long[] reached = new long[AuditedRequest.Reach.values().length];
    private long served;
    private long refused;
    private long failed;
    private final Map<Reply.Reason, Long> reasons = new HashMap<>();

    FailoverAudit(int groups, long slack, long drainGrace, long keyTtl, int paceBound) {
        this.slack = slack;
        this.drainGrace = drainGrace;
        this.keyTtl = keyTtl;
        this.paceBound = paceBound;
        this.groups = new GroupWatch[groups];
        for (int i = 0; i < groups; i++) {
            this.groups[i] = new GroupWatch();
        }
    }

    void note(long now, int group, long ref, String text) {
        trace.note(now, group, ref, text);
    }

    private void broken(Violation kind, long now, int group, long ref, String what) {
        broken(kind, now, group, ref, null, what);
    }

    /** Counts a violation; the first is kept with what the trace has of the request, the key and the group. */
    private void broken(Violation kind, long now, int group, long ref, String key, String what) {
        violations.merge(kind, 1L, Long::sum);
        note(now, group, ref, "VIOLATION " + what);
        if (violation == null) {
            failoversAtViolation = failovers;
            violation = what + " in group " + group + ", request " + ref + '\n' + trace.excerpt(group, ref, key);
        }
    }

    AuditedRequest asked(long now, long ref, int group, String key, long expires) {
        AuditedRequest a = new AuditedRequest(ref, group, key, now, expires);
        asked.put(ref, a);
        if (key != null) {
            trace.key(ref, key);
            note(now, group, ref, "asked with " + key);
            groups[group].open.put(ref, a);
            if (groups[group].vacant) {
                groups[group].affected.add(a);
            }
            if (firstOf.add(key)) {
                keys.put(key, new KeyState());
            }
        }
        return a;
    }

    void answered(long now, long ref, Reply reply) {
        AuditedRequest a = asked.get(ref);
        if (a == null || a.answered) {
            broken(Violation.ANSWERS_LATE, now, a == null ? 0 : a.group, ref, "a second answer");
            return;
        }
        note(now, a.group, ref, "answered " + reply);
        a.answered = true;
        a.served = reply instanceof Reply.Served;
        if (now > a.expires + slack) {
            broken(Violation.ANSWERS_LATE, now, a.group, ref, "answered late");
        }
        if (reply instanceof Reply.Served) {
            served++;
            KeyState key = a.key == null ? null : keys.get(a.key);
            if (key != null) {
                key.served = true;
                if (key.applied != 1) {
                    broken(
                            Violation.SERVED_NOT_APPLIED,
                            now,
                            a.group,
                            ref,
                            "served, applied " + key.applied + " times");
                }
            }
        } else if (reply instanceof Reply.Rejected r) {
            refused++;
            reasons.merge(r.reason(), 1L, Long::sum);
            refusalWaits += a.key == null ? 0 : now - a.takenAt;
            refusedWrites += a.key == null ? 0 : 1;
            if (a.ranSince != Long.MAX_VALUE && a.key != null) {
                broken(Violation.REFUSED_IN_DOUBT, now, a.group, ref, "refused, and may have run");
            }
        } else {
            failed++;
            reasons.merge(((Reply.Failed) reply).reason(), 1L, Long::sum);
        }
        count(a);
        over(a);
    }

    /** The proxy's process has ended under the request. */
    void lost(AuditedRequest a) {
        a.lost = true;
        a.answered = true;
        over(a);
    }

    /** A new process knows nothing of who serves. */
    void restarted() {
        for (GroupWatch g : groups) {
            g.serving = null;
        }
    }

    private void over(AuditedRequest a) {
        groups[a.group].open.remove(a.ref);
        if (!a.inFlight) {
            asked.remove(a.ref);
        }
    }

    Iterable<AuditedRequest> open() {
        return List.copyOf(asked.values()).stream().filter(a -> !a.answered).toList();
    }

    void sent(long now, long ref, String server) {
        AuditedRequest a = asked.get(ref);
        if (a == null) {
            broken(Violation.SECOND_ATTEMPTS, now, 0, ref, "sent after its answer");
            return;
        }
        note(now, a.group, ref, "sent to " + server);
        if (a.inFlight || a.answered) {
            broken(Violation.SECOND_ATTEMPTS, now, a.group, ref, "a second attempt in flight");
        }
        if (a.key != null && a.ranSince != Long.MAX_VALUE && now >= a.ranSince + keyTtl) {
            broken(Violation.WINDOW_RESENDS, now, a.group, ref, "sent again after its key's window");
        }
        GroupWatch g = groups[a.group];
        if (a.key != null && g.serving != null && !g.serving.equals(server)) {
            broken(
                    Violation.MISDIRECTED,
                    now,
                    a.group,
                    ref,
                    "a write to " + server + " while " + g.serving + " serves them");
        }
        if (now > withdrawnAt.getOrDefault(server, Long.MAX_VALUE / 2) + drainGrace) {
            broken(Violation.DRAIN_VIOLATIONS, now, a.group, ref, "sent to a withdrawn member");
        }
        a.inFlight = true;
        a.outAt = server;
        a.outSince = now;
    }

    void ended(long now, long ref, AttemptResult result) {
        AuditedRequest a = asked.get(ref);
        if (a == null) {
            return;
        }
        note(now, a.group, ref, "attempt ended " + result);
        a.inFlight = false;
        if (result == AttemptResult.OK && a.key != null && a.outAt.equals(groups[a.group].leader)) {
            groups[a.group].serving = a.outAt;
        }
        if (result != AttemptResult.OK && !result.provesNotExecuted() && a.ranSince == Long.MAX_VALUE) {
            a.ranSince = a.outSince;
        }
        if (a.answered) {
            asked.remove(ref);
        }
    }

    void history(long now, int group, ModelEffect effect) {
        GroupWatch g = groups[group];
        if (effect instanceof ModelEffect.WriteApplied e) {
            KeyState key = keys.get(e.idempotencyKey());
            note(now, group, 0, e.idempotencyKey() + " applied");
            if (++key.applied > 1) {
                broken(
                        Violation.APPLIED_TWICE,
                        now,
                        group,
                        -1,
                        e.idempotencyKey(),
                        e.idempotencyKey() + " applied twice");
            }
        } else if (effect instanceof ModelEffect.WriteRolledBack e) {
            KeyState key = keys.get(e.idempotencyKey());
            key.applied--;
            note(now, group, 0, e.idempotencyKey() + " undone");
            if (key.served) {
                broken(
                        Violation.SERVED_NOT_APPLIED,
                        now,
                        group,
                        -1,
                        e.idempotencyKey(),
                        e.idempotencyKey() + " served and lost");
            }
        } else if (effect instanceof ModelEffect.LeaderLost e) {
            note(now, group, -1, "vacant after " + e.previousLeader() + (e.planned() ? ", planned" : ""));
            g.affected.clear();
            g.affected.addAll(g.open.values());
            g.vacant = true;
            g.leader = null;
            g.planned = e.planned();
            g.serving = null;
            g.changes++;
        } else if (effect instanceof ModelEffect.LeaderElected e) {
            note(now, group, -1, "led by " + e.member());
            g.leader = "g" + group + "m" + e.member();
            g.vacant = false;
        } else if (effect instanceof ModelEffect.MemberCollapsed e) {
            broken(Violation.FALLEN, now, group, -1, "member " + e.member() + " fell over");
        }
    }

    /** A group has changed its leader; {@code stable} is to be called {@link #MARGIN} later. */
    long changed(int group, boolean anew) {
        failovers += anew ? 1 : 0;
        return groups[group].changes;
    }

    /** The group has been led without a break since {@code ledAt}: its affected writes are judged. */
    void stable(int group, long change, long ledAt, String leader, boolean cold) {
        GroupWatch g = groups[group];
        if (g.changes != change || g.vacant) {
            return;
        }
        for (AuditedRequest a : g.affected) {
            long ran = Math.min(
                    a.ranSince,
                    a.inFlight && !a.outAt.equals(leader) && a.outSince < ledAt ? a.outSince : Long.MAX_VALUE);
            boolean doubtful = ran != Long.MAX_VALUE && ran + keyTtl < ledAt + MARGIN;
            if (!a.lost && !doubtful && a.expires >= ledAt + MARGIN) {
                a.reach = cold
                        ? AuditedRequest.Reach.COLD
                        : g.planned ? AuditedRequest.Reach.PLANNED : AuditedRequest.Reach.UNPLANNED;
                if (a.answered) {
                    count(a);
                }
            }
        }
        g.affected.clear();
    }

    private void count(AuditedRequest a) {
        if (a.reach != AuditedRequest.Reach.NOT && !a.lost) {
            reachable[a.reach.ordinal()]++;
            reached[a.reach.ordinal()] += a.served ? 1 : 0;
            if (!a.served) {
                note(a.expires, a.group, a.ref, "reachable and not served");
            }
            a.reach = AuditedRequest.Reach.NOT;
        }
    }

    void told(long now, String server, boolean withdrawn) {
        if (withdrawn) {
            withdrawnAt.putIfAbsent(server, now);
        } else {
            withdrawnAt.remove(server);
        }
    }

    /** So many held requests were let go in the step that brought a new leader. */
    void released(long now, int count) {
        if (count > paceBound) {
            broken(Violation.PACE_VIOLATIONS, now, 0, -1, count + " requests let go at once");
        }
    }

    /** Everything has come to rest: nobody may still wait. */
    void end(long now) {
        for (AuditedRequest a : open()) {
            broken(Violation.ANSWERS_MISSING, now, a.group, a.ref, "never answered");
        }
    }

    long failovers() {
        return failovers;
    }

    /** The first violation with its trace; null for none. */
    String violation() {
        return violation;
    }

    Map<String, Object> figures() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("failovers", failovers);
        all.put("keys", (long) keys.size());
        long sum = 0;
        for (Violation kind : Violation.values()) {
            long count = violations.getOrDefault(kind, 0L);
            all.put(kind.name().toLowerCase(Locale.ROOT), count);
            sum += count;
        }
        all.put("violations", sum);
        all.put("first_violation_after", violation == null ? -1 : failoversAtViolation);
        int unplanned = AuditedRequest.Reach.UNPLANNED.ordinal();
        int planned = AuditedRequest.Reach.PLANNED.ordinal();
        all.put("reachable", reachable[unplanned] + reachable[planned]);
        all.put(
                "served_of_reachable",
                share(reached[unplanned] + reached[planned], reachable[unplanned] + reachable[planned]));
        for (AuditedRequest.Reach reach :
                List.of(AuditedRequest.Reach.UNPLANNED, AuditedRequest.Reach.PLANNED, AuditedRequest.Reach.COLD)) {
            String name = reach.name().toLowerCase(Locale.ROOT);
            all.put("reachable_" + name, reachable[reach.ordinal()]);
            all.put("served_of_reachable_" + name, share(reached[reach.ordinal()], reachable[reach.ordinal()]));
        }
        all.put("served", served);
        all.put("refused", refused);
        all.put("failed", failed);
        all.put("refused_writes", refusedWrites);
        all.put("mean_wait_of_refused_writes_ms", refusedWrites == 0 ? 0 : refusalWaits / refusedWrites / 1_000);
        Map<String, Long> byReason = new TreeMap<>();
        reasons.forEach((reason, count) -> byReason.put(reason.name().toLowerCase(Locale.ROOT), count));
        all.put("reasons", byReason);
        return all;
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 1 : Math.round(10_000.0 * part / whole) / 10_000.0;
    }
}
