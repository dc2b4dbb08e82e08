package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Queueing and rejection of requests at the concurrency limit. */
class LoadSheddingTest {

    private static RouterTestHarness atConcurrencyLimit(List<Long> sent, List<Long> queued) {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.healthChecksAllowed = false;
        RouterTestHarness harness = new RouterTestHarness(settings.build());
        harness.addEndpoints("r1");
        for (int i = 0; i < 20; i++) {
            long id = harness.request(RouterTestHarness.EVENTUAL_READ);
            (harness.sentTo(id) != null ? sent : queued).add(id);
            harness.now += MICROS_PER_MILLI;
        }
        return harness;
    }

    @Test
    void newestQueuedRequestIsServedFirstAndOldestIsRejected() {
        // Incident id1c5d3: when the oldest request was served first, every read missed its latency objective.
        List<Long> sent = new ArrayList<>();
        List<Long> queued = new ArrayList<>();
        RouterTestHarness harness = atConcurrencyLimit(sent, queued);
        assertTrue(sent.size() < 20 && queued.size() > 1);
        harness.succeed(sent.get(0));
        assertNotNull(harness.sentTo(queued.get(queued.size() - 1)));
        assertNull(harness.sentTo(queued.get(0)));
        harness.advance(600 * MICROS_PER_MILLI);
        assertTrue(harness.isRejected(queued.get(0)));
    }

    @Test
    void requestPastItsObjectiveIsRejectedBeforeTheClientDeadline() {
        List<Long> queued = new ArrayList<>();
        RouterTestHarness harness = atConcurrencyLimit(new ArrayList<>(), queued);
        harness.advance(550 * MICROS_PER_MILLI);
        assertTrue(harness.isRejected(queued.get(0)), "its objective has passed, the client deadline is at 2 s");
        assertTrue(harness.actions.contains("retry-after " + queued.get(0) + " true"));
    }
}
