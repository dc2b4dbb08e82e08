package crankwick.failover;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.Role;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The leader of one group, as far as this proxy knows, in numbered terms. A term begins when a claim to be primary is
 * accepted from an endpoint other than the current leader. The phase changes only on evidence, and each
 * {@link PhaseTransition} records this evidence.
 *
 * <p>Term numbers are local to this proxy, because no message carries the group's own term. Instead, claims are ordered
 * by the earliest time at which they can have been made, and fenced by the highest log position that an accepted leader
 * has reported: the actual leader has all writes that were acknowledged before, so a claim with an earlier position is
 * outdated (compare fencing tokens; Gray and Cheriton, "Leases", 1989).
 */
public final class Leadership {
    /** The state of a group's leadership; requests are buffered for lack of a leader only while LEADERLESS. */
    public enum Phase {
        /** No claim of any endpoint to be the primary of the group has been accepted yet. */
        UNKNOWN,
        /** The leader has claimed the primary role or served a write, and there is no newer evidence against it. */
        HEALTHY,
        /**
         * A connection to the leader was lost, or the leader did not respond in time; requests are still sent to it.
         */
        SUSPECTED,
        /**
         * The last leader is down, unresponsive, draining or removed, or has denied that it is primary, and no claim to
         * be primary has been accepted since.
         */
        LEADERLESS,
        /**
         * A new leader, or the last leader after LEADERLESS, has claimed the primary role and has not served a write
         * yet; the first leader of a group is HEALTHY at once.
         */
        TAKING_OVER
    }

    /** A change of the phase or the leader, with the evidence that caused it. */
    public record PhaseTransition(
            long at, Phase from, Phase to, String leader, long term, LeadershipEvidence evidence) {}

    /**
     * While the group has a leader whose last claim was accepted within this period, claims of former leaders are
     * rejected.
     */
    private static final long RECENT_OBSERVATION_MICROS = 500_000;
    /** A primary's log position is the current time, so a claim whose position is older than this is outdated. */
    private static final long MAX_CLAIM_AGE_MICROS = 1_500_000;
    /**
     * Positions are rounded to milliseconds in the wire protocols, so claims are accepted this far behind the fence,
     * the highest position that an accepted leader has reported.
     */
    private static final long POSITION_ROUNDING_MICROS = 2_000;
    /**
     * The initial value of times and positions: earlier than any real one, but far enough from Long.MIN_VALUE that
     * subtracting it does not overflow.
     */
    private static final long DISTANT_PAST = Long.MIN_VALUE / 2;

    private static final int MAX_TRANSITIONS = 32;

    private final Map<String, Long> replacedLeaders = new HashMap<>();
    private final ArrayDeque<PhaseTransition> transitions = new ArrayDeque<>();
    private Phase phase = Phase.UNKNOWN;
    private String leader;
    private boolean delisted;
    private long term;
    private long latestClaimAsOf = Long.MIN_VALUE;
    private long lastObservedAt = DISTANT_PAST;
    private long suspectedAt;
    private long leaderlessSince;
    private boolean planned;
    private long fence = DISTANT_PAST;

    /**
     * Takes a piece of evidence; returns false if it is a claim to be primary or a denial of it that is rejected, for
     * example as outdated.
     */
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
        boolean accepted = fromLeader ? isLeaderClaimAccepted(claim, now) : isChallengerClaimAccepted(claim, now);
        if (!accepted) {
            return false;
        }
        if (fromLeader) {
            onLeaderObserved(claim, now);
        } else {
            beginTerm(claim, now);
        }
        return true;
    }

    private boolean isLeaderClaimAccepted(LeadershipEvidence.RoleReported claim, long now) {
        boolean outdated =
                phase == Phase.LEADERLESS && (isPositionBehind(claim, now) || claim.asOf() <= leaderlessSince);
        return !delisted && !outdated;
    }

    /** Returns true if the claim of an endpoint other than the current leader makes it the new leader. */
    private boolean isChallengerClaimAccepted(LeadershipEvidence.RoleReported claim, long now) {
        if (isPositionBehind(claim, now) || claim.asOf() < latestClaimAsOf) {
            return false;
        }
        Long replacedAsOf = replacedLeaders.get(claim.endpointId());
        if (replacedAsOf == null) {
            return true;
        }
        boolean hasLeader = phase == Phase.HEALTHY || phase == Phase.TAKING_OVER || phase == Phase.SUSPECTED;
        boolean leaderObserved = hasLeader && now - lastObservedAt < RECENT_OBSERVATION_MICROS;
        boolean unverifiable = claim.position() == AbsentValue.NONE && hasLeader;
        return !leaderObserved && claim.asOf() > replacedAsOf && !unverifiable;
    }

    /**
     * Returns true if the position in the claim is behind the fence by more than the rounding, or older than the
     * maximum claim age; false if the claim has no position.
     */
    private boolean isPositionBehind(LeadershipEvidence.RoleReported claim, long now) {
        return claim.position() != AbsentValue.NONE
                && (claim.position() < fence - POSITION_ROUNDING_MICROS
                        || claim.position() < now - MAX_CLAIM_AGE_MICROS);
    }

    /**
     * Handles an accepted claim of the current or last leader: it ends a leaderless phase, or a suspicion that is older
     * than the claim.
     */
    private void onLeaderObserved(LeadershipEvidence.RoleReported claim, long now) {
        latestClaimAsOf = Math.max(latestClaimAsOf, claim.asOf());
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
        latestClaimAsOf = claim.asOf();
        lastObservedAt = now;
        fence = Math.max(fence, claim.position());
        transition(phase == Phase.UNKNOWN ? Phase.HEALTHY : Phase.TAKING_OVER, claim, now);
    }

    /**
     * Handles an endpoint's denial of the primary role. A denial by the leader ends its leadership if it is newer than
     * the leader's last claim, and is rejected as outdated otherwise.
     */
    private boolean onDenial(LeadershipEvidence denial, long asOf, long now) {
        if (!denial.endpointId().equals(leader)) {
            return true;
        }
        if (asOf <= latestClaimAsOf) {
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

    /**
     * Handles a write served by an endpoint; if the endpoint is the leader that is taking over, the leader becomes
     * HEALTHY.
     */
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

    /**
     * Discards the record that an endpoint is a former leader, because the endpoint has been removed from the group.
     */
    void removeEndpoint(String endpointId) {
        replacedLeaders.remove(endpointId);
    }

    /** Returns the current phase. */
    public Phase phase() {
        return phase;
    }

    /** Returns the current or, while leaderless, the last leader; null before the first accepted claim. */
    public String leader() {
        return leader;
    }

    /** Returns the number of the current term, which is the number of terms that have begun. */
    public long term() {
        return term;
    }

    /**
     * Returns the time in microseconds at which the group last became leaderless, as estimated by this proxy; 0 if it
     * never did.
     */
    public long leaderlessSince() {
        return leaderlessSince;
    }

    /**
     * Returns true if the failover in progress, or the last completed failover if there is none in progress, began
     * because the endpoint list showed the leader as draining or removed, or no longer contained it.
     */
    public boolean isFailoverPlanned() {
        return planned;
    }

    /** Returns the most recent transitions, oldest first. */
    public List<PhaseTransition> transitions() {
        return List.copyOf(transitions);
    }
}
