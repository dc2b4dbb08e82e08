package crankwick.broker;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.GiveUpCause;
import java.util.ArrayList;
import java.util.List;

/** Records the state transitions of one request for its log line. Times are in microseconds since the Unix epoch. */
final class RequestHistory {
    private static final long MICROS_PER_MILLI = 1_000;

    /** One attempt; a time of 0 means that the transition has not happened. */
    private static final class Attempt {
        final String endpointId;
        final long sentAt;
        long writtenAt;
        long endedAt;
        AttemptResult result;

        Attempt(String endpointId, long sentAt) {
            this.endpointId = endpointId;
            this.sentAt = sentAt;
        }
    }

    private final String clientRequestId;
    private final int classIndex;
    private final long receivedAt;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private AbandonReason abandonReason;
    private long abandonedAt;
    private Reply reply;
    private long repliedAt;
    /** Why the router gave the request up; null unless it did. */
    private GiveUpCause giveUpCause;

    RequestHistory(ClientRequest request, long receivedAt) {
        clientRequestId = request.clientRequestId();
        classIndex = request.classIndex();
        this.receivedAt = receivedAt;
    }

    void recordSent(String endpointId, long now) {
        attempts.add(new Attempt(endpointId, now));
    }

    void recordWritten(long now) {
        lastAttempt().writtenAt = now;
    }

    void recordEnded(AttemptResult result, long now) {
        lastAttempt().result = result;
        lastAttempt().endedAt = now;
    }

    void recordAbandoned(AbandonReason reason, long now) {
        abandonReason = reason;
        abandonedAt = now;
    }

    void recordReply(Reply finalReply, long now) {
        reply = finalReply;
        repliedAt = now;
    }

    void recordGiveUpCause(GiveUpCause cause) {
        giveUpCause = cause;
    }

    private Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** Whether the history is logged: false for a request that was served by its first attempt. */
    boolean shouldLog() {
        return attempts.size() > 1 || !(reply instanceof Reply.Served);
    }

    /** Formats all transitions, with times in milliseconds since the request was received. */
    String toLogLine() {
        StringBuilder line =
                new StringBuilder("request id=").append(clientRequestId).append(" class=");
        line.append(classIndex);
        if (abandonReason != null) {
            line.append(" client=").append(abandonReason).append('@').append(millisSinceReceived(abandonedAt));
        }
        if (reply != null) {
            line.append(" answer=").append(nameOf(reply)).append('@').append(millisSinceReceived(repliedAt));
        }
        if (giveUpCause != null) {
            line.append(" cause=").append(giveUpCause);
        }
        line.append(" attempts=").append(attempts.size());
        for (Attempt attempt : attempts) {
            appendAttempt(line, attempt);
        }
        return line.toString();
    }

    private void appendAttempt(StringBuilder line, Attempt attempt) {
        line.append(" [").append(attempt.endpointId).append(" sent@").append(millisSinceReceived(attempt.sentAt));
        if (attempt.writtenAt > 0) {
            line.append(" written@").append(millisSinceReceived(attempt.writtenAt));
        }
        if (attempt.result != null) {
            line.append(' ').append(attempt.result).append('@').append(millisSinceReceived(attempt.endedAt));
        }
        line.append(']');
    }

    private long millisSinceReceived(long time) {
        return (time - receivedAt) / MICROS_PER_MILLI;
    }

    private static String nameOf(Reply reply) {
        if (reply instanceof Reply.Rejected rejected) {
            return "rejected:" + rejected.reason();
        }
        return reply instanceof Reply.Failed failed ? "failed:" + failed.reason() : "served";
    }
}
