package crankwick.failover;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.testng.annotations.Test;

/** Release order and limits of the request buffer. */
public class RequestBufferTest {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private static FailoverSettings withLimits(int perGroup, int perTeam, long maxBytesPerGroup, long maxBytesPerTeam) {
        FailoverSettings defaults = FailoverSettings.DEFAULT;
        return new FailoverSettings(
                perGroup,
                perTeam,
                maxBytesPerGroup,
                maxBytesPerTeam,
                defaults.minSuccessProbability(),
                defaults.initialWindow(),
                defaults.keyMargin(),
                defaults.maxKeys(),
                defaults.keyRetention(),
                defaults.minUnplannedDuration(),
                defaults.maxUnplannedDuration(),
                defaults.minPlannedDuration(),
                defaults.maxPlannedDuration());
    }

    @Test
    public void priorityWeightAndDeadlineDecideTheOrder() {
        RequestBuffer buffer = new RequestBuffer(FailoverSettings.DEFAULT, new HashMap<>());
        buffer.add(new RequestBuffer.BufferedRequest(1, "t", 1, 10 * MICROS_PER_SECOND, 10));
        buffer.add(new RequestBuffer.BufferedRequest(2, "t", 6, 10 * MICROS_PER_SECOND, 10));
        buffer.add(new RequestBuffer.BufferedRequest(3, "t", 1, 9 * MICROS_PER_SECOND, 10));
        assertEquals(buffer.first().requestId(), 3, "earliest deadline");
        buffer.remove(3);
        assertEquals(buffer.first().requestId(), 2, "same deadline, higher weight");
        buffer.remove(2);
        buffer.remove(1);
        assertNull(buffer.first());
        assertNull(buffer.remove(1));
    }

    @Test
    public void limitsApplyPerGroupAndPerTeam() {
        Map<String, RequestBuffer.TeamUsage> teamUsage = new HashMap<>();
        FailoverSettings settings = withLimits(3, 4, 100, 120);
        RequestBuffer first = new RequestBuffer(settings, teamUsage);
        RequestBuffer second = new RequestBuffer(settings, teamUsage);
        assertTrue(first.add(new RequestBuffer.BufferedRequest(1, "a", 1, MICROS_PER_SECOND, 40)));
        assertTrue(first.add(new RequestBuffer.BufferedRequest(2, "a", 1, MICROS_PER_SECOND, 40)));
        assertFalse(
                first.add(new RequestBuffer.BufferedRequest(3, "a", 1, MICROS_PER_SECOND, 40)),
                "byte limit of the group");
        assertTrue(first.add(new RequestBuffer.BufferedRequest(4, "b", 1, MICROS_PER_SECOND, 5)));
        assertFalse(
                first.add(new RequestBuffer.BufferedRequest(5, "b", 1, MICROS_PER_SECOND, 5)),
                "request limit of the group");
        assertTrue(second.add(new RequestBuffer.BufferedRequest(6, "a", 1, MICROS_PER_SECOND, 20)));
        assertFalse(
                second.add(new RequestBuffer.BufferedRequest(7, "a", 1, MICROS_PER_SECOND, 30)),
                "byte limit of the team");
        assertTrue(second.add(new RequestBuffer.BufferedRequest(8, "a", 1, MICROS_PER_SECOND, 5)));
        assertFalse(
                second.add(new RequestBuffer.BufferedRequest(9, "a", 1, MICROS_PER_SECOND, 1)),
                "request limit of the team");
        for (long requestId : new long[] {1, 2, 4}) {
            first.remove(requestId);
        }
        second.remove(6);
        second.remove(8);
        assertTrue(teamUsage.isEmpty(), "no usage is kept for teams without buffered requests");
        assertEquals(first.bytes() + second.bytes() + first.size() + second.size(), 0);
    }
}
