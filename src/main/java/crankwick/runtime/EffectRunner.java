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

/** Hands events to the broker and carries its effects out, in order; lives on the loop. */
public final class EffectRunner implements BrokerEventSink {
    private static final Logger LOG = LoggerFactory.getLogger(EffectRunner.class);

    private final Broker broker;
    private final EventLoop loop;
    private final Clock clock;
    private final ArrayDeque<BrokerEvent> events = new ArrayDeque<>();
    private boolean running;
    private ClientListener front;
    private DatabasePool pool;

    /** Before any event, {@link #attach} must name who carries the effects out. */
    public EffectRunner(Broker broker, EventLoop loop, Clock clock) {
        this.broker = broker;
        this.loop = loop;
        this.clock = clock;
    }

    /** Names who carries the effects out. */
    public void attach(ClientListener clients, DatabasePool databases) {
        front = clients;
        pool = databases;
    }

    /** Tells the broker; an event that an effect brings about waits until that effect's siblings are done. */
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
            pool.send(e, new ForwardedCommand(front.command(e.requestId())));
        } else if (effect instanceof Effect.SendReply e) {
            front.reply(e.requestId(), e.reply());
        } else if (effect instanceof Effect.CancelAttempt e) {
            pool.cancelAttempt(e.requestId());
        } else if (effect instanceof Effect.CancelQueued e) {
            pool.cancelQueued(e.requestId());
        } else if (effect instanceof Effect.ScheduleTimer e) {
            loop.after(e.delay(), () -> publish(e.event()));
        } else if (effect instanceof Effect.CheckHealth e) {
            pool.checkHealth(e.endpointId());
        } else if (effect instanceof Effect.Log e) {
            LOG.info(e.line());
        }
    }

    /** Takes an update of the endpoint list: the pool first, so that the broker names no database unknown to it. */
    public void listed(Discovery.ListUpdate news) {
        List<EndpointAddress> addresses = new ArrayList<>(news.discovered().size());
        for (Discovery.DiscoveredEndpoint discovered : news.discovered()) {
            addresses.add(new EndpointAddress(discovered.endpoint(), discovered.address()));
        }
        pool.updateEndpoints(news.kind(), addresses);
        publish(new BrokerEvent.EndpointsUpdated(news.kind(), news.endpoints()));
    }
}
