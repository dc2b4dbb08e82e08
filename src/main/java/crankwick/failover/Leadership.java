package crankwick.failover;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.Role;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Who leads one group, as this proxy believes it, in numbered terms. A term begins with a believed claim and
 * changes by evidence only; each {@link PhaseTransition} records its own. The number is this proxy's, not the
 * group's: no message carries one, so claims are dated by when they can have been made, and fenced by the
 * positions that the believed leaders have reported: whoever really leads has all that was acknowledged before
 * (as a fencing token; Gray and Cheriton, "Leases", 1989).
 */
public final class Leadership {
    /** A group's standing; only VACANT holds requests back. */
    public enum Phase {
        /** Nobody has claimed to lead yet. */
        UNKNOWN,
        /** The leader answers. */
        LED,
        /** A sign against the leader, such as a broken connection; work goes on. */
        DOUBTED,
        /** The leader is down, silent, withdrawn, or denies it. */
        LEADERLESS,
        /** A leader has claimed the role and has not served a write yet. */
        TAKING_OVER
    }

    /** A move of the phase or the leader, and what moved it. */
    public record PhaseTransition(long at, Phase from, Phase to, String leader, long term, LeadershipEvidence why) {}

    /** A present leader heard so lately is not given up for one who led before. */
    private static final long HEARD_LATELY = 500_000;
    /** A primary stands at the present: a claim with an older position is that of one that once did. */
    private static final long CLAIM_AGE = 1_500_000;
    /** Positions are rounded to milliseconds on the wires. */
    private static final long ROUNDING = 2_000;

    private static final int MOVES_KEPT = 32;

    private final Map<String, Long> overtaken = new HashMap<>();
    private final ArrayDeque<PhaseTransition> moves = new ArrayDeque<>();
    private Phase phase = Phase.UNKNOWN;
    private String leader;
    private boolean withdrawn;
    private long term;
    private long claimedAsOf = Long.MIN_VALUE;
    private long heardAt = Long.MIN_VALUE / 2;
    private long doubtedAt;
    private long vacantSince;
    private boolean planned;
    private long fence = Long.MIN_VALUE / 2;

    /** Takes a piece of evidence; false if it is a claim or denial that is not believed. */
    boolean take(LeadershipEvidence evidence, long now) {
        if (evidence instanceof LeadershipEvidence.RoleReported e) {
            return e.role() == Role.PRIMARY ? onClaim(e, now) : onDenial(e, e.asOf(), now);
        }
        if (evidence instanceof LeadershipEvidence.WriteRejected e) {
            return onDenial(e, e.asOf(), now);
        }
        if (!evidence.endpointId().equals(leader)) {
            return true;
        }
        if (evidence instanceof LeadershipEvidence.ConnectionRefused) {
            vacate(evidence, now, now, false);
        } else if (evidence instanceof LeadershipEvidence.ConnectionLost) {
            doubt(evidence, now, now);
        } else if (evidence instanceof LeadershipEvidence.Unresponsive e) {
            onSilence(e, now);
        } else if (evidence instanceof LeadershipEvidence.Delisted) {
            withdrawn = true;
            vacate(evidence, now, now, true);
        } else if (evidence instanceof LeadershipEvidence.ListedAsUp) {
            withdrawn = false;
        }
        return true;
    }

    private boolean onClaim(LeadershipEvidence.RoleReported claim, long now) {
        boolean behind = claim.position() != AbsentValue.NONE
                && (claim.position() < fence - ROUNDING || claim.position() < now - CLAIM_AGE);
        if (claim.endpointId().equals(leader)) {
            boolean stale = phase == Phase.LEADERLESS && (behind || claim.asOf() <= vacantSince);
            if (!withdrawn && !stale) {
                heard(claim, now);
            }
            return !withdrawn && !stale;
        }
        boolean led = phase == Phase.LED || phase == Phase.TAKING_OVER || phase == Phase.DOUBTED;
        boolean older = claim.asOf() < claimedAsOf;
        boolean present = led && now - heardAt < HEARD_LATELY;
        boolean returned = overtaken.containsKey(claim.endpointId());
        if (behind
                || older
                || returned
                        && (present
                                || claim.asOf() <= overtaken.get(claim.endpointId())
                                || claim.position() == AbsentValue.NONE && led)) {
            return false;
        }
        begin(claim, now);
        return true;
    }

