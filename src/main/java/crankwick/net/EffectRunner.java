package crankwick.net;

import crankwick.broker.Broker;
import crankwick.broker.BrokerEvent;
import crankwick.broker.Effect;
import crankwick.discovery.Discovery;
import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Hands events to the broker and carries its effects out, in order; lives on the loop. */
public final class EffectRunner {
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
    void tell(BrokerEvent event) {
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
            pool.send(e, front.command(e.requestId()));
        } else if (effect instanceof Effect.SendReply e) {
            front.answer(e.requestId(), e.reply());
        } else if (effect instanceof Effect.CancelAttempt e) {
            pool.withdraw(e.requestId());
        } else if (effect instanceof Effect.CancelQueued e) {
            pool.recall(e.requestId());
        } else if (effect instanceof Effect.ScheduleTimer e) {
            loop.after(e.delay(), () -> tell(e.event()));
        } else if (effect instanceof Effect.CheckHealth e) {
            pool.probe(e.endpointId());
        } else if (effect instanceof Effect.Log e) {
            LOG.info(e.line());
        }
    }

    /** News of the list: addresses first, so that the broker names none that is unknown here. */
    public void listed(Discovery.ListUpdate news) {
        pool.learn(news);
        tell(new BrokerEvent.EndpointsUpdated(news.kind(), news.endpoints()));
    }

    Broker broker() {
        return broker;
    }

    EventLoop loop() {
        return loop;
    }

    Clock clock() {
        return clock;
    }
}
