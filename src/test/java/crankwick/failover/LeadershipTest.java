package crankwick.failover;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import crankwick.failover.Leadership.Phase;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.Role;
import org.testng.annotations.Test;

/** What moves a term, and what must not; times in microseconds. */
public class LeadershipTest {
    private static final long MS = 1_000;
    private static final long T = 1_000_000 * MS;

    private final Leadership led = new Leadership();

    private static LeadershipEvidence.RoleReported claim(String server, long at) {
        return new LeadershipEvidence.RoleReported(server, Role.PRIMARY, at, at);
    }

    /** A group that "a" leads, heard at T. */
    private static Leadership ledByA() {
        Leadership l = new Leadership();
        assertTrue(l.take(claim("a", T), T));
        assertEquals(l.phase(), Phase.LED);
        return l;
    }

    /** The same after "a" died and "b" took over at T + 5 s. */
    private static Leadership ledByB() {
        Leadership l = ledByA();
        l.take(new LeadershipEvidence.ConnectionRefused("a"), T + 100 * MS);
        assertEquals(l.phase(), Phase.LEADERLESS);
        assertTrue(l.take(claim("b", T + 5_000 * MS), T + 5_000 * MS));
        assertEquals(l.phase(), Phase.TAKING_OVER);
        return l;
    }

    @Test
    public void aBreakDoubtsAndALaterClaimEndsTheDoubt() {
        Leadership l = ledByA();
        l.take(new LeadershipEvidence.ConnectionLost("a"), T + 10 * MS);
        assertEquals(l.phase(), Phase.DOUBTED);
        l.take(claim("a", T + 5 * MS), T + 12 * MS);
        assertEquals(l.phase(), Phase.DOUBTED, "said before the break");
        l.take(claim("a", T + 15 * MS), T + 16 * MS);
        assertEquals(l.phase(), Phase.LED);
    }

    @Test
    public void silenceTwiceVacatesSilenceOnceDoubts() {
        Leadership l = ledByA();
        l.take(new LeadershipEvidence.Unresponsive("a", T + 100 * MS), T + 350 * MS);
        assertEquals(l.phase(), Phase.DOUBTED);
        l.take(new LeadershipEvidence.Unresponsive("a", T + 400 * MS), T + 650 * MS);
        assertEquals(l.phase(), Phase.LEADERLESS);
        assertEquals(l.vacantSince(), T + 100 * MS);
    }

    @Test
    public void othersTroublesDoNotTouchTheLeader() {
        Leadership l = ledByA();
        l.take(new LeadershipEvidence.ConnectionRefused("b"), T + MS);
        l.take(new LeadershipEvidence.ConnectionLost("c"), T + MS);
        l.take(new LeadershipEvidence.Delisted("b"), T + MS);
        l.take(new LeadershipEvidence.RoleReported("b", Role.REPLICA, T, T), T + MS);
        assertEquals(l.phase(), Phase.LED);
    }

    @Test
    public void theReturnedPrimaryMayClaimWhatItLikes() {
        Leadership l = ledByB();
        long now = T + 5_100 * MS;
        assertFalse(l.take(claim("a", T + 99 * MS), now), "its position stands where it died");
        assertFalse(
                l.take(new LeadershipEvidence.RoleReported("a", Role.PRIMARY, AbsentValue.NONE, now), now),
                "no position");
        assertFalse(l.take(claim("a", now), now), "b was heard lately");
        assertEquals(l.leader(), "b");
        assertEquals(l.term(), 2);
    }

    @Test
    public void anAnswerReadLateIsNoNews() {
        Leadership l = ledByB();
        assertFalse(
                l.take(
                        new LeadershipEvidence.RoleReported("b", Role.REPLICA, AbsentValue.NONE, T + 4_990 * MS),
                        T + 5_020 * MS),
                "sent before it took over");
        assertFalse(l.take(new LeadershipEvidence.WriteRejected("b", T + 4_995 * MS), T + 5_010 * MS));
        assertEquals(l.phase(), Phase.TAKING_OVER);
        l.take(new LeadershipEvidence.WriteRejected("b", T + 5_200 * MS), T + 5_210 * MS);
        assertEquals(l.phase(), Phase.LEADERLESS, "a miss that is newer than its claim");
    }

    @Test
    public void aDrainedPrimaryLeadsNoMoreUntilTheListHasItBack() {
        Leadership l = ledByA();
        l.take(new LeadershipEvidence.Delisted("a"), T + MS);
        assertEquals(l.phase(), Phase.LEADERLESS);
        assertTrue(l.planned());
        assertFalse(l.take(claim("a", T + 50 * MS), T + 50 * MS), "it finishes what it has");
        assertEquals(l.phase(), Phase.LEADERLESS);
        l.take(new LeadershipEvidence.ListedAsUp("a"), T + 100 * MS);
        assertEquals(l.phase(), Phase.LEADERLESS, "the list alone makes nobody lead");
        assertTrue(l.take(claim("a", T + 150 * MS), T + 150 * MS));
        assertEquals(l.phase(), Phase.TAKING_OVER);
    }

    @Test
    public void twoChangesWithinThreeSeconds() {
        Leadership l = ledByB();
        l.take(new LeadershipEvidence.ConnectionRefused("b"), T + 5_500 * MS);
        assertTrue(l.take(claim("c", T + 7_500 * MS), T + 7_500 * MS));
        assertEquals(l.term(), 3);
        l.take(new LeadershipEvidence.ConnectionRefused("c"), T + 8_000 * MS);
        assertFalse(l.take(claim("b", T + 5_400 * MS), T + 8_000 * MS), "its claim is from before c's");
        assertTrue(l.take(claim("b", T + 10_000 * MS), T + 10_000 * MS), "it may lead again");
        assertEquals(l.term(), 4);
    }

    @Test
    public void movesKeepTheirEvidenceAndAreBounded() {
        Leadership l = ledByA();
        for (int i = 1; i <= 200; i++) {
            l.take(new LeadershipEvidence.ConnectionLost("a"), T + 2 * i * MS);
            l.take(claim("a", T + (2 * i + 1) * MS), T + (2 * i + 1) * MS);
        }
        assertEquals(l.moves().size(), 32);
        Leadership.PhaseTransition last = l.moves().get(31);
        assertEquals(last.to(), Phase.LED);
        assertEquals(last.why(), claim("a", T + 401 * MS));
        assertEquals(led.phase(), Phase.UNKNOWN);
    }
}
