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
    /** The state of a group's leadership; only LEADERLESS makes requests wait. */
    public enum Phase {
        /** No endpoint has claimed to lead yet. */
        UNKNOWN,
        /** The leader answers. */
        HEALTHY,
        /** There is evidence against the leader, such as a lost connection; work goes on. */
        SUSPECTED,
        /** The leader is down, unresponsive, delisted, or denies that it leads. */
        LEADERLESS,
        /** A leader has claimed the role and has not served a write yet. */
        TAKING_OVER
    }

    /** A change of the phase or the leader, and the evidence for it. */
    public record PhaseTransition(
            long at, Phase from, Phase to, String leader, long term, LeadershipEvidence evidence) {}

    /** A leader observed so recently is not given up for one that led before. */
    private static final long RECENTLY_OBSERVED_MICROS = 500_000;
    /** A primary's position is the present: an older one is claimed by an endpoint that has been replaced. */
    private static final long MAX_CLAIM_AGE_MICROS = 1_500_000;
    /** Positions are rounded to milliseconds on the wires. */
    private static final long POSITION_ROUNDING_MICROS = 2_000;
    /** Earlier than any time, and far enough from the least long that a difference to it does not overflow. */
    private static final long LONG_AGO = Long.MIN_VALUE / 2;

    private static final int MAX_TRANSITIONS = 32;

    private final Map<String, Long> replacedLeaders = new HashMap<>();
    private final ArrayDeque<PhaseTransition> transitions = new ArrayDeque<>();
    private Phase phase = Phase.UNKNOWN;
    private String leader;
    private boolean delisted;
    private long term;
    private long claimedAsOf = Long.MIN_VALUE;
    private long lastObservedAt = LONG_AGO;
    private long suspectedAt;
    private long leaderlessSince;
    private boolean planned;
    private long fence = LONG_AGO;

    /** Takes a piece of evidence; false if it is a claim or denial that is not believed. */
    boolean observe(LeadershipEvidence evidence, long now) {
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
            endLeadership(evidence, now, now, false);
        } else if (evidence instanceof LeadershipEvidence.ConnectionLost) {
            suspect(evidence, now, now);
        } else if (evidence instanceof LeadershipEvidence.Unresponsive e) {
            onUnresponsive(e, now);
        } else if (evidence instanceof LeadershipEvidence.Delisted) {
            delisted = true;
            endLeadership(evidence, now, now, true);
        } else if (evidence instanceof LeadershipEvidence.ListedAsUp) {
            delisted = false;
        }
        return true;
    }

    private boolean onClaim(LeadershipEvidence.RoleReported claim, long now) {
        boolean fromLeader = claim.endpointId().equals(leader);
        boolean believed = fromLeader ? isLeaderClaimBelieved(claim, now) : isChallengeBelieved(claim, now);
        if (!believed) {
            return false;
        }
        if (fromLeader) {
            onLeaderObserved(claim, now);
        } else {
            beginTerm(claim, now);
        }
        return true;
    }

    private boolean isLeaderClaimBelieved(LeadershipEvidence.RoleReported claim, long now) {
        boolean outdated =
                phase == Phase.LEADERLESS && (isPositionBehind(claim, now) || claim.asOf() <= leaderlessSince);
        return !delisted && !outdated;
    }

    /** Whether an endpoint that is not the leader so far is believed to be so now. */
    private boolean isChallengeBelieved(LeadershipEvidence.RoleReported claim, long now) {
        if (isPositionBehind(claim, now) || claim.asOf() < claimedAsOf) {
            return false;
        }
        Long replacedAsOf = replacedLeaders.get(claim.endpointId());
        if (replacedAsOf == null) {
            return true;
        }
        boolean hasLeader = phase == Phase.HEALTHY || phase == Phase.TAKING_OVER || phase == Phase.SUSPECTED;
        boolean leaderObserved = hasLeader && now - lastObservedAt < RECENTLY_OBSERVED_MICROS;
        boolean undated = claim.position() == AbsentValue.NONE && hasLeader;
        return !leaderObserved && claim.asOf() > replacedAsOf && !undated;
    }

    /** True if the claimed position lies behind what a leader must have. */
    private boolean isPositionBehind(LeadershipEvidence.RoleReported claim, long now) {
        return claim.position() != AbsentValue.NONE
                && (claim.position() < fence - POSITION_ROUNDING_MICROS
                        || claim.position() < now - MAX_CLAIM_AGE_MICROS);
    }

    /** The leader reports as such: a suspicion that is older than its report is over. */
    private void onLeaderObserved(LeadershipEvidence.RoleReported claim, long now) {
        claimedAsOf = Math.max(claimedAsOf, claim.asOf());
        lastObservedAt = now;
        fence = Math.max(fence, claim.position());
        if (phase == Phase.LEADERLESS) {
            transition(Phase.TAKING_OVER, claim, now);
        } else if (phase == Phase.SUSPECTED && claim.asOf() > suspectedAt) {
            transition(Phase.HEALTHY, claim, now);
        }
    }

    private void beginTerm(LeadershipEvidence.RoleReported claim, long now) {
        if (leader != null) {
            replacedLeaders.put(leader, claim.asOf());
        }
        replacedLeaders.remove(claim.endpointId());
        leader = claim.endpointId();
        delisted = false;
        term++;
        claimedAsOf = claim.asOf();
        lastObservedAt = now;
        fence = Math.max(fence, claim.position());
        transition(phase == Phase.UNKNOWN ? Phase.HEALTHY : Phase.TAKING_OVER, claim, now);
    }

    /** The leader denies that it leads; a denial older than its last claim is outdated. */
    private boolean onDenial(LeadershipEvidence denial, long asOf, long now) {
        if (!denial.endpointId().equals(leader)) {
            return true;
        }
        if (asOf <= claimedAsOf) {
            return false;
        }
        endLeadership(denial, now, now, false);
        return true;
    }

    private void onUnresponsive(LeadershipEvidence.Unresponsive unresponsive, long now) {
        if (lastObservedAt >= unresponsive.asOf()) {
            return;
        }
        if (phase == Phase.SUSPECTED && unresponsive.asOf() > suspectedAt) {
            endLeadership(unresponsive, Math.max(lastObservedAt, suspectedAt), now, false);
        } else {
            suspect(unresponsive, unresponsive.asOf(), now);
        }
    }

    private void suspect(LeadershipEvidence evidence, long since, long now) {
        if (phase == Phase.HEALTHY || phase == Phase.TAKING_OVER) {
            suspectedAt = since;
            transition(Phase.SUSPECTED, evidence, now);
        }
    }

    private void endLeadership(LeadershipEvidence evidence, long since, long now, boolean isPlanned) {
        if (phase != Phase.LEADERLESS) {
            planned = isPlanned;
            leaderlessSince = since;
            transition(Phase.LEADERLESS, evidence, now);
        }
    }

    /** A leader has served a write: the failover is over. */
    void writeServed(LeadershipEvidence evidence, long now) {
        if (phase == Phase.TAKING_OVER && evidence.endpointId().equals(leader)) {
            transition(Phase.HEALTHY, evidence, now);
        }
    }

    private void transition(Phase to, LeadershipEvidence evidence, long now) {
        transitions.add(new PhaseTransition(now, phase, to, leader, term, evidence));
        if (transitions.size() > MAX_TRANSITIONS) {
            transitions.remove();
        }
        phase = to;
    }

    /** An endpoint has been removed for good. */
    void forget(String endpointId) {
        replacedLeaders.remove(endpointId);
    }

    /** The present phase. */
    public Phase phase() {
        return phase;
    }

    /** The endpoint that leads or led last; null before the first claim. */
    public String leader() {
        return leader;
    }

    /** How many terms have begun so far. */
    public long term() {
        return term;
    }

    /** Since when a leaderless group has been so, as far as this proxy can tell; microseconds. */
    public long leaderlessSince() {
        return leaderlessSince;
    }

    /** True if the last failover began with the leader's delisting. */
    public boolean isFailoverPlanned() {
        return planned;
    }

    /** The last transitions, the oldest first, with the evidence for each. */
    public List<PhaseTransition> transitions() {
        return List.copyOf(transitions);
    }
}
