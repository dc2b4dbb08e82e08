package crankwick.broker;

import crankwick.routing.api.RoutingEvent;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The reduction of one event: its time, the effects so far, and the events that the router is to handle. */
final class Reduction {
    private static final int TYPICAL_EFFECTS = 4;

    private final ArrayDeque<RoutingEvent> routingEvents = new ArrayDeque<>();
    private List<Effect> effects = new ArrayList<>();
    private long now;

    /** Begins with the next event. */
    void begin(long time) {
        now = time;
        effects = new ArrayList<>(TYPICAL_EFFECTS);
    }

    long now() {
        return now;
    }

    void emit(Effect effect) {
        effects.add(effect);
    }

    /** The effects in the order in which they are to be carried out. */
    List<Effect> effects() {
        return effects;
    }

    void addRoutingEvent(RoutingEvent event) {
        routingEvents.add(event);
    }

    /** The next event for the router; null if there is none. */
    RoutingEvent pollRoutingEvent() {
        return routingEvents.poll();
    }
}
