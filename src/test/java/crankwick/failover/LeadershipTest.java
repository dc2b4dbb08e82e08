package crankwick.failover;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import crankwick.failover.Leadership.Phase;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.Role;
import org.testng.annotations.Test;

/** The effect of each kind of evidence on a group's leadership; times in microseconds. */
public class LeadershipTest {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long START = 1_000_000 * MICROS_PER_MILLI;

    private final Leadership withoutEvidence = new Leadership();

    private static LeadershipEvidence.RoleReported claim(String endpointId, long at) {
        return new LeadershipEvidence.RoleReported(endpointId, Role.PRIMARY, at, at);
    }

    /** Returns the leadership of a group with leader "a", observed at START. */
    private static Leadership ledByA() {
        Leadership leadership = new Leadership();
        assertTrue(leadership.observe(claim("a", START), START));
        assertEquals(leadership.phase(), Phase.HEALTHY);
        return leadership;
    }

    /** Returns the leadership after "a" failed and "b" took over at START + 5 s. */
    private static Leadership ledByB() {
        Leadership leadership = ledByA();
        leadership.observe(new LeadershipEvidence.ConnectionRefused("a"), START + 100 * MICROS_PER_MILLI);
        assertEquals(leadership.phase(), Phase.LEADERLESS);
        assertTrue(leadership.observe(claim("b", START + 5_000 * MICROS_PER_MILLI), START + 5_000 * MICROS_PER_MILLI));
        assertEquals(leadership.phase(), Phase.TAKING_OVER);
        return leadership;
    }

    @Test
    public void lostConnectionSuspectsTheLeaderUntilALaterClaim() {
        Leadership leadership = ledByA();
        leadership.observe(new LeadershipEvidence.ConnectionLost("a"), START + 10 * MICROS_PER_MILLI);
        assertEquals(leadership.phase(), Phase.SUSPECTED);
        leadership.observe(claim("a", START + 5 * MICROS_PER_MILLI), START + 12 * MICROS_PER_MILLI);
        assertEquals(leadership.phase(), Phase.SUSPECTED, "claimed before the connection was lost");
        leadership.observe(claim("a", START + 15 * MICROS_PER_MILLI), START + 16 * MICROS_PER_MILLI);
        assertEquals(leadership.phase(), Phase.HEALTHY);
    }

    @Test
    public void oneTimeoutSuspectsTheLeaderAndASecondEndsItsLeadership() {
        Leadership leadership = ledByA();
        leadership.observe(
                new LeadershipEvidence.Unresponsive("a", START + 100 * MICROS_PER_MILLI),
                START + 350 * MICROS_PER_MILLI);
        assertEquals(leadership.phase(), Phase.SUSPECTED);
        leadership.observe(
                new LeadershipEvidence.Unresponsive("a", START + 400 * MICROS_PER_MILLI),
                START + 650 * MICROS_PER_MILLI);
        assertEquals(leadership.phase(), Phase.LEADERLESS);
        assertEquals(leadership.leaderlessSince(), START + 100 * MICROS_PER_MILLI);
    }

    @Test
    public void evidenceAgainstOthersDoesNotAffectTheLeader() {
        Leadership leadership = ledByA();
        leadership.observe(new LeadershipEvidence.ConnectionRefused("b"), START + MICROS_PER_MILLI);
        leadership.observe(new LeadershipEvidence.ConnectionLost("c"), START + MICROS_PER_MILLI);
        leadership.observe(new LeadershipEvidence.Delisted("b"), START + MICROS_PER_MILLI);
        leadership.observe(
                new LeadershipEvidence.RoleReported("b", Role.REPLICA, START, START), START + MICROS_PER_MILLI);
        assertEquals(leadership.phase(), Phase.HEALTHY);
    }

    @Test
    public void claimsOfAReplacedLeaderAreRejected() {
        Leadership leadership = ledByB();
        long now = START + 5_100 * MICROS_PER_MILLI;
        assertFalse(
                leadership.observe(claim("a", START + 99 * MICROS_PER_MILLI), now),
                "its position is from before its failure");
        assertFalse(
                leadership.observe(new LeadershipEvidence.RoleReported("a", Role.PRIMARY, AbsentValue.NONE, now), now),
                "no position");
        assertFalse(leadership.observe(claim("a", now), now), "b was observed recently");
        assertEquals(leadership.leader(), "b");
        assertEquals(leadership.term(), 2);
    }

    @Test
    public void denialsSentBeforeTheLatestClaimAreIgnored() {
        Leadership leadership = ledByB();
        assertFalse(
                leadership.observe(
                        new LeadershipEvidence.RoleReported(
                                "b", Role.REPLICA, AbsentValue.NONE, START + 4_990 * MICROS_PER_MILLI),
                        START + 5_020 * MICROS_PER_MILLI),
                "the request was sent before b took over");
        assertFalse(leadership.observe(
                new LeadershipEvidence.WriteRejected("b", START + 4_995 * MICROS_PER_MILLI),
                START + 5_010 * MICROS_PER_MILLI));
        assertEquals(leadership.phase(), Phase.TAKING_OVER);
        leadership.observe(
                new LeadershipEvidence.WriteRejected("b", START + 5_200 * MICROS_PER_MILLI),
                START + 5_210 * MICROS_PER_MILLI);
        assertEquals(leadership.phase(), Phase.LEADERLESS, "the rejected write is newer than the claim");
    }

