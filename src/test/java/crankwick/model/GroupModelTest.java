package crankwick.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import crankwick.model.ModelEvent.FaultInjected.Kind;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Role;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Behaviour of one modelled group under faults, replication and overload; times in microseconds. */
public class GroupModelTest {
    private static final long MILLIS = 1_000;
    private static final long START = 1_000_000_000;

    private final List<ModelEffect> effects = new ArrayList<>();
    private GroupModel group;
    private long now;

    @BeforeMethod
    public void createGroupWithMember0AsLeader() {
        effects.clear();
        group = new GroupModel(ModelSettings.DEFAULT, 5, START);
        now = START;
    }

    private void handle(ModelEvent event) {
        group.handle(event, now, effects::add);
    }

    private void advance(long duration) {
        long until = now + duration;
        while (group.nextTimerDue() <= until) {
            now = Math.max(now, group.nextTimerDue());
            handle(new ModelEvent.TimerDue());
        }
        now = until;
    }

    private ModelEffect.ResponseSent response(long exchangeId) {
        return effects.stream()
                .filter(e -> e instanceof ModelEffect.ResponseSent a && a.exchangeId() == exchangeId)
                .map(e -> (ModelEffect.ResponseSent) e)
                .findFirst()
                .orElse(null);
    }

    private long countEffects(Class<? extends ModelEffect> type) {
        return effects.stream().filter(type::isInstance).count();
    }

    @Test
    public void keyIsAppendedOnceWithinItsTtlAndAgainAfterExpiry() {
        handle(new ModelEvent.StatementReceived(1, 0, "k", 0));
        advance(100 * MILLIS);
        handle(new ModelEvent.StatementReceived(2, 0, "k", 0));
        advance(100 * MILLIS);
        assertEquals(response(1).result(), AttemptResult.OK);
        assertEquals(response(2).result(), AttemptResult.OK);
        assertEquals(countEffects(ModelEffect.WriteAppended.class), 1);
        advance(2_000 * MILLIS);
        handle(new ModelEvent.StatementReceived(3, 0, "k", 0));
        advance(100 * MILLIS);
        assertEquals(countEffects(ModelEffect.WriteAppended.class), 2);
    }

    @Test
    public void unreplicatedWriteIsNeverAcknowledged() {
        handle(new ModelEvent.FaultInjected(Kind.CRASH, 1));
        handle(new ModelEvent.FaultInjected(Kind.CRASH, 2));
        handle(new ModelEvent.StatementReceived(1, 0, "k", 0));
        advance(200 * MILLIS);
        assertEquals(countEffects(ModelEffect.WriteAppended.class), 1);
        assertEquals(response(1), null, "no replica has received the entry");
        handle(new ModelEvent.FaultInjected(Kind.RESTART, 1));
        handle(new ModelEvent.FaultInjected(Kind.CRASH, 0));
        advance(10_000 * MILLIS);
        assertEquals(group.leader(), 1);
        assertEquals(countEffects(ModelEffect.ConnectionFailed.class), 1);
    }

    @Test
    public void hungPrimaryIsDeposedAndClaimsItsRoleAfterResumingUntilItIsDemoted() {
        handle(new ModelEvent.FaultInjected(Kind.HANG, 0));
        handle(new ModelEvent.StatementReceived(1, 0, "k", 0));
        advance(2_800 * MILLIS);
        assertEquals(group.leader(), -1);
        advance(3_900 * MILLIS);
        assertTrue(group.leader() > 0);
        handle(new ModelEvent.FaultInjected(Kind.RESTART, 0));
        handle(new ModelEvent.HealthCheckReceived(2, 0));
        assertEquals(response(2).role(), Role.PRIMARY);
        assertTrue(response(2).position() < START + 10 * MILLIS, "the position stays at the time of the hang");
        advance(1_100 * MILLIS);
        handle(new ModelEvent.HealthCheckReceived(3, 0));
        assertEquals(response(3).role(), Role.REPLICA);
        assertEquals(response(1).result(), AttemptResult.ERROR, "the write may have been executed");
        assertEquals(countEffects(ModelEffect.WriteAppended.class), 0);
    }

    @Test
    public void hungPrimaryThatResumesBeforeItsFailureIsDeclaredRemainsLeader() {
        handle(new ModelEvent.FaultInjected(Kind.HANG, 0));
        handle(new ModelEvent.StatementReceived(1, 0, "k", 0));
        advance(1_000 * MILLIS);
        handle(new ModelEvent.FaultInjected(Kind.RESTART, 0));
        advance(100 * MILLIS);
        assertEquals(group.leader(), 0);
        assertEquals(response(1).result(), AttemptResult.OK);
        advance(10_000 * MILLIS);
        assertEquals(group.leader(), 0);
    }

    @Test
    public void drainingPrimaryCompletesItsWritesAndHandsOver() {
        handle(new ModelEvent.StatementReceived(1, 0, "k", 0));
        handle(new ModelEvent.FaultInjected(Kind.DRAIN, 0));
        handle(new ModelEvent.StatementReceived(2, 0, "l", 0));
        assertEquals(response(2).result(), AttemptResult.REJECTED_OVERLOADED);
        advance(1_000 * MILLIS);
        assertEquals(response(1).result(), AttemptResult.OK);
        assertTrue(group.leader() > 0);
        handle(new ModelEvent.StatementReceived(3, group.leader(), "k", 0));
        advance(100 * MILLIS);
        assertEquals(response(3).result(), AttemptResult.OK);
        assertEquals(countEffects(ModelEffect.WriteAppended.class), 1, "the successor knows the key from the log");
    }

    @Test
    public void memberCollapsesWhenOverloadedDuringWarmUpAndStaysDown() {
        handle(new ModelEvent.FaultInjected(Kind.CRASH, 1));
        handle(new ModelEvent.FaultInjected(Kind.RESTART, 1));
        for (long exchangeId = 1;
                exchangeId <= 1_000 && countEffects(ModelEffect.MemberCollapsed.class) == 0;
                exchangeId++) {
            handle(new ModelEvent.StatementReceived(exchangeId, 1, null, 0));
            advance(MILLIS);
        }
        assertEquals(countEffects(ModelEffect.MemberCollapsed.class), 1);
        handle(new ModelEvent.FaultInjected(Kind.RESTART, 1));
        assertTrue(group.refusesConnections(1));
        assertFalse(group.refusesConnections(2));
    }

    @Test
    public void readWaitsForItsRequiredPositionAndIsRejectedAfterTheMaxWait() {
        advance(10 * MILLIS);
        handle(new ModelEvent.StatementReceived(1, 1, null, now));
        handle(new ModelEvent.StatementReceived(2, 2, null, now + 500 * MILLIS));
        advance(60 * MILLIS);
        assertEquals(response(1).result(), AttemptResult.OK);
        assertTrue(response(1).position() >= START + 10 * MILLIS);
        assertEquals(response(2).result(), AttemptResult.INELIGIBLE_REPLICA);
    }
}
