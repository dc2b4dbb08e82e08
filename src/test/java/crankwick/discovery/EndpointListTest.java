package crankwick.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdateKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.testng.annotations.Test;

/** Updates from lists with unreadable, duplicate or contradictory entries. */
public class EndpointListTest {
    private static final EndpointListCodec CODEC = new EndpointListCodec(List.of("a"));

    private static String entry(String id, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:1\",\"zone\":\"a\",\"cell\":0,\"state\":\"" + state
                + "\",\"started_ms\":0}";
    }

    private static String unreadable(String entry) {
        return entry.replace("\"cell\":0", "\"cell\":\"?\"");
    }

    private static List<EndpointList.Entry> entries(String... entries) {
        return CODEC.parse("{\"version\":1,\"full\":true,\"servers\":[" + String.join(",", entries) + "]}")
                .entries();
    }

    private static Map<String, EndpointStatus> statuses(Discovery.ListUpdate update) {
        Map<String, EndpointStatus> statuses = new TreeMap<>();
        update.endpoints().forEach(endpoint -> statuses.put(endpoint.id(), endpoint.status()));
        return statuses;
    }

    private static EndpointList endpointList() {
        return new EndpointList(EndpointList.requireComplete(entries(entry("s", "up"), entry("t", "up")))
                .discoveredEndpoints());
    }

    /** Guards against a drain that is ignored because another field of its entry is unreadable. */
    @Test
    public void drainIsAppliedWhenOtherFieldsOfItsEntryAreUnreadable() {
        EndpointList endpointList = endpointList();
        List<EndpointList.Entry> entries = entries(unreadable(entry("s", "draining")), entry("t", "up"));
        assertNotNull(EndpointList.firstFault(entries));
        Discovery.ListUpdate update = endpointList.merge(true, entries);
        assertEquals(statuses(update), Map.of("s", EndpointStatus.DRAINING, "t", EndpointStatus.LIVE));
        assertEquals(update.kind(), EndpointUpdateKind.FULL, "all ids are readable");
        update = endpointList.merge(false, entries(unreadable(entry("s", "up"))));
        assertEquals(
                statuses(update),
                Map.of("s", EndpointStatus.DRAINING),
                "a partly readable entry does not undo a drain");
        update = endpointList.merge(false, entries(unreadable(entry("s", "odd")), unreadable(entry("t", "removed"))));
        assertEquals(statuses(update), Map.of("s", EndpointStatus.DRAINING, "t", EndpointStatus.REMOVED));
        assertEquals(
                statuses(endpointList.merge(false, entries(unreadable(entry("t", "up"))))),
                Map.of(),
                "a removed endpoint has no last known state");
    }

    /** Guards against removed databases being kept because of another endpoint's unreadable entry. */
    @Test
    public void completeListRemovesMissingEndpointsUnlessAnIdIsUnreadable() {
        assertEquals(
                endpointList()
                        .merge(true, entries(unreadable(entry("s", "up"))))
                        .kind(),
                EndpointUpdateKind.FULL);
        Discovery.ListUpdate update = endpointList().merge(true, entries(entry("s", "up"), "{\"state\":\"up\"}", "7"));
        assertEquals(update.kind(), EndpointUpdateKind.INCREMENTAL);
        assertEquals(statuses(update), Map.of("s", EndpointStatus.LIVE));
        assertEquals(
                endpointList().merge(true, entries()).kind(), EndpointUpdateKind.FULL, "an empty list is complete");
    }

    @Test
    public void duplicateEntriesDrainTheEndpointIfEitherIsDraining() {
        for (String[] states : new String[][] {{"up", "draining"}, {"draining", "up"}}) {
            Discovery.ListUpdate update =
                    endpointList().merge(true, entries(entry("s", states[0]), entry("s", states[1])));
            assertEquals(statuses(update), Map.of("s", EndpointStatus.DRAINING));
        }
    }

    /** Random lists from a fixed seed: a drain lasts until a readable entry reports the database as up. */
    @Test
    public void unreadableEntriesNeverUndoADrain() {
        SplittableRandom random = new SplittableRandom(7);
        for (int round = 0; round < 200; round++) {
            EndpointList endpointList = endpointList();
            boolean draining = false;
            for (int i = 0; i < 20; i++) {
                String state = List.of("up", "draining", "odd").get(random.nextInt(3));
                boolean readable = random.nextBoolean() && !state.equals("odd");
                List<String> entries = new ArrayList<>(List.of(entry("t", "up")));
                entries.add(random.nextInt(2), readable ? entry("s", state) : unreadable(entry("s", state)));
                draining = state.equals("draining") || draining && !(readable && state.equals("up"));
                Discovery.ListUpdate update =
                        endpointList.merge(random.nextBoolean(), entries(entries.toArray(String[]::new)));
                assertEquals(statuses(update).get("s"), draining ? EndpointStatus.DRAINING : EndpointStatus.LIVE);
            }
        }
    }

    @Test
    public void configurationRejectsUnreadableEntries() {
        assertNull(EndpointList.firstFault(entries(entry("s", "up"))));
        try {
            EndpointList.requireComplete(entries(entry("s", "up"), unreadable(entry("t", "up"))));
        } catch (IllegalArgumentException e) {
            assertEquals(e.getMessage().substring(0, 12), "servers[1]: ");
            return;
        }
        throw new AssertionError("a list with an unreadable entry was accepted");
    }
}
