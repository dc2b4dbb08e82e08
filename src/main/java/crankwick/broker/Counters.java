package crankwick.broker;

import crankwick.RouterApi.Result;
import java.util.EnumMap;
import java.util.Map;

/** What the broker has taken in, sent and answered since its start. */
public final class Counters {
    private long taken;
    private long sent;
    private long probes;
    private long served;
    private final Map<LeaveCause, Long> left = new EnumMap<>(LeaveCause.class);
    private final Map<Reply.Reason, Long> refused = new EnumMap<>(Reply.Reason.class);
    private final Map<Reply.Reason, Long> failed = new EnumMap<>(Reply.Reason.class);
    private final Map<Result, Long> outcomes = new EnumMap<>(Result.class);

    void countTaken() {
        taken++;
    }

    void countSent() {
        sent++;
    }

    void countProbe() {
        probes++;
    }

    void count(LeaveCause cause) {
        left.merge(cause, 1L, Long::sum);
    }

    void count(Result result) {
        outcomes.merge(result, 1L, Long::sum);
    }

    void count(Reply reply) {
        if (reply instanceof Reply.Refused r) {
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
