package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;

import crankwick.routing.api.GiveUpCause;
import crankwick.routing.api.RoutingActions;
import java.util.Iterator;
import java.util.List;

/**
 * Dispatches a group's queued requests: sends those for which an endpoint is eligible, rejects or fails those that can
 * no longer be answered in time or whose group has no available endpoint, and sets the group's timer.
 */
final class RequestDispatcher {
    private static final long QUEUE_CHECK_INTERVAL_MICROS = HealthStatus.HEALTH_CHECK_TIMEOUT_MICROS;
    private static final long MIN_TIMER_DELAY_MICROS = MICROS_PER_MILLI;

    private final List<Integer> servingOrder;
    private final EndpointSelector selector;
    private final LoadShedder loadShedder;
    private final AttemptTracker attempts;
    private final OpenRequests openRequests;
    private final HealthCheckScheduler healthChecks;

    RequestDispatcher(
            List<Integer> servingOrder,
            EndpointSelector selector,
            LoadShedder loadShedder,
            AttemptTracker attempts,
            OpenRequests openRequests,
            HealthCheckScheduler healthChecks) {
        this.servingOrder = servingOrder;
        this.selector = selector;
        this.loadShedder = loadShedder;
        this.attempts = attempts;
        this.openRequests = openRequests;
        this.healthChecks = healthChecks;
    }

    /** Performs all work that is due for the group. Called after each event that concerns the group. */
    void dispatch(EndpointGroup group, long now, RoutingActions actions) {
        attempts.checkLongRunningAttempts(group, now, actions);
        servingOrder.forEach(classIndex -> dispatchQueue(group, classIndex, true, now, actions));
        servingOrder.forEach(classIndex -> dispatchQueue(group, classIndex, false, now, actions));
        healthChecks.checkForQueued(group, now, actions);
        scheduleTimer(group, now, actions);
    }

    /**
     * Dispatches the queued requests of one class: those that can still meet their latency objective if
     * {@code meetingObjective}, otherwise those that cannot.
     */
    private void dispatchQueue(
            EndpointGroup group, int classIndex, boolean meetingObjective, long now, RoutingActions actions) {
        boolean blocked = false;
        Iterator<PendingRequest> queue = group.queue(classIndex).iterator();
        while (queue.hasNext()) {
            PendingRequest request = queue.next();
            if (request.isClosed()) {
                queue.remove();
            } else if (loadShedder.isTooLateToSend(request, now)) {
                queue.remove();
                openRequests.rejectOrFail(request, GiveUpCause.TOO_LATE, actions);
            } else if (!group.hasAvailableEndpoint()) {
                queue.remove();
                openRequests.rejectOrFail(request, GiveUpCause.NO_ENDPOINT, actions);
            } else if (!blocked && meetingObjective == loadShedder.canMeetObjective(request, now)) {
                EndpointState endpoint = selector.select(request, now);
                if (endpoint != null) {
                    queue.remove();
                    attempts.start(request, endpoint, now, actions);
                }
                blocked = endpoint == null && request.needsPrimary();
            }
        }
    }

    /** Schedules a timer for the time when work is next due, unless an earlier timer is set. */
    private void scheduleTimer(EndpointGroup group, long now, RoutingActions actions) {
        long due = group.hasQueuedRequests() ? now + QUEUE_CHECK_INTERVAL_MICROS : Long.MAX_VALUE;
        for (PendingRequest request : group.inFlight().values()) {
            due = Math.min(due, request.nextCheckAt());
        }
        if (group.needsTimer(due)) {
            long timerDue = Math.max(due, now + MIN_TIMER_DELAY_MICROS);
            group.setTimer(timerDue);
            actions.scheduleTimer(timerDue - now, Router.groupTimerId(group));
        }
    }
}
