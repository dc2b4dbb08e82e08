package crankwick.discovery;

import crankwick.transport.Clock;
import crankwick.transport.EventLoop;
import crankwick.transport.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The platform's endpoint list over HTTP: carries out the calls that an {@link EndpointWatch} decides on. */
public final class HttpEndpointWatch implements Discovery, EndpointWatch.Calls, DiscoveryCall.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(HttpEndpointWatch.class);
    private static final long MICROS_PER_MILLI = 1_000;

    private final Transport transport;
    private final EventLoop loop;
    private final Clock clock;
    private final ConfigurationSource<InetSocketAddress> configuredAddress;
    private final EndpointListCodec codec;
    private final EndpointList endpointList;
    private final Consumer<ListUpdate> listener;
    private final EndpointWatch watch;
    private InetSocketAddress address;
    private DiscoveryCall currentCall;
    /** The call that was open at the previous address, until the new one answers; or null. */
    private DiscoveryCall detachedCall;

    private EventLoop.Timer timer;
    private boolean closed;
    private boolean failing;
    private String failureReason;

    /**
     * Where a watch begins.
     *
     * @param address that of discovery
     * @param configuredAddress reads the address from the configuration again
     * @param known the list to continue from
     * @param version its version
     * @param seed of the random timeouts
     */
    public record InitialState(
            InetSocketAddress address,
            ConfigurationSource<InetSocketAddress> configuredAddress,
            ListUpdate known,
            long version,
            long seed) {}

    /** Delivers updates on the event loop. */
    public HttpEndpointWatch(
            Transport transport,
            EventLoop loop,
            Clock clock,
            EndpointListCodec codec,
            InitialState initial,
            Consumer<ListUpdate> listener) {
        this.transport = transport;
        this.loop = loop;
        this.clock = clock;
        address = initial.address();
        configuredAddress = initial.configuredAddress();
        this.codec = codec;
        endpointList = new EndpointList(initial.known().discoveredEndpoints());
        this.listener = listener;
        watch = new EndpointWatch(initial.version(), initial.seed(), this);
    }

    @Override
    public void start() {
        watch.start(clock.now());
        scheduleTimer();
    }

    /** Continues at the configured address; the previous one may close its connections. */
    @Override
    public void reload() {
        InetSocketAddress configured;
        try {
            configured = configuredAddress.read();
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("configuration unreadable, keeping {}: {}", address, e.getMessage());
            return;
        }
        if (closed || configured.equals(address)) {
            return;
        }
        LOG.info("discovery migrates from {} to {}", address, configured);
        address = configured;
        watch.onServerChanged(clock.now());
        scheduleTimer();
    }

    @Override
    public void close() {
        closed = true;
        endDetachedCall();
        watch.close();
        scheduleTimer();
    }

    @Override
    public void open(long call, long fromVersion, long longPollTimeout) {
        String query = fromVersion == EndpointWatch.FULL_LIST
                ? null
                : "from=" + fromVersion + "&hold_ms=" + longPollTimeout / MICROS_PER_MILLI;
        currentCall = new DiscoveryCall(call, address, query, transport, loop, this);
    }

    @Override
    public void end(long call) {
        failureReason = currentCall.isConnected() ? "silent past its long-poll timeout" : "no connection in time";
        currentCall.end();
    }

    @Override
    public void detach(long call) {
        endDetachedCall();
        if (currentCall.isConnected()) {
            detachedCall = currentCall;
        } else {
            currentCall.end();
        }
    }

    private void endDetachedCall() {
        if (detachedCall != null) {
            detachedCall.end();
            detachedCall = null;
        }
    }

    /** Sets the timer to when the watch wants to be called next; logs when discovery begins and ceases to fail. */
    private void scheduleTimer() {
        if (timer != null) {
            timer.cancel();
        }
        if (watch.nextTimerAt() < Long.MAX_VALUE) {
            timer = loop.schedule(Math.max(0, watch.nextTimerAt() - clock.now()), this::onTimer);
        }
        boolean failingNow = watch.failingSince() < Long.MAX_VALUE;
        if (failingNow != failing) {
            failing = failingNow;
            LOG.info("discovery {}: {}", address, failing ? failureReason : "answers again");
        }
    }

    private void onTimer() {
        watch.onTimer(clock.now());
        scheduleTimer();
    }

    @Override
    public void onConnected(DiscoveryCall call) {
        watch.onConnected(call.number(), clock.now());
        scheduleTimer();
    }

    @Override
    public void onFailure(DiscoveryCall call, String reason) {
        if (call == detachedCall) {
            endDetachedCall();
        } else if (!call.hasEnded()) {
            call.end();
            failureReason = reason;
            watch.onFailure(call.number(), clock.now());
            scheduleTimer();
        }
    }

    @Override
    public void onResponse(DiscoveryCall call, String body) {
        try {
            onList(call, codec.parse(body));
        } catch (EndpointListFormatException e) {
            LOG.warn("discovery's response unreadable: {}", e.getMessage());
            failureReason = "unreadable";
            watch.onFailure(call.number(), clock.now());
        }
        scheduleTimer();
    }

    private void onList(DiscoveryCall call, EndpointListCodec.VersionedList list) {
        if (call == detachedCall) {
            detachedCall = null;
            if (list.version() >= watch.version()) {
                listener.accept(endpointList.merge(false, list.entries()));
            }
            return;
        }
        String unreadable = EndpointList.firstFault(list.entries());
        if (unreadable != null) {
            LOG.warn("discovery's response unreadable in part: {}", unreadable);
            failureReason = "unreadable in part";
        }
        if (watch.onResponse(call.number(), list.version(), unreadable == null, clock.now())) {
            endDetachedCall();
            listener.accept(endpointList.merge(list.full(), list.entries()));
        } else {
            LOG.warn("discovery's response is older than the list: {}", list.version());
            failureReason = "older than before";
        }
    }
}
