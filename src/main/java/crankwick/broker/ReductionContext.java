package crankwick.broker;

import crankwick.routing.api.RoutingEvent;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The state of the current reduction: its time, the effects so far, and the pending events for the router. */
final class ReductionContext {
    private static final int INITIAL_EFFECTS_CAPACITY = 4;

    private final ArrayDeque<RoutingEvent> routingEvents = new ArrayDeque<>();
    private List<Effect> effects = new ArrayList<>();
    private long now;

    /** Begins the reduction of the next event. */
    void begin(long time) {
        now = time;
        effects = new ArrayList<>(INITIAL_EFFECTS_CAPACITY);
    }

    long now() {
        return now;
    }

    void emit(Effect effect) {
        effects.add(effect);
    }

    /** The effects of the current reduction, in the order in which they must be carried out. */
    List<Effect> effects() {
        return effects;
    }

    void addRoutingEvent(RoutingEvent event) {
        routingEvents.add(event);
    }

    /** Removes and returns the next event for the router; null if there is none. */
    RoutingEvent pollRoutingEvent() {
        return routingEvents.poll();
    }
}
