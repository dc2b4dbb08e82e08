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

/** The clients of all groups: independent arrivals of reads and writes, and what clients do about a failure. */
final class SimulatedClients {
    private static final double ARRIVALS_PER_SECOND = 30;
    private static final double WRITE_SHARE = 0.2;
    private static final double STRONG_READ_SHARE = 0.1;
    private static final int MAX_RETRIES = 3;
    private static final int STATEMENT_BYTES = 160;
    private static final long MIN_RETRY_PAUSE_MICROS = 10 * MILLIS;
    /** Clients that retry a write that has failed, whose key may have run. */
    private static final int UNSAFE_RETRY_PERCENT = 50;
    /** How long before the end of a key's TTL its client stops to wait, after the proxy has ended under it. */
    private static final long KEY_MARGIN_MICROS = 100 * MILLIS;

    /** A client's operation with all its retries; {@code unsafeRetry} once it retries a failed write. */
    private record Operation(
            int group,
            int classIndex,
            String idempotencyKey,
            long requiredPosition,
            int retries,
            long until,
            boolean unsafeRetry) {
        boolean isWrite() {
            return idempotencyKey != null;
        }

        Operation retried() {
            return new Operation(group, classIndex, idempotencyKey, requiredPosition, retries + 1, until, unsafeRetry);
        }

        Operation retriedUnsafely() {
            return new Operation(group, classIndex, idempotencyKey, requiredPosition, retries + 1, until, true);
        }

        Operation limitedTo(long newUntil) {
            return new Operation(group, classIndex, idempotencyKey, requiredPosition, retries, newUntil, unsafeRetry);
        }
    }

    private final SimulatedClock clock;
    private final SimulationRandom random;
    private final FailoverAudit audit;
    private final List<RequestClass> requestClasses;
    private final boolean retriesFailedWrites;
    private final Consumer<BrokerEvent> proxy;
    private final BooleanSupplier ending;
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
            BooleanSupplier ending) {
        this.clock = clock;
        this.random = random;
        this.audit = audit;
        this.requestClasses = requestClasses;
        this.retriesFailedWrites = retriesFailedWrites;
        this.proxy = proxy;
        this.ending = ending;
    }

    /** Draws the next arrival at a group, and so on until the run comes to its end. */
    void scheduleArrival(SimulatedGroup group) {
        clock.scheduleAfter(random.exponential(SECONDS / ARRIVALS_PER_SECOND), () -> {
            if (!ending.getAsBoolean()) {
                send(nextOperation(group));
                scheduleArrival(group);
            }
        });
    }

    private Operation nextOperation(SimulatedGroup group) {
        double draw = random.nextShare();
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
        long timeout = Math.min(classTimeout, operation.until() - clock.now());
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
     * A rejected client retries after the pause that it was given, with the same key and a new id. Some whose
     * write has failed do so too, which they should not: the key may have run.
     */
    void onReply(long requestId, Reply reply) {
        audit.onReply(clock.now(), requestId, reply);
        Operation operation = operations.remove(requestId);
        if (reply instanceof Reply.Rejected r && operation.retries() < MAX_RETRIES && !ending.getAsBoolean()) {
            long pause = Math.max(MIN_RETRY_PAUSE_MICROS, r.retryAfter());
            clock.scheduleAfter(pause, () -> send(operation.retried()));
        } else if (reply instanceof Reply.Failed
                && operation.isWrite()
                && !operation.unsafeRetry()
                && !ending.getAsBoolean()
                && retriesFailedWrites
                && random.nextPercent() < UNSAFE_RETRY_PERCENT) {
            long generation = proxyGeneration;
            clock.scheduleAfter(random.between(50 * MILLIS, SECONDS), () -> {
                if (generation == proxyGeneration) {
                    send(operation.retriedUnsafely());
                }
            });
        }
    }

    /**
     * The proxy's process has ended under an open request. Its client retries while the key's TTL surely
     * lasts, and from then on waits no longer than that: the new process can't know that a key may have run.
     */
    void onConnectionLost(AuditedRequest request) {
        Operation operation = operations.remove(request.requestId());
        long pause = random.between(50 * MILLIS, 300 * MILLIS);
        if (operation.unsafeRetry()) {
            return;
        }
        long keyUntil = request.receivedAt() + SimulationSettings.KEY_TTL_MICROS - KEY_MARGIN_MICROS;
        long until = operation.isWrite() ? Math.min(operation.until(), keyUntil) : Long.MAX_VALUE;
        clock.scheduleAfter(pause, () -> send(operation.limitedTo(until)));
    }

    /** A new process of the proxy starts: what failed under an earlier one is not retried any more. */
    void onProxyStarted() {
        proxyGeneration++;
    }
}
