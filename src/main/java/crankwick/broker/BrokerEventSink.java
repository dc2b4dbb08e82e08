package crankwick.broker;

/** Takes events for the broker; to be called on its event loop. */
public interface BrokerEventSink {
    /** Hands an event to the broker. */
    void publish(BrokerEvent event);
}
