package crankwick.simulation;

import static crankwick.simulation.TimeUnits.MILLIS;
import static crankwick.simulation.TimeUnits.SECONDS;

import crankwick.broker.BrokerEvent;
import crankwick.broker.ClientRequest;
import crankwick.broker.Reply;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.RequestClass;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** The clients of all groups: independent arrivals of reads and writes, and the clients' retries. */
final class SimulatedClients {
    private static final double ARRIVALS_PER_SECOND = 30;
    private static final double WRITE_SHARE = 0.2;
    private static final double STRONG_READ_SHARE = 0.1;
    private static final int MAX_RETRIES = 3;
    private static final int STATEMENT_BYTES = 160;
    private static final long MIN_RETRY_DELAY_MICROS = 10 * MILLIS;
    /** Percentage of failed writes that are retried although they may have been executed. */
    private static final int UNSAFE_RETRY_PERCENT = 50;
    /**
     * After the proxy process has ended during a write, the client stops retrying this long before the key's TTL ends.
     */
    private static final long KEY_MARGIN_MICROS = 100 * MILLIS;

    /** A client's operation with all its retries; {@code unsafeRetry} is set when a failed write is retried. */
    private record Operation(
            int group,
            int classIndex,
            String idempotencyKey,
            long requiredPosition,
            int retries,
            long expiresAt,
            boolean unsafeRetry) {
        boolean isWrite() {
            return idempotencyKey != null;
        }

        Operation withRetry() {
            return new Operation(
                    group, classIndex, idempotencyKey, requiredPosition, retries + 1, expiresAt, unsafeRetry);
        }

        Operation withUnsafeRetry() {
            return new Operation(group, classIndex, idempotencyKey, requiredPosition, retries + 1, expiresAt, true);
        }

        Operation withExpiry(long newExpiresAt) {
            return new Operation(
                    group, classIndex, idempotencyKey, requiredPosition, retries, newExpiresAt, unsafeRetry);
        }
    }

    private final SimulatedClock clock;
    private final SimulationRandom random;
    private final FailoverAudit audit;
    private final List<RequestClass> requestClasses;
    private final boolean retriesFailedWrites;
    private final Consumer<BrokerEvent> proxy;
    private final BooleanSupplier coolingDown;
    private final Map<Long, Operation> operations = new HashMap<>();
    private long proxyGeneration;
    private long requestsSent;
    private long keysUsed;

    SimulatedClients(
            SimulatedClock clock,
            SimulationRandom random,
            FailoverAudit audit,
            List<RequestClass> requestClasses,
            boolean retriesFailedWrites,
            Consumer<BrokerEvent> proxy,
            BooleanSupplier coolingDown) {
        this.clock = clock;
        this.random = random;
        this.audit = audit;
        this.requestClasses = requestClasses;
        this.retriesFailedWrites = retriesFailedWrites;
        this.proxy = proxy;
        this.coolingDown = coolingDown;
    }

    /** Schedules the next arrival at a group; each arrival schedules its successor until the cool-down. */
    void scheduleArrival(SimulatedGroup group) {
        clock.scheduleAfter(random.exponential(SECONDS / ARRIVALS_PER_SECOND), () -> {
            if (!coolingDown.getAsBoolean()) {
                send(nextOperation(group));
                scheduleArrival(group);
            }
        });
    }

    private Operation nextOperation(SimulatedGroup group) {
        double draw = random.nextFraction();
        boolean write = draw < WRITE_SHARE;
        boolean strongRead = !write && draw < WRITE_SHARE + STRONG_READ_SHARE;
        boolean sessionRead = !write && !strongRead;
        int readClass = strongRead ? SimulationSettings.STRONG_READ : SimulationSettings.SESSION_READ;
        long requiredPosition = sessionRead ? clock.now() - random.between(50 * MILLIS, 2 * SECONDS) : AbsentValue.NONE;
        return new Operation(
                group.id(),
                write ? SimulationSettings.WRITE : readClass,
                write ? "k" + keysUsed++ : null,
                requiredPosition,
                0,
                Long.MAX_VALUE,
                false);
    }

    private void send(Operation operation) {
        long classTimeout = requestClasses.get(operation.classIndex()).deadline();
        long timeout = Math.min(classTimeout, operation.expiresAt() - clock.now());
        if (timeout <= 0) {
            return;
        }
        long requestId = ++requestsSent;
        operations.put(requestId, operation);
        audit.onRequest(clock.now(), requestId, operation.group(), operation.idempotencyKey(), clock.now() + timeout);
        proxy.accept(new BrokerEvent.RequestReceived(new ClientRequest(
                requestId,
                Long.toString(requestId),
                "",
                operation.classIndex(),
                operation.group(),
                requestId,
                operation.requiredPosition(),
                timeout,
                operation.idempotencyKey(),
                STATEMENT_BYTES)));
    }

    String idempotencyKeyOf(long requestId) {
        return operations.get(requestId).idempotencyKey();
    }

    long requiredPositionOf(long requestId) {
        return operations.get(requestId).requiredPosition();
    }

    /**
     * Handles a reply. A rejected request is retried up to {@link #MAX_RETRIES} times after the retry-after of the
     * reply, with the same key and a new request id. In runs with a failover coordinator, some failed writes are also
     * retried once, which is incorrect: the write may have been executed.
     */
    void onReply(long requestId, Reply reply) {
        audit.onReply(clock.now(), requestId, reply);
        Operation operation = operations.remove(requestId);
        if (reply instanceof Reply.Rejected r && operation.retries() < MAX_RETRIES && !coolingDown.getAsBoolean()) {
            long delay = Math.max(MIN_RETRY_DELAY_MICROS, r.retryAfter());
            clock.scheduleAfter(delay, () -> send(operation.withRetry()));
        } else if (reply instanceof Reply.Failed
                && operation.isWrite()
                && !operation.unsafeRetry()
                && !coolingDown.getAsBoolean()
                && retriesFailedWrites
                && random.nextPercent() < UNSAFE_RETRY_PERCENT) {
            long generation = proxyGeneration;
            clock.scheduleAfter(random.between(50 * MILLIS, SECONDS), () -> {
                if (generation == proxyGeneration) {
                    send(operation.withUnsafeRetry());
                }
            });
        }
    }

    /**
     * The proxy process has ended during a request. The client retries, unless it has already retried the write after a
     * failure. A write is retried only until shortly before its key's TTL ends, because the new process does not know
     * that it may have been executed.
     */
    void onConnectionLost(AuditedRequest request) {
        Operation operation = operations.remove(request.requestId());
        long delay = random.between(50 * MILLIS, 300 * MILLIS);
        if (operation.unsafeRetry()) {
            return;
        }
        long keyRetryLimit = request.receivedAt() + SimulationSettings.KEY_TTL_MICROS - KEY_MARGIN_MICROS;
        long expiresAt = operation.isWrite() ? Math.min(operation.expiresAt(), keyRetryLimit) : Long.MAX_VALUE;
        clock.scheduleAfter(delay, () -> send(operation.withExpiry(expiresAt)));
    }

    /** A new proxy process has started: drops pending retries of writes that failed under an earlier process. */
    void onProxyStarted() {
        proxyGeneration++;
    }
}