    /** The leader speaks as such: a doubt that is older than what it says is over. */
    private void heard(LeadershipEvidence.RoleReported claim, long now) {
        claimedAsOf = Math.max(claimedAsOf, claim.asOf());
        heardAt = now;
        fence = Math.max(fence, claim.position());
        if (phase == Phase.LEADERLESS) {
            move(Phase.TAKING_OVER, claim, now);
        } else if (phase == Phase.DOUBTED && claim.asOf() > doubtedAt) {
            move(Phase.LED, claim, now);
        }
    }

    private void begin(LeadershipEvidence.RoleReported claim, long now) {
        if (leader != null) {
            overtaken.put(leader, claim.asOf());
        }
        overtaken.remove(claim.endpointId());
        leader = claim.endpointId();
        withdrawn = false;
        term++;
        claimedAsOf = claim.asOf();
        heardAt = now;
        fence = Math.max(fence, claim.position());
        move(phase == Phase.UNKNOWN ? Phase.LED : Phase.TAKING_OVER, claim, now);
    }

    /** The leader says that it does not lead; what it said before its last claim is no news. */
    private boolean onDenial(LeadershipEvidence denial, long asOf, long now) {
        if (!denial.endpointId().equals(leader)) {
            return true;
        }
        if (asOf <= claimedAsOf) {
            return false;
        }
        vacate(denial, now, now, false);
        return true;
    }

    private void onSilence(LeadershipEvidence.Unresponsive silence, long now) {
        if (heardAt >= silence.asOf()) {
            return;
        }
        if (phase == Phase.DOUBTED && silence.asOf() > doubtedAt) {
            vacate(silence, Math.max(heardAt, doubtedAt), now, false);
        } else {
            doubt(silence, silence.asOf(), now);
        }
    }

    private void doubt(LeadershipEvidence why, long since, long now) {
        if (phase == Phase.LED || phase == Phase.TAKING_OVER) {
            doubtedAt = since;
            move(Phase.DOUBTED, why, now);
        }
    }

    private void vacate(LeadershipEvidence why, long since, long now, boolean byPlan) {
        if (phase != Phase.LEADERLESS) {
            planned = byPlan;
            vacantSince = since;
            move(Phase.LEADERLESS, why, now);
        }
    }

    /** The leader has served a write: the change is over. */
    void served(LeadershipEvidence why, long now) {
        if (phase == Phase.TAKING_OVER && why.endpointId().equals(leader)) {
            move(Phase.LED, why, now);
        }
    }

    private void move(Phase to, LeadershipEvidence why, long now) {
        moves.add(new PhaseTransition(now, phase, to, leader, term, why));
        if (moves.size() > MOVES_KEPT) {
            moves.remove();
        }
        phase = to;
    }

    /** A member has left for good. */
    void forget(String server) {
        overtaken.remove(server);
    }

    /** The present phase. */
    public Phase phase() {
        return phase;
    }

    /** Who leads or led last; null before the first claim. */
    public String leader() {
        return leader;
    }

    /** Leaders believed so far. */
    public long term() {
        return term;
    }

    /** Since when a vacant group is vacant, as far as this proxy can tell; microseconds. */
    public long vacantSince() {
        return vacantSince;
    }

    /** True if the last vacancy began with a withdrawal that was told. */
    public boolean planned() {
        return planned;
    }

    /** The last moves, the oldest first, with the evidence for each. */
    public List<PhaseTransition> moves() {
        return List.copyOf(moves);
    }
}
