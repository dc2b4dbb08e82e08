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

/** What is made of lists that can't be read whole, that repeat or contradict themselves. */
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

    private static Map<String, EndpointStatus> standings(Discovery.ListUpdate news) {
        Map<String, EndpointStatus> standings = new TreeMap<>();
        news.endpoints().forEach(m -> standings.put(m.id(), m.status()));
        return standings;
    }

    private static EndpointList listing() {
        return new EndpointList(EndpointList.requireComplete(entries(entry("s", "up"), entry("t", "up")))
                .discoveredEndpoints());
    }

    /** Guards against a drain passed over because something else of its entry can't be read. */
    @Test
    public void drainCountsThoughTheRestOfItsEntryCantBeRead() {
        EndpointList listing = listing();
        List<EndpointList.Entry> entries = entries(unreadable(entry("s", "draining")), entry("t", "up"));
        assertNotNull(EndpointList.firstFault(entries));
        Discovery.ListUpdate news = listing.merge(true, entries);
        assertEquals(standings(news), Map.of("s", EndpointStatus.DRAINING, "t", EndpointStatus.LIVE));
        assertEquals(news.kind(), EndpointUpdateKind.FULL, "all are named");
        news = listing.merge(false, entries(unreadable(entry("s", "up"))));
        assertEquals(standings(news), Map.of("s", EndpointStatus.DRAINING), "half an entry undoes no drain");
        news = listing.merge(false, entries(unreadable(entry("s", "odd")), unreadable(entry("t", "removed"))));
        assertEquals(standings(news), Map.of("s", EndpointStatus.DRAINING, "t", EndpointStatus.REMOVED));
        assertEquals(
                standings(listing.merge(false, entries(unreadable(entry("t", "up"))))),
                Map.of(),
                "what has left is not known any more");
    }

    /** Guards against databases that have left staying for good because of somebody else's entry. */
    @Test
    public void wholeListRemovesWhoIsNotNamedUnlessAnEntrysNameCantBeRead() {
        assertEquals(
                listing().merge(true, entries(unreadable(entry("s", "up")))).kind(), EndpointUpdateKind.FULL);
        Discovery.ListUpdate news = listing().merge(true, entries(entry("s", "up"), "{\"state\":\"up\"}", "7"));
        assertEquals(news.kind(), EndpointUpdateKind.INCREMENTAL);
        assertEquals(standings(news), Map.of("s", EndpointStatus.LIVE));
        assertEquals(listing().merge(true, entries()).kind(), EndpointUpdateKind.FULL, "an empty list is a list");
    }

    @Test
    public void databaseNamedTwiceDrainsIfEitherSaysSo() {
        for (String[] states : new String[][] {{"up", "draining"}, {"draining", "up"}}) {
            Discovery.ListUpdate news = listing().merge(true, entries(entry("s", states[0]), entry("s", states[1])));
            assertEquals(standings(news), Map.of("s", EndpointStatus.DRAINING));
        }
    }

    /** By seed: whatever else can't be read, a drain that was told stands until the database is up again. */
    @Test
    public void noDrainIsUndoneByWhatCantBeRead() {
        SplittableRandom random = new SplittableRandom(7);
        for (int round = 0; round < 200; round++) {
            EndpointList listing = listing();
            boolean draining = false;
            for (int i = 0; i < 20; i++) {
                String state = List.of("up", "draining", "odd").get(random.nextInt(3));
                boolean readable = random.nextBoolean() && !state.equals("odd");
                List<String> entries = new ArrayList<>(List.of(entry("t", "up")));
                entries.add(random.nextInt(2), readable ? entry("s", state) : unreadable(entry("s", state)));
                draining = state.equals("draining") || draining && !(readable && state.equals("up"));
                Discovery.ListUpdate news =
                        listing.merge(random.nextBoolean(), entries(entries.toArray(String[]::new)));
                assertEquals(standings(news).get("s"), draining ? EndpointStatus.DRAINING : EndpointStatus.LIVE);
            }
        }
    }

    @Test
    public void configurationHoldsOnlyWhatCanBeRead() {
        assertNull(EndpointList.firstFault(entries(entry("s", "up"))));
        try {
            EndpointList.requireComplete(entries(entry("s", "up"), unreadable(entry("t", "up"))));
        } catch (IllegalArgumentException e) {
            assertEquals(e.getMessage().substring(0, 12), "servers[1]: ");
            return;
        }
        throw new AssertionError("taken");
    }
}
