package crankwick.client;

import crankwick.broker.LogRateLimit;
import crankwick.transport.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts why client connections end, and logs the ends that are not part of normal operation. */
final class CloseLog {
    private static final Logger LOG = LoggerFactory.getLogger(CloseLog.class);

    private final Clock clock;
    private final ClientCounters counters;
    private final LogRateLimit rateLimit = new LogRateLimit();

    CloseLog(Clock clock, ClientCounters counters) {
        this.clock = clock;
        this.counters = counters;
    }

    /** Records the end of a session's connection; {@code openCommands} of its commands have no reply yet. */
    void record(ClientSession session, int openCommands) {
        CloseReason reason = session.closeReason();
        counters.countClose(reason);
        if ((!reason.isRegular() || openCommands > 0) && rateLimit.tryAcquire(clock.now())) {
            LOG.info(
                    "client {} closed: {}{}; {} messages read, {} commands open{}",
                    session.connection.getPeerAddress(),
                    reason,
                    session.closeFault().isEmpty() ? "" : " (" + session.closeFault() + ")",
                    session.inbox.messagesRead(),
                    openCommands,
                    rateLimit.takeOmitted());
        }
    }
}
