package crankwick.runtime;

import crankwick.broker.Broker;
import crankwick.broker.BrokerEvent;
import crankwick.broker.BrokerEventSink;
import crankwick.broker.Effect;
import crankwick.client.ClientListener;
import crankwick.database.DatabasePool;
import crankwick.database.EndpointAddress;
import crankwick.discovery.Discovery;
import crankwick.transport.Clock;
import crankwick.transport.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Passes events to the broker and executes the effects that it returns, in order. Confined to the event loop. */
public final class EffectRunner implements BrokerEventSink {
    private static final Logger LOG = LoggerFactory.getLogger(EffectRunner.class);

    private final Broker broker;
    private final EventLoop loop;
    private final Clock clock;
    private final ArrayDeque<BrokerEvent> events = new ArrayDeque<>();
    private final RequestTimers requestTimers;
    private boolean running;
    private ClientListener clients;
    private DatabasePool databases;

    /** {@link #attachExecutors} must be called before any event is published. */
    public EffectRunner(Broker broker, EventLoop loop, Clock clock) {
        this.broker = broker;
        this.loop = loop;
        this.clock = clock;
        requestTimers = new RequestTimers(loop);
    }

    /** Sets the components that execute the effects. */
    public void attachExecutors(ClientListener clientListener, DatabasePool databasePool) {
        clients = clientListener;
        databases = databasePool;
    }

    /**
     * Passes an event to the broker and executes the resulting effects. Events published by an effect are queued until
     * all effects of the current event are executed.
     */
    @Override
    public void publish(BrokerEvent event) {
        events.add(event);
        if (running) {
            return;
        }
        running = true;
        try {
            while (!events.isEmpty()) {
                for (Effect effect : broker.reduce(events.poll(), clock.now())) {
                    run(effect);
                }
            }
        } finally {
            running = false;
        }
    }

    private void run(Effect effect) {
        if (effect instanceof Effect.SendAttempt e) {
            databases.send(e, new ForwardedCommand(clients.findCommand(e.requestId())));
        } else if (effect instanceof Effect.SendReply e) {
            clients.reply(e.requestId(), e.reply());
        } else if (effect instanceof Effect.CancelAttempt e) {
            databases.cancelAttempt(e.requestId());
        } else if (effect instanceof Effect.CancelQueuedAttempt e) {
            databases.cancelQueued(e.requestId());
        } else if (effect instanceof Effect.ScheduleTimer e) {
            scheduleTimer(e);
        } else if (effect instanceof Effect.CancelRequestTimers e) {
            requestTimers.cancelAll(e.requestId());
        } else if (effect instanceof Effect.CheckHealth e) {
            databases.checkHealth(e.endpointId());
        } else if (effect instanceof Effect.Log e) {
            LOG.info(e.line());
        }
    }

    private void scheduleTimer(Effect.ScheduleTimer timer) {
        Runnable task = () -> publish(timer.event());
        if (timer.event() instanceof BrokerEvent.RequestTimerEvent event) {
            requestTimers.schedule(event.requestId(), timer.delay(), task);
        } else {
            loop.schedule(timer.delay(), task);
        }
    }

    /**
     * Applies an endpoint list update to the pool first and then to the broker, since the broker must not name a
     * database unknown to the pool.
     */
    public void updateEndpoints(Discovery.ListUpdate update) {
        List<EndpointAddress> addresses =
                new ArrayList<>(update.discoveredEndpoints().size());
        for (Discovery.DiscoveredEndpoint discovered : update.discoveredEndpoints()) {
            addresses.add(new EndpointAddress(discovered.endpoint(), discovered.address()));
        }
        databases.updateEndpoints(update.kind(), addresses);
        publish(new BrokerEvent.EndpointsUpdated(update.kind(), update.endpoints()));
    }
}
