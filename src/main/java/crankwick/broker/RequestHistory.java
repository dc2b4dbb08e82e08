package crankwick.broker;

import crankwick.routing.api.AttemptResult;
import java.util.ArrayList;
import java.util.List;

/** The state transitions of one request, for a line in the log. Times are microseconds of Unix time. */
final class RequestHistory {
    private static final long MICROS_PER_MILLI = 1_000;

    /** One attempt; 0 stands for a transition that has not happened. */
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
    private long answeredAt;

    RequestHistory(ClientRequest request, long receivedAt) {
        clientRequestId = request.clientRequestId();
        classIndex = request.classIndex();
        this.receivedAt = receivedAt;
    }

    void sent(String endpointId, long now) {
        attempts.add(new Attempt(endpointId, now));
    }

    void written(long now) {
        last().writtenAt = now;
    }

    void ended(AttemptResult result, long now) {
        last().result = result;
        last().endedAt = now;
    }

    void abandoned(AbandonReason reason, long now) {
        abandonReason = reason;
        abandonedAt = now;
    }

    void answered(Reply finalReply, long now) {
        reply = finalReply;
        answeredAt = now;
    }

    private Attempt last() {
        return attempts.get(attempts.size() - 1);
    }

    /** False for a request that was served by its first attempt. */
    boolean isNotable() {
        return attempts.size() > 1 || !(reply instanceof Reply.Served);
    }

    /** All transitions, in milliseconds since the request was received. */
    String line() {
        StringBuilder line =
                new StringBuilder("request id=").append(clientRequestId).append(" class=");
        line.append(classIndex);
        if (abandonReason != null) {
            line.append(" client=").append(abandonReason).append('@').append(millisSinceReceived(abandonedAt));
        }
        if (reply != null) {
            line.append(" answer=").append(name(reply)).append('@').append(millisSinceReceived(answeredAt));
        }
        line.append(" attempts=").append(attempts.size());
        for (Attempt attempt : attempts) {
            append(line, attempt);
        }
        return line.toString();
    }

    private void append(StringBuilder line, Attempt attempt) {
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

    private static String name(Reply reply) {
        if (reply instanceof Reply.Rejected rejected) {
            return "rejected:" + rejected.reason();
        }
        return reply instanceof Reply.Failed failed ? "failed:" + failed.reason() : "served";
    }
}
