package crankwick.runtime;

import crankwick.transport.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The scheduled timers of unfinished requests. They are cancelled when their request is finished: otherwise each
 * request would occupy memory until its deadline. Confined to the event loop.
 */
final class RequestTimers {
    private static final int TYPICAL_TIMERS_PER_REQUEST = 1;

    private final EventLoop loop;
    private final Map<Long, List<EventLoop.Timer>> timersByRequest = new HashMap<>();

    RequestTimers(EventLoop loop) {
        this.loop = loop;
    }

    /** Runs a task after {@code delayMicros} microseconds, unless {@link #cancelAll} is called for the request. */
    void schedule(long requestId, long delayMicros, Runnable task) {
        timersByRequest
                .computeIfAbsent(requestId, id -> new ArrayList<>(TYPICAL_TIMERS_PER_REQUEST))
                .add(loop.schedule(delayMicros, task));
    }

    /** Cancels the timers of a finished request. */
    void cancelAll(long requestId) {
        List<EventLoop.Timer> timers = timersByRequest.remove(requestId);
        if (timers != null) {
            timers.forEach(EventLoop.Timer::cancel);
        }
    }
}
