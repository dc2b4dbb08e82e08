package crankwick.broker;

/** Receives events for the broker; must be called on the broker's event loop. */
public interface BrokerEventSink {
    /** Passes an event to the broker. */
    void publish(BrokerEvent event);
}
