package crankwick.discovery;

import java.util.SplittableRandom;

/**
 * Keeps an endpoint list current by long polling: decides when discovery is called, how long a call may take and which
 * response is accepted. Only this class interprets missing responses (docs/discovery.md has the time budget). It takes
 * events with the current time in microseconds and calls {@link Calls}; it has no clock and no sockets.
 *
 * <p>A watch is a sequence of calls, each with a long-poll timeout. A call is silent if it is not connected within
 * {@link #CONNECT_TIMEOUT_MICROS}, or its response does not arrive within its long-poll timeout, its time in
 * discovery's queue and {@link #RESPONSE_TIMEOUT_MICROS}; then a new call is opened at once. The proxy is deemed to
 * know the changes that it missed 6 s after the silence began, or 2 s after the call's long-poll timeout if that is
 * later; from then on it must apply them within the drain grace of the settings.
 */
public final class EndpointWatch {
    /** The version that requests the complete list instead of changes. */
    public static final long FULL_LIST = -1;

    private static final long MICROS_PER_MILLI = 1_000;
    /**
     * Min long-poll timeout of a call that follows an answered call. The timeout is random up to the maximum, so that
     * calls that become silent together are not reopened together.
     */
    static final long MIN_LONG_POLL_TIMEOUT_MICROS = 2_000 * MICROS_PER_MILLI;

    static final long MAX_LONG_POLL_TIMEOUT_MICROS = 4_000 * MICROS_PER_MILLI;
    /**
     * Long-poll timeout of a call after a failed or silent call or a change of address; short, because its response
     * confirms that the list is current again.
     */
    static final long REOPEN_LONG_POLL_TIMEOUT_MICROS = 250 * MICROS_PER_MILLI;
    /**
     * Min long-poll timeout of the first call; the timeout is random up to twice this. It is not short, because a
     * starting proxy has no time to read lists.
     */
    static final long INITIAL_LONG_POLL_TIMEOUT_MICROS = 1_000 * MICROS_PER_MILLI;

    static final long CONNECT_TIMEOUT_MICROS = 750 * MICROS_PER_MILLI;
    /** Added to a call's long-poll timeout for the round trip and event loop delays; then the call is silent. */
    static final long RESPONSE_TIMEOUT_MICROS = 500 * MICROS_PER_MILLI;
    /**
     * Max time in discovery's queue for a call that does not follow an answered call; doubled after each such call that
     * is silent.
     */
    static final long INITIAL_QUEUE_TIMEOUT_MICROS = 2_000 * MICROS_PER_MILLI;

    static final long MAX_QUEUE_TIMEOUT_MICROS = 8_000 * MICROS_PER_MILLI;
    /**
     * Max delay of the first retry. The max doubles with each consecutive retry up to {@link #MAX_BACKOFF_MICROS}; the
     * delay is random, from half of the max.
     */
    static final long INITIAL_BACKOFF_MICROS = 150 * MICROS_PER_MILLI;

    static final long MAX_BACKOFF_MICROS = 600 * MICROS_PER_MILLI;
    /**
     * After this many consecutive responses of one version with unreadable entries, that version is not requested
     * again: unlimited retries of a fleet would fill discovery's queue.
     */
    static final int MAX_PARTIAL_RESPONSES = 4;
    /** Spreads the first calls of proxies that start at the same time. */
    static final long START_JITTER_MICROS = 100 * MICROS_PER_MILLI;

    private static final int MAX_DOUBLINGS = 2;
    private static final long NEVER = Long.MAX_VALUE;

    /** Actions that a watch requests; the implementation performs each one immediately. */
    public interface Calls {
        /** Opens a call for changes since a version, or for the {@link #FULL_LIST}; the timeout is in microseconds. */
        void open(long call, long fromVersion, long longPollTimeout);

        /** Ends a call; a later response is ignored. */
        void end(long call);

        /** Leaves a call open at the previous server; its response is accepted until the new server responds. */
        void detach(long call);
    }

    private final SplittableRandom random;
    private final Calls calls;
    private long version;
    private boolean fullListRequired;
    /**
     * Whether the last response was rejected as older than the list. If the next one is older too, it is accepted:
     * version numbering has restarted.
     */
    private boolean olderVersionRejected;
    /** The version of the last response, accepted or not. */
    private long lastResponseVersion = FULL_LIST;

    /** The number of consecutive responses of {@link #lastResponseVersion} that had unreadable entries. */
    private int partialResponses;
    /** The number of the open call, starting at 1; 0 if none is open. */
    private long openCall;

    private long callsOpened;
    private long longPollTimeout;
    private long pollStartedAt;
    /** Whether the open or next call follows an answered call and so does not wait in discovery's queue. */
    private boolean resumesWatch;

    private long nextTimerAt = NEVER;
    private int failures;
    private int silentCalls;
    private long failingSince = NEVER;

    /** Creates a watch that has the list of the given version. */
    public EndpointWatch(long version, long seed, Calls calls) {
        this.version = version;
        this.calls = calls;
        random = new SplittableRandom(seed);
    }

    /** Sets the timer for the first call to discovery, after a random delay. */
    public void start(long now) {
        nextTimerAt = now + random.nextLong(START_JITTER_MICROS);
    }

