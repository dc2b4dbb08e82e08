package crankwick.transport;

import java.util.concurrent.atomic.AtomicBoolean;
import org.glassfish.grizzly.Connection;

/**
 * Measures how long a task waits for the selector thread. While that thread is late, no socket is read or written, but
 * the event loop may be in time.
 */
public final class SelectorLagMonitor {
    private final Connection<?> connection;
    private final LagReporter lag = new LagReporter(
            SelectorLagMonitor.class,
            "selector thread up to {} ms late; {} tasks started over 30 ms late since the last report");
    private final AtomicBoolean pending = new AtomicBoolean();

    /** Measures the thread that reads from {@code connection}, which must stay open. */
    public SelectorLagMonitor(Connection<?> connection) {
        this.connection = connection;
    }

    /** Takes one measurement, unless the previous one is still pending; callers invoke this periodically. */
    public void measure() {
        if (pending.compareAndSet(false, true)) {
            long submittedAtNanos = System.nanoTime();
            Transport.onSelectorThread(connection, () -> {
                lag.record(submittedAtNanos);
                pending.set(false);
            });
        }
    }
}
