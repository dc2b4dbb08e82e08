package crankwick.discovery;

import java.util.SplittableRandom;

/**
 * Keeps an endpoint list current by long polling: when discovery is called, how long a call may take, which
 * response is accepted. It alone decides what discovery's silence means (docs/discovery.md has the budget).
 * Times are microseconds; events and a time in, {@link Calls} out; it has no clock and no sockets.
 *
 * <p>A watch resumes call by call, each with a random long-poll timeout. A call that is not answered soon after
 * its timeout has fallen silent, and a new one is opened at once. Changes that it missed bind this proxy 6 s
 * after it fell silent, or 2 s after its timeout where that is later, and must be honoured within the settings'
 * drain grace from then on.
 */
public final class EndpointWatch {
    /** The version to ask from for the complete list. */
    public static final long FULL_LIST = -1;

    private static final long MICROS_PER_MILLI = 1_000;
    /** Long-poll timeouts are random, so that watches that fall silent together are not reopened together. */
    static final long MIN_LONG_POLL_TIMEOUT_MICROS = 2_000 * MICROS_PER_MILLI;

    static final long MAX_LONG_POLL_TIMEOUT_MICROS = 4_000 * MICROS_PER_MILLI;
    /** Of a reopened watch: its response says that the list is current again. */
    static final long REOPEN_LONG_POLL_TIMEOUT_MICROS = 250 * MICROS_PER_MILLI;
    /** Of the first call, up to twice as long: a start has no time to read lists. */
    static final long INITIAL_LONG_POLL_TIMEOUT_MICROS = 1_000 * MICROS_PER_MILLI;

    static final long CONNECT_TIMEOUT_MICROS = 750 * MICROS_PER_MILLI;
    /** For the round trip and a late event loop, after the long-poll timeout. */
    static final long RESPONSE_TIMEOUT_MICROS = 500 * MICROS_PER_MILLI;
    /** How long the first call of a watch may wait in discovery's queue; doubled after each silent call. */
    static final long INITIAL_QUEUE_TIMEOUT_MICROS = 2_000 * MICROS_PER_MILLI;

    static final long MAX_QUEUE_TIMEOUT_MICROS = 8_000 * MICROS_PER_MILLI;
    /** Doubled after each failed call. */
    static final long INITIAL_BACKOFF_MICROS = 150 * MICROS_PER_MILLI;

    static final long MAX_BACKOFF_MICROS = 600 * MICROS_PER_MILLI;
    /** A fleet that asked again without end for an entry that stays unreadable would fill discovery's queue. */
    static final int MAX_PARTIAL_RESPONSES = 4;
    /** All proxies may start at once. */
    static final long START_JITTER_MICROS = 100 * MICROS_PER_MILLI;

    private static final int MAX_DOUBLINGS = 2;
    private static final long NEVER = Long.MAX_VALUE;

    /** What a watch decides; the caller carries it out at once. */
    public interface Calls {
        /** Opens a call for changes since a version, or for the {@link #FULL_LIST}. */
        void open(long call, long fromVersion, long longPollTimeout);

        /** Ends a call; a response that still comes does not count. */
        void end(long call);

        /** Leaves a call open at the previous server: its response counts until the next one comes. */
        void detach(long call);
    }

    private final SplittableRandom random;
    private final Calls calls;
    private long version;
    private boolean fullListWanted;
    /** A response was older than the list; another such means that the numbering has begun anew. */
    private boolean olderVersionRejected;
    /** The version of the last response with unreadable entries, and how many in a row there were. */
    private long partialResponseVersion = FULL_LIST;

    private int partialResponses;
    /** The number of the open call, from 1; 0 for none. */
    private long openCall;

    private long callsOpened;
    private long longPollTimeout;
    private long pollStartedAt;
    /** Whether the open call continues the one before, so that it takes no turn in discovery's queue. */
    private boolean resumes;

    private long nextTimerAt = NEVER;
    private int failures;
    private int silentCalls;
    private long failingSince = NEVER;

    /** Continues from a list of the given version. */
    public EndpointWatch(long version, long seed, Calls calls) {
        this.version = version;
        this.calls = calls;
        random = new SplittableRandom(seed);
    }

    /** Begins to watch. */
    public void start(long now) {
        nextTimerAt = now + random.nextLong(START_JITTER_MICROS);
    }

    /** When {@link #onTimer} is to be called next, after any event; the far future for never. */
    public long nextTimerAt() {
        return nextTimerAt;
    }