    /** When to call {@link #onTimer} next; read after every event; {@code Long.MAX_VALUE} for never. */
    public long nextTimerAt() {
        return nextTimerAt;
    }

    /**
     * The version since which changes are requested. A list whose unreadable entries cause a retry does not update it.
     */
    public long version() {
        return version;
    }

    /**
     * When discovery started failing or being silent, in microseconds; {@code Long.MAX_VALUE} while it is not failing.
     */
    public long failingSince() {
        return failingSince;
    }

    /** Ends the open call, if any, as timed out and opens the next call; does nothing before {@link #nextTimerAt}. */
    public void onTimer(long now) {
        if (now < nextTimerAt) {
            return;
        }
        if (openCall != 0) {
            failingSince = Math.min(failingSince, now);
            silentCalls += resumesWatch ? 0 : 1;
            resumesWatch = false;
            calls.end(openCall);
        }
        openNextCall(now);
    }

    /** A call's connection is established: its response is due after the long-poll, queue and response timeouts. */
    public void onConnected(long call, long now) {
        if (call == openCall) {
            long queueTimeout = resumesWatch
                    ? 0
                    : Math.min(
                            MAX_QUEUE_TIMEOUT_MICROS,
                            INITIAL_QUEUE_TIMEOUT_MICROS << Math.min(silentCalls, MAX_DOUBLINGS));
            pollStartedAt = now;
            nextTimerAt = now + longPollTimeout + queueTimeout + RESPONSE_TIMEOUT_MICROS;
        }
    }

    /**
     * A call returned a list that can be parsed; {@code complete} if all its entries are readable. Returns true if the
     * caller must accept the list: it is not older than the current one, or version numbering has restarted. After a
     * rejected list, the full list is requested after a backoff. An incomplete list is requested again after a backoff,
     * until {@link #MAX_PARTIAL_RESPONSES} consecutive responses of one version were incomplete. If a response without
     * changes arrives in the first half of the long-poll timeout, the next call is delayed.
     */
    public boolean onResponse(long call, long responseVersion, boolean complete, long now) {
        if (call != openCall) {
            return false;
        }
        openCall = 0;
        boolean older = responseVersion < version;
        boolean accepted = !older || olderVersionRejected;
        olderVersionRejected = older && !accepted;
        partialResponses = complete ? 0 : lastResponseVersion == responseVersion ? partialResponses + 1 : 1;
        lastResponseVersion = responseVersion;
        boolean retry = !accepted || !complete && partialResponses < MAX_PARTIAL_RESPONSES;
        fullListRequired = olderVersionRejected || fullListRequired && retry;
        if (retry) {
            backOff(now);
            return accepted;
        }
        boolean idle = responseVersion == version && now < pollStartedAt + longPollTimeout / 2;
        version = responseVersion;
        failures = 0;
        silentCalls = 0;
        failingSince = NEVER;
        resumesWatch = true;
        if (idle) {
            nextTimerAt = now + INITIAL_BACKOFF_MICROS / 2;
        } else {
            openNextCall(now);
        }
        return true;
    }

    /** A call failed: it was refused, reset or rejected, or its response cannot be parsed. */
    public void onFailure(long call, long now) {
        if (call == openCall) {
            openCall = 0;
            backOff(now);
        }
    }

    /**
     * Discovery has moved to another address, where the complete list is requested at once. The open call to the
     * previous address is detached: its response is still accepted until the new address has responded.
     */
    public void onServerChanged(long now) {
        if (openCall != 0) {
            calls.detach(openCall);
        }
        fullListRequired = true;
        failures = 0;
        silentCalls = 0;
        resumesWatch = false;
        openNextCall(now);
    }

    /** Ends the open call and opens no further calls. */
    public void close() {
        if (openCall != 0) {
            calls.end(openCall);
        }
        openCall = 0;
        nextTimerAt = NEVER;
    }

    private void openNextCall(long now) {
        openCall = ++callsOpened;
        longPollTimeout = resumesWatch
                ? MIN_LONG_POLL_TIMEOUT_MICROS
                        + random.nextLong(MAX_LONG_POLL_TIMEOUT_MICROS - MIN_LONG_POLL_TIMEOUT_MICROS)
                : fullListRequired || failingSince < NEVER
                        ? REOPEN_LONG_POLL_TIMEOUT_MICROS
                        : INITIAL_LONG_POLL_TIMEOUT_MICROS + random.nextLong(INITIAL_LONG_POLL_TIMEOUT_MICROS);
        pollStartedAt = now;
        nextTimerAt = now + CONNECT_TIMEOUT_MICROS;
        calls.open(openCall, fullListRequired ? FULL_LIST : version, longPollTimeout);
    }

    private void backOff(long now) {
        failingSince = Math.min(failingSince, now);
        resumesWatch = false;
        long backoff = Math.min(MAX_BACKOFF_MICROS, INITIAL_BACKOFF_MICROS << Math.min(failures++, MAX_DOUBLINGS));
        nextTimerAt = now + backoff / 2 + random.nextLong(backoff / 2);
    }
}
