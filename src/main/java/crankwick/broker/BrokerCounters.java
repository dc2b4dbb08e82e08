package crankwick.broker;

import crankwick.routing.api.AttemptResult;
import java.util.EnumMap;
import java.util.Map;

/** What the broker has taken in, sent and answered since its start. */
public final class BrokerCounters {
    private long taken;
    private long sent;
    private long probes;
    private long served;
    private final Map<AbandonReason, Long> left = new EnumMap<>(AbandonReason.class);
    private final Map<Reply.Reason, Long> refused = new EnumMap<>(Reply.Reason.class);
    private final Map<Reply.Reason, Long> failed = new EnumMap<>(Reply.Reason.class);
    private final Map<AttemptResult, Long> outcomes = new EnumMap<>(AttemptResult.class);

    void countTaken() {
        taken++;
    }

    void countSent() {
        sent++;
    }

    void countProbe() {
        probes++;
    }

    void count(AbandonReason cause) {
        left.merge(cause, 1L, Long::sum);
    }

    void count(AttemptResult result) {
        outcomes.merge(result, 1L, Long::sum);
    }

    void count(Reply reply) {
        if (reply instanceof Reply.Rejected r) {
            refused.merge(r.reason(), 1L, Long::sum);
        } else if (reply instanceof Reply.Failed f) {
            failed.merge(f.reason(), 1L, Long::sum);
        } else {
            served++;
        }
    }

    /** One line for the operators. */
    @Override
    public String toString() {
        return "taken=" + taken + " sent=" + sent + " probes=" + probes + " served=" + served + " refused=" + refused
                + " failed=" + failed + " left=" + left + " outcomes=" + outcomes;
    }
}
