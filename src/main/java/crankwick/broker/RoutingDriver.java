package crankwick.broker;

import crankwick.routing.Router;
import crankwick.routing.api.RoutingActions;
import crankwick.routing.api.RoutingEvent;

/** Passes the pending routing events of a reduction to the router, including those that the router's actions add. */
final class RoutingDriver {
    private final ReductionContext context;
    private final Router router;
    private final RoutingActions actions;

    RoutingDriver(ReductionContext context, Router router, RoutingActions actions) {
        this.context = context;
        this.router = router;
        this.actions = actions;
    }

    void processPendingEvents() {
        for (RoutingEvent event = context.pollRoutingEvent(); event != null; event = context.pollRoutingEvent()) {
            router.handle(context.now(), event, actions);
        }
    }
}
