package crankwick.broker;

import crankwick.routing.api.AttemptResult;
import java.util.ArrayList;
import java.util.List;

/** The state transitions of one request, for a line in the log. Times are microseconds of Unix time. */
final class RequestHistory {
    private static final long MICROS_PER_MILLI = 1_000;

    /** One attempt; 0 stands for a transition that has not come. */
    private static final class Attempt {
        final String server;
        final long sentAt;
        long writtenAt;
        long endedAt;
        AttemptResult result;

        Attempt(String server, long sentAt) {
            this.server = server;
            this.sentAt = sentAt;
        }
    }

    private final String id;
    private final int requestClass;
    private final long takenAt;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private AbandonReason leaveCause;
    private long leftAt;
    private Reply reply;
    private long answeredAt;

    RequestHistory(ClientRequest call, long takenAt) {
        id = call.clientRequestId();
        requestClass = call.classIndex();
        this.takenAt = takenAt;
    }

    void sent(String server, long now) {
        attempts.add(new Attempt(server, now));
    }

    void written(long now) {
        last().writtenAt = now;
    }

    void ended(AttemptResult result, long now) {
        last().result = result;
        last().endedAt = now;
    }

    void left(AbandonReason cause, long now) {
        leaveCause = cause;
        leftAt = now;
    }

    void answered(Reply given, long now) {
        reply = given;
        answeredAt = now;
    }

    private Attempt last() {
        return attempts.get(attempts.size() - 1);
    }

    /** False for a request that its first attempt served. */
    boolean isNotable() {
        return attempts.size() > 1 || !(reply instanceof Reply.Served);
    }

    /** All transitions, in milliseconds since the request was taken. */
    String line() {
        StringBuilder line = new StringBuilder("request id=").append(id).append(" class=");
        line.append(requestClass);
        if (leaveCause != null) {
            line.append(" client=").append(leaveCause).append('@').append(sinceTaken(leftAt));
        }
        if (reply != null) {
            line.append(" answer=").append(name(reply)).append('@').append(sinceTaken(answeredAt));
        }
        line.append(" attempts=").append(attempts.size());
        for (Attempt attempt : attempts) {
            append(line, attempt);
        }
        return line.toString();
    }

    private void append(StringBuilder line, Attempt attempt) {
        line.append(" [").append(attempt.server).append(" sent@").append(sinceTaken(attempt.sentAt));
        if (attempt.writtenAt > 0) {
            line.append(" written@").append(sinceTaken(attempt.writtenAt));
        }
        if (attempt.result != null) {
            line.append(' ').append(attempt.result).append('@').append(sinceTaken(attempt.endedAt));
        }
        line.append(']');
    }

    private long sinceTaken(long time) {
        return (time - takenAt) / MICROS_PER_MILLI;
    }

    private static String name(Reply reply) {
        if (reply instanceof Reply.Rejected refused) {
            return "refused:" + refused.reason();
        }
        return reply instanceof Reply.Failed failed ? "failed:" + failed.reason() : "served";
    }
}
