package crankwick.discovery;

import crankwick.transport.Clock;
import crankwick.transport.EventLoop;
import crankwick.transport.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Watches the platform's endpoint list over HTTP: makes the calls that an {@link EndpointWatch} decides on. */
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
    /**
     * The call to the previous address that is still open until a response of the new address is accepted; null if
     * there is none.
     */
    private DiscoveryCall detachedCall;

    private EventLoop.Timer timer;
    private boolean closed;
    private boolean failing;
    private String failureReason;

    /**
     * The initial state of a watch.
     *
     * @param address the address of discovery
     * @param configuredAddress reads the address from the current configuration
     * @param known the initial endpoint list
     * @param version the version of that list
     * @param seed the seed of the random timeouts
     */
    public record InitialState(
            InetSocketAddress address,
            ConfigurationSource<InetSocketAddress> configuredAddress,
            ListUpdate known,
            long version,
            long seed) {}

    /** {@code listener} receives updates on the event loop. */
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

    /**
     * Switches to the configured address. If the server at the previous address closes the connection of the call that
     * is still open there, this does not count as a failure of discovery.
     */
    @Override
    public void reload() {
        InetSocketAddress configured;
        try {
            configured = configuredAddress.read();
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("cannot reload the configuration; keeping discovery address {}: {}", address, e.getMessage());
            return;
        }
        if (closed || configured.equals(address)) {
            return;
        }
        LOG.info("discovery address changed from {} to {}; requesting the full endpoint list", address, configured);
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
        failureReason = currentCall.isConnected()
                ? "no response after the long-poll timeout"
                : "no connection within the connect timeout";
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

    /**
     * Schedules the timer that the watch requires next, if any; logs when discovery starts failing and when it has
     * recovered.
     */
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
            LOG.info("discovery {}: {}", address, failing ? failureReason : "recovered");
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
            LOG.warn("cannot parse discovery response; keeping the current endpoint list: {}", e.getMessage());
            failureReason = "response cannot be parsed";
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
        String fault = EndpointList.firstFault(list.entries());
        if (fault != null) {
            LOG.warn("discovery response has unreadable entries; using their last known state: {}", fault);
            failureReason = "response has unreadable entries";
        }
        if (watch.onResponse(call.number(), list.version(), fault == null, clock.now())) {
            endDetachedCall();
            listener.accept(endpointList.merge(list.full(), list.entries()));
        } else {
            LOG.warn("discovery response rejected: version {} is older than the current endpoint list", list.version());
            failureReason = "response is older than the current endpoint list";
        }
    }
}
