package crankwick.broker;

import crankwick.routing.Router;
import crankwick.routing.api.RoutingActions;
import crankwick.routing.api.RoutingEvent;

/** Has the router handle the events that a reduction has for it, and those that follow from its actions. */
final class RoutingDriver {
    private final Reduction reduction;
    private final Router router;
    private final RoutingActions actions;

    RoutingDriver(Reduction reduction, Router router, RoutingActions actions) {
        this.reduction = reduction;
        this.router = router;
        this.actions = actions;
    }

    void run() {
        for (RoutingEvent event = reduction.pollRoutingEvent(); event != null; event = reduction.pollRoutingEvent()) {
            router.handle(reduction.now(), event, actions);
        }
    }
}
