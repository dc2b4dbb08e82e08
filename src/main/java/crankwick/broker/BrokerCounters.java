package crankwick.broker;

import crankwick.routing.api.AttemptResult;
import java.util.EnumMap;
import java.util.Map;

/** Counts the requests, attempts, health checks and replies of the broker since its start. */
public final class BrokerCounters {
    private long received;
    private long sent;
    private long healthChecks;
    private long served;
    private final Map<AbandonReason, Long> abandoned = new EnumMap<>(AbandonReason.class);
    private final Map<Reply.Reason, Long> rejected = new EnumMap<>(Reply.Reason.class);
    private final Map<Reply.Reason, Long> failed = new EnumMap<>(Reply.Reason.class);
    private final Map<AttemptResult, Long> outcomes = new EnumMap<>(AttemptResult.class);

    void countReceived() {
        received++;
    }

    void countAttemptSent() {
        sent++;
    }

    void countHealthCheck() {
        healthChecks++;
    }

    void count(AbandonReason reason) {
        abandoned.merge(reason, 1L, Long::sum);
    }

    void count(AttemptResult result) {
        outcomes.merge(result, 1L, Long::sum);
    }

    void count(Reply reply) {
        if (reply instanceof Reply.Rejected r) {
            rejected.merge(r.reason(), 1L, Long::sum);
        } else if (reply instanceof Reply.Failed f) {
            failed.merge(f.reason(), 1L, Long::sum);
        } else {
            served++;
        }
    }

    /** All counters in one line, for the operators. */
    @Override
    public String toString() {
        return "received=" + received + " sent=" + sent + " health_checks=" + healthChecks + " served=" + served
                + " rejected=" + rejected + " failed=" + failed + " abandoned=" + abandoned + " outcomes=" + outcomes;
    }
}