    /** The version of the current list. */
    public long version() {
        return version;
    }

    /** Since when discovery has been failing; the far future while it is not. */
    public long failingSince() {
        return failingSince;
    }

    /** A backoff is over, or a call has timed out. */
    public void onTimer(long now) {
        if (now < nextTimerAt) {
            return;
        }
        if (openCall != 0) {
            failingSince = Math.min(failingSince, now);
            silentCalls += resumes ? 0 : 1;
            resumes = false;
            calls.end(openCall);
        }
        openNextCall(now);
    }

    /** A call's connection is established. */
    public void onConnected(long call, long now) {
        if (call == openCall) {
            long queueTimeout = resumes
                    ? 0
                    : Math.min(
                            MAX_QUEUE_TIMEOUT_MICROS,
                            INITIAL_QUEUE_TIMEOUT_MICROS << Math.min(silentCalls, MAX_DOUBLINGS));
            pollStartedAt = now;
            nextTimerAt = now + longPollTimeout + queueTimeout + RESPONSE_TIMEOUT_MICROS;
        }
    }

    /**
     * A call was answered by a list that can be parsed; {@code complete} if all its entries can. Returns true if
     * the list is to be accepted: it is not older than the current one, or the numbering has begun anew. An
     * incomplete list is asked for again after a backoff, up to {@link #MAX_PARTIAL_RESPONSES} times. A response
     * without changes that came long before the timeout is not followed by the next call at once.
     */
    public boolean onResponse(long call, long responseVersion, boolean complete, long now) {
        if (call != openCall) {
            return false;
        }
        openCall = 0;
        boolean older = responseVersion < version;
        boolean accepted = !older || olderVersionRejected;
        olderVersionRejected = older && !accepted;
        partialResponses = complete ? 0 : partialResponseVersion == responseVersion ? partialResponses + 1 : 1;
        partialResponseVersion = responseVersion;
        boolean retry = !accepted || !complete && partialResponses < MAX_PARTIAL_RESPONSES;
        fullListWanted = olderVersionRejected || fullListWanted && retry;
        if (retry) {
            backOff(now);
            return accepted;
        }
        boolean idle = responseVersion == version && now < pollStartedAt + longPollTimeout / 2;
        version = responseVersion;
        failures = 0;
        silentCalls = 0;
        failingSince = NEVER;
        resumes = true;
        if (idle) {
            nextTimerAt = now + INITIAL_BACKOFF_MICROS / 2;
        } else {
            openNextCall(now);
        }
        return true;
    }

    /** A call failed: refused, reset, rejected, or answered by what can't be parsed. */
    public void onFailure(long call, long now) {
        if (call == openCall) {
            openCall = 0;
            backOff(now);
        }
    }

    /**
     * Discovery has another address from now on, and is asked there for the complete list at once. The call at
     * the previous address is detached: what it has written by now still counts.
     */
    public void onServerChanged(long now) {
        if (openCall != 0) {
            calls.detach(openCall);
        }
        fullListWanted = true;
        failures = 0;
        silentCalls = 0;
        resumes = false;
        openNextCall(now);
    }

    /** Ends the open call, and opens no more. */
    public void close() {
        if (openCall != 0) {
            calls.end(openCall);
        }
        openCall = 0;
        nextTimerAt = NEVER;
    }

    private void openNextCall(long now) {
        openCall = ++callsOpened;
        longPollTimeout = resumes
                ? MIN_LONG_POLL_TIMEOUT_MICROS
                        + random.nextLong(MAX_LONG_POLL_TIMEOUT_MICROS - MIN_LONG_POLL_TIMEOUT_MICROS)
                : fullListWanted || failingSince < NEVER
                        ? REOPEN_LONG_POLL_TIMEOUT_MICROS
                        : INITIAL_LONG_POLL_TIMEOUT_MICROS + random.nextLong(INITIAL_LONG_POLL_TIMEOUT_MICROS);
        pollStartedAt = now;
        nextTimerAt = now + CONNECT_TIMEOUT_MICROS;
        calls.open(openCall, fullListWanted ? FULL_LIST : version, longPollTimeout);
    }

    private void backOff(long now) {
        failingSince = Math.min(failingSince, now);
        resumes = false;
        long backoff = Math.min(MAX_BACKOFF_MICROS, INITIAL_BACKOFF_MICROS << Math.min(failures++, MAX_DOUBLINGS));
        nextTimerAt = now + backoff / 2 + random.nextLong(backoff / 2);
    }
}
