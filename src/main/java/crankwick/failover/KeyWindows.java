package crankwick.failover;

import crankwick.routing.api.AttemptResult;

/**
 * Decides whether a request with an idempotency key may still be sent: databases discard repeats of a key only within
 * the key window, which starts with the first attempt that may have executed.
 */
final class KeyWindows {
    private final KeyRegistry registry;
    private final FailoverSettings settings;

    KeyWindows(FailoverSettings settings, long seed) {
        this.settings = settings;
        registry = new KeyRegistry(settings.maxKeys(), seed);
    }

    long hash(long groupId, String idempotencyKey) {
        return registry.hash(groupId, idempotencyKey);
    }

    /** Looks up the send time of the key's first attempt that may have executed, and stores it in the request. */
    void lookUpKey(TrackedRequest request, long now) {
        request.setMayHaveExecutedSince(registry.mayHaveExecutedSince(request.keyHash(), now));
    }

    /**
     * Returns true if a request with the same key may have executed and an attempt sent now may reach the database
     * after the end of the key window.
     */
    boolean isExpired(TrackedRequest request, long now) {
        return request.mayHaveExecuted() && now >= lastSendAt(request);
    }

    /** Returns the latest time at which a request can be released to be answered in time and within its key window. */
    long releaseDeadline(TrackedRequest request) {
        return request.mayHaveExecuted()
                ? Math.min(request.releaseDeadline(), lastSendAt(request))
                : request.releaseDeadline();
    }

    private long lastSendAt(TrackedRequest request) {
        return windowEnd(request) - settings.keyMargin();
    }

    /**
     * Returns when databases stop discarding repeats of the request's key; {@code Long.MAX_VALUE} if no request with
     * this key may have executed.
     */
    long windowEnd(TrackedRequest request) {
        return request.mayHaveExecuted()
                ? request.mayHaveExecutedSince() + request.requestClass().keyTtl()
                : Long.MAX_VALUE;
    }

    /** Records that an attempt is sent now; returns false if the registry is full, and the attempt must not be sent. */
    boolean recordAttempt(TrackedRequest request, long now) {
        if (!request.isKeyed()) {
            request.setAttemptStartsKeyWindow(false);
            return true;
        }
        long hash = request.keyHash();
        request.setAttemptStartsKeyWindow(registry.mayHaveExecutedSince(hash, now) == KeyRegistry.NEVER);
        return registry.recordAttempt(hash, now, request.requestClass().keyTtl() + settings.keyRetention());
    }

    /** Records the result of an attempt in the key registry, if the request has an idempotency key. */
    void recordResult(TrackedRequest request, AttemptResult result, long now) {
        if (request.isKeyed()) {
            boolean provenNotExecuted = result.provesNotExecuted() && request.attemptStartsKeyWindow();
            registry.recordResult(request.keyHash(), result == AttemptResult.OK, provenNotExecuted);
            lookUpKey(request, now);
        }
    }

    /** Returns the number of idempotency keys in the key registry. */
    int size() {
        return registry.size();
    }
}