    @Test
    public void delistedLeaderLeadsAgainOnlyAfterRelistingAndANewClaim() {
        Leadership leadership = ledByA();
        leadership.observe(new LeadershipEvidence.Delisted("a"), START + MICROS_PER_MILLI);
        assertEquals(leadership.phase(), Phase.LEADERLESS);
        assertTrue(leadership.isFailoverPlanned());
        assertFalse(
                leadership.observe(claim("a", START + 50 * MICROS_PER_MILLI), START + 50 * MICROS_PER_MILLI),
                "a draining endpoint only completes its open requests");
        assertEquals(leadership.phase(), Phase.LEADERLESS);
        leadership.observe(new LeadershipEvidence.ListedAsUp("a"), START + 100 * MICROS_PER_MILLI);
        assertEquals(leadership.phase(), Phase.LEADERLESS, "a list entry alone is no claim");
        assertTrue(leadership.observe(claim("a", START + 150 * MICROS_PER_MILLI), START + 150 * MICROS_PER_MILLI));
        assertEquals(leadership.phase(), Phase.TAKING_OVER);
    }

    @Test
    public void twoFailoversWithinThreeSeconds() {
        Leadership leadership = ledByB();
        leadership.observe(new LeadershipEvidence.ConnectionRefused("b"), START + 5_500 * MICROS_PER_MILLI);
        assertTrue(leadership.observe(claim("c", START + 7_500 * MICROS_PER_MILLI), START + 7_500 * MICROS_PER_MILLI));
        assertEquals(leadership.term(), 3);
        leadership.observe(new LeadershipEvidence.ConnectionRefused("c"), START + 8_000 * MICROS_PER_MILLI);
        assertFalse(
                leadership.observe(claim("b", START + 5_400 * MICROS_PER_MILLI), START + 8_000 * MICROS_PER_MILLI),
                "the claim is older than c's claim");
        assertTrue(
                leadership.observe(claim("b", START + 10_000 * MICROS_PER_MILLI), START + 10_000 * MICROS_PER_MILLI),
                "a former leader may become leader again");
        assertEquals(leadership.term(), 4);
    }

    @Test
    public void transitionHistoryIncludesEvidenceAndIsBounded() {
        Leadership leadership = ledByA();
        for (int i = 1; i <= 200; i++) {
            leadership.observe(new LeadershipEvidence.ConnectionLost("a"), START + 2 * i * MICROS_PER_MILLI);
            leadership.observe(
                    claim("a", START + (2 * i + 1) * MICROS_PER_MILLI), START + (2 * i + 1) * MICROS_PER_MILLI);
        }
        assertEquals(leadership.transitions().size(), 32);
        Leadership.PhaseTransition last = leadership.transitions().get(31);
        assertEquals(last.to(), Phase.HEALTHY);
        assertEquals(last.evidence(), claim("a", START + 401 * MICROS_PER_MILLI));
        assertEquals(withoutEvidence.phase(), Phase.UNKNOWN);
    }

    @Test
    public void claimOlderThanTheMaximumAgeIsRejected() {
        assertFalse(new Leadership().observe(claim("a", START - 1_500_001), START));
        assertTrue(new Leadership().observe(claim("a", START - 1_500_000), START));
    }

    /** Positions are rounded in the wire protocols, so a claim up to 2 ms behind the fence is accepted. */
    @Test
    public void claimBehindTheFenceIsRejected() {
        Leadership leadership = ledByA();
        leadership.observe(new LeadershipEvidence.ConnectionRefused("a"), START + MICROS_PER_MILLI);
        long now = START + 2 * MICROS_PER_MILLI;
        assertFalse(
                leadership.observe(new LeadershipEvidence.RoleReported("b", Role.PRIMARY, START - 2_001, now), now));
        assertTrue(leadership.observe(new LeadershipEvidence.RoleReported("b", Role.PRIMARY, START - 2_000, now), now));
    }

    @Test
    public void claimOfAReplacedLeaderWithoutPositionIsRejectedWhileAnotherLeads() {
        Leadership leadership = ledByB();
        long now = START + 5_600 * MICROS_PER_MILLI;
        LeadershipEvidence.RoleReported withoutPosition =
                new LeadershipEvidence.RoleReported("a", Role.PRIMARY, AbsentValue.NONE, now);
        assertFalse(leadership.observe(withoutPosition, now));
        leadership.observe(new LeadershipEvidence.ConnectionRefused("b"), now);
        assertTrue(leadership.observe(withoutPosition, now));
    }
}
