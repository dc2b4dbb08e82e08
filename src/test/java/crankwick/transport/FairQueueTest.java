package crankwick.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The order of turns in the fair queue, and its bound on waiting. */
class FairQueueTest {
    private static final int SMALL = 8_192;
    private static final int LARGE = 20 * SMALL;
    private static final int OTHERS = 100;

    private FairQueue<String> queue = new FairQueue<>(0);
    private final Map<String, FairQueue.Flow<String>> flows = new HashMap<>();

    private FairQueue.Flow<String> flow(String name) {
        return flows.computeIfAbsent(name, FairQueue.Flow::new);
    }

    private void add(String name, int cost) {
        queue.add(flow(name), cost);
    }

    /** Takes the next turn and returns whose it was. */
    private String turn(int cost) {
        String name = queue.poll();
        queue.charge(flow(name), cost);
        return name;
    }

    /** The number of turns until the named one has its own, while all others send again at once. */
    private int turnsUntil(String awaited, int othersCost, boolean underNewNames) {
        for (int turns = 1; turns < 100 * OTHERS; turns++) {
            String name = turn(othersCost);
            if (name.equals(awaited)) {
                return turns;
            }
            add(underNewNames ? "new " + turns : name, othersCost);
        }
        throw new AssertionError(awaited + " has no turn");
    }

    private void addOthers(int cost) {
        for (int i = 0; i < OTHERS; i++) {
            add("other " + i, cost);
        }
        for (int i = 0; i < 30 * OTHERS; i++) {
            add(turn(cost), cost);
        }
    }

    /** Guards against a large item that waits until no small one is left. */
    @Test
    void largeItemIsNotOvertakenWithoutEnd() {
        addOthers(SMALL);
        add("large", LARGE);
        assertTrue(turnsUntil("large", SMALL, false) <= OTHERS * (LARGE / SMALL + 1));
    }

    /** Guards against flows that begin anew for each item and therefore never wait. */
    @Test
    void largeItemIsNotOvertakenWithoutEndByNewFlows() {
        addOthers(SMALL);
        add("large", LARGE);
        assertTrue(turnsUntil("large", SMALL, true) <= OTHERS * (LARGE / SMALL + 1));
    }

    /** Guards against a flow with many items that waits until no other has any. */
    @Test
    void flowWithManyItemsGetsItsShareBesideNewFlows() {
        addOthers(SMALL);
        add("pipelining", SMALL);
        for (int items = 0; items < 3; items++) {
            int turns = turnsUntil("pipelining", SMALL, true);
            assertTrue(turns <= 2 * (OTHERS + 1), turns + " turns");
            add("pipelining", SMALL);
        }
    }

    /** Guards against small items of quiet flows that wait for all large ones. */
    @Test
    void smallItemOfAQuietFlowGoesBeforeLargeOnes() {
        addOthers(LARGE);
        add("small", SMALL);
        assertTrue(turnsUntil("small", LARGE, false) <= OTHERS / 4);
    }

    /** Guards against a large message whose every part waits for all other flows. */
    @Test
    void itemsWithinTheCreditOfAQuietFlowAreNotInterrupted() {
        queue = new FairQueue<>(LARGE);
        addOthers(SMALL);
        add("quiet", SMALL);
        int turns = turnsUntil("quiet", SMALL, false);
        for (int items = 1; items < LARGE / SMALL; items++) {
            add("quiet", SMALL);
            turns += turnsUntil("quiet", SMALL, false);
        }
        assertTrue(turns <= 2 * LARGE / SMALL, turns + " turns");
    }

    /** Guards against new flows whose first work costs nothing. */
    @Test
    void workBeforeTheFirstAdditionIsCharged() {
        queue = new FairQueue<>(SMALL);
        addOthers(SMALL);
        queue.charge(flow("expensive"), LARGE);
        add("expensive", SMALL);
        queue.charge(flow("cheap"), SMALL);
        add("cheap", SMALL);
        assertTrue(turnsUntil("cheap", SMALL, false) <= 2 * OTHERS);
        assertTrue(turnsUntil("expensive", SMALL, false) >= LARGE / SMALL);
    }

    @Test
    void backloggedFlowsGetEqualWork() {
        Map<String, Integer> work = new HashMap<>(Map.of("a", 0, "b", 0));
        add("a", SMALL);
        add("b", LARGE);
        for (int i = 0; i < 500; i++) {
            String name = queue.poll();
            int cost = name.equals("a") ? SMALL : LARGE;
            work.merge(name, cost, Integer::sum);
            queue.charge(flow(name), cost);
            add(name, cost);
        }
        assertTrue(Math.abs(work.get("a") - work.get("b")) <= 2 * LARGE, work.toString());
    }

    @Test
    void flowIsQueuedOnce() {
        add("a", SMALL);
        add("a", SMALL);
        List<String> turns = new ArrayList<>(List.of(turn(SMALL)));
        assertNull(queue.poll());
        add("a", SMALL);
        turns.add(turn(SMALL));
        assertEquals(turns, List.of("a", "a"));
    }
}
