package crankwick.failover;

import crankwick.routing.api.AttemptResult;

/**
 * Decides by idempotency keys whether a request may still be sent: databases discard repeats of a key only within
 * a window from the first attempt that may have executed.
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

    /** Looks up whether the key of a request may have executed already. */
    void lookUp(TrackedRequest request, long now) {
        request.setMayHaveExecutedSince(registry.mayHaveExecutedSince(request.keyHash(), now));
    }

    /** True if the request may have executed and a repeat would no longer reach a database within the window. */
    boolean isExpired(TrackedRequest request, long now) {
        return request.mayHaveExecuted() && now >= lastSendAt(request);
    }

    /** Until when releasing a request is of use: to its caller, and within its key's window. */
    long usefulUntil(TrackedRequest request) {
        return request.mayHaveExecuted() ? Math.min(request.usefulUntil(), lastSendAt(request)) : request.usefulUntil();
    }

    private long lastSendAt(TrackedRequest request) {
        return request.mayHaveExecutedSince() + request.requestClass().keyTtl() - settings.keyMargin();
    }

    /** Records that an attempt is sent now; false if the key cannot be remembered, so that it must not be sent. */
    boolean recordAttempt(TrackedRequest request, long now) {
        if (!request.isKeyed()) {
            request.setAttemptStartsKeyWindow(false);
            return true;
        }
        long hash = request.keyHash();
        request.setAttemptStartsKeyWindow(registry.mayHaveExecutedSince(hash, now) == KeyRegistry.NEVER);
        return registry.recordAttempt(hash, now, request.requestClass().keyTtl() + settings.keyRetention());
    }

    /** Records how an attempt has ended. */
    void recordResult(TrackedRequest request, AttemptResult result, long now) {
        if (request.isKeyed()) {
            boolean neverExecuted = result.provesNotExecuted() && request.attemptStartsKeyWindow();
            registry.recordResult(request.keyHash(), result == AttemptResult.OK, neverExecuted);
            lookUp(request, now);
        }
    }

    /** How many keys are remembered. */
    int size() {
        return registry.size();
    }
}
