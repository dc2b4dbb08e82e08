package crankwick.client;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs which client sent most in the last second, if it sent at a high rate. Confined to the event loop. */
final class BusiestClientReporter {
    private static final Logger LOG = LoggerFactory.getLogger(BusiestClientReporter.class);
    private static final long REPORT_INTERVAL_MICROS = 1_000_000;
    /** Clients that send fewer messages than this in a second are not reported. */
    private static final long HIGH_MESSAGE_RATE = 1_000;

    private long reportedAtMicros;

    /** Logs a line if the last one, or the last check, is a second ago. */
    void report(List<ClientSession> sessions, long now) {
        if (now - reportedAtMicros < REPORT_INTERVAL_MICROS) {
            return;
        }
        reportedAtMicros = now;
        ClientSession busiest = null;
        long mostMessages = HIGH_MESSAGE_RATE;
        int busyClients = 0;
        for (ClientSession session : sessions) {
            long messages = session.inbox.takeMessagesReadSinceReport();
            busyClients += messages > HIGH_MESSAGE_RATE ? 1 : 0;
            if (messages > mostMessages) {
                busiest = session;
                mostMessages = messages;
            }
        }
        if (busiest != null) {
            LOG.info(
                    "client {} sent {} messages in the last second, {} are unprocessed; {} clients sent over {}",
                    busiest.connection.getPeerAddress(),
                    mostMessages,
                    busiest.inbox.unprocessed(),
                    busyClients,
                    HIGH_MESSAGE_RATE);
        }
    }
}
