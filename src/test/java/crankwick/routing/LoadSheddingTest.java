package crankwick.routing;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What waits when there is no room, and what is refused. */
class LoadSheddingTest {
    private static final long MS = RouterTestHarness.MS;

    private static RouterTestHarness crowded(List<Long> sent, List<Long> waiting) {
        RouterTestHarness.Build build = new RouterTestHarness.Build();
        build.probes = false;
        RouterTestHarness rig = new RouterTestHarness(build.settings());
        rig.members("r1");
        for (int i = 0; i < 20; i++) {
            long id = rig.request(RouterTestHarness.ANY);
            (rig.sentTo(id) != null ? sent : waiting).add(id);
            rig.now += MS;
        }
        return rig;
    }

    @Test
    void newestIsServedFirstAndTheOldestRefused() {
        // Incident id1c5d3: served oldest first, each read came just too late.
        List<Long> sent = new ArrayList<>();
        List<Long> waiting = new ArrayList<>();
        RouterTestHarness rig = crowded(sent, waiting);
        assertTrue(sent.size() < 20 && waiting.size() > 1);
        rig.ok(sent.get(0));
        assertNotNull(rig.sentTo(waiting.get(waiting.size() - 1)));
        assertNull(rig.sentTo(waiting.get(0)));
        rig.advance(600 * MS);
        assertTrue(rig.refused(waiting.get(0)));
    }

    @Test
    void whatIsGivenUpIsAnsweredLongBeforeTheClientLeaves() {
        List<Long> waiting = new ArrayList<>();
        RouterTestHarness rig = crowded(new ArrayList<>(), waiting);
        rig.advance(550 * MS);
        assertTrue(rig.refused(waiting.get(0)), "its aim has passed, its client waits until 2 s");
        assertTrue(rig.actions.contains("retry-after " + waiting.get(0) + " true"));
    }
}
