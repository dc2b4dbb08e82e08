package crankwick.app;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * What the clients and databases observed in one soak run, and the checks of the rules on it. Times are nanoseconds of
 * {@link System#nanoTime}. The tolerances are wider than those that the operators apply, because a
 * busy machine schedules test threads late.
 */
final class SoakRecord {
    /** An attempt may reach a database up to this long after its client has abandoned the request. */
    private static final long ABANDON_TOLERANCE = TimeUnit.MILLISECONDS.toNanos(400);
    /** An answer may arrive up to this long after it is due. */
    private static final long ANSWER_TOLERANCE = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** The deadline sent to a database may exceed the request's remaining time by up to this much. */
    private static final long DEADLINE_TOLERANCE = TimeUnit.MILLISECONDS.toNanos(400);
    /** A connection closed within this time after a request may have been closed before the request was read. */
    private static final long CLOSE_RACE_WINDOW = TimeUnit.MILLISECONDS.toNanos(250);

    /** How often the test checks its own process for pauses, and how long a pause must be to be recorded. */
    private static final long PAUSE_POLL_INTERVAL = TimeUnit.MILLISECONDS.toNanos(5);

    private static final long PAUSE_THRESHOLD = TimeUnit.MILLISECONDS.toNanos(20);

    /** One request as its client saw it; a time is 0 until its event has occurred. */
    static final class Request {
        final String id;
        final long sentAt;
        final long deadlineMillis;
        /** The preceding request of the same batch, which is answered first; null if there is none. */
        private final Request previous;

        volatile long abandonedAt;
        volatile long answeredAt;
        volatile long closedAt;

        Request(String id, long sentAt, long deadlineMillis, Request previous) {
            this.id = id;
            this.sentAt = sentAt;
            this.deadlineMillis = deadlineMillis;
            this.previous = previous;
        }

        /** When the answer is due: at the deadline, or when the preceding request's answer arrived if that is later. */
        private long answerDueAt() {
            long due = sentAt + TimeUnit.MILLISECONDS.toNanos(deadlineMillis);
            return previous == null ? due : Math.max(due, previous.answeredAt);
        }

        @Override
        public String toString() {
            return "request " + id + " with deadline " + deadlineMillis + " ms: abandoned " + since(abandonedAt)
                    + ", answered " + since(answeredAt) + ", closed " + since(closedAt);
        }

        private String since(long instant) {
            return instant == 0 ? "-" : "+" + TimeUnit.NANOSECONDS.toMillis(instant - sentAt) + " ms";
        }
    }

    /** A period in which the proxy was stopped, or the test's own process was paused and recorded events late. */
    private record Pause(long from, long to) {}

    /** A rule that does not hold for a request. */
    record Violation(String rule, String id, String detail) {}

    /** When the proxy was sent SIGTERM; 0 until then. */
    private volatile long sigtermAt;

    final Map<String, Request> requests = new ConcurrentHashMap<>();
    final List<Violation> violations = new CopyOnWriteArrayList<>();
    private volatile boolean finished;
    private final List<Pause> pauses = new CopyOnWriteArrayList<>();

    void recordSigterm() {
        sigtermAt = System.nanoTime();
    }

    private String sinceSigterm(Request request) {
        long millis = TimeUnit.NANOSECONDS.toMillis(request.sentAt - sigtermAt);
        return ", sent " + millis + " ms after SIGTERM";
    }

    /** Starts to record the pauses of this process, caused by garbage collection or a busy machine. */
    void detectOwnPauses() {
        Thread detector = new Thread(
                () -> {
                    for (long from = System.nanoTime(); !finished; from = System.nanoTime()) {
                        LockSupport.parkNanos(PAUSE_POLL_INTERVAL);
                        long now = System.nanoTime();
                        if (now - from > PAUSE_POLL_INTERVAL + PAUSE_THRESHOLD) {
                            recordPause(from, now);
                        }
                    }
                },
                "pause detector");
        detector.setDaemon(true);
        detector.start();
    }

    void recordPause(long from, long to) {
        pauses.add(new Pause(from, to));
    }

    void recordAnswer(Request request, TestWireClient.Answer answer) {
        request.answeredAt = System.nanoTime();
        boolean served = answer.kind().equals("SERVED");
        if (served && !answer.value().endsWith(":" + request.id)) {
            violations.add(new Violation("wrong answer", request.id, request + ", value " + answer.value()));
        }
    }

    /** How long the proxy or the test was paused between two times. */
    private long pausedWithin(long from, long to) {
        return pauses.stream()
                .mapToLong(pause -> Math.max(0, Math.min(to, pause.to) - Math.max(from, pause.from)))
                .sum();
    }

    /** Checks all requests once the proxy has been killed. */
    List<Violation> findViolations(List<ScriptedDatabase.Attempt> attempts, long killedAt) {
        finished = true;
        List<Violation> all = new ArrayList<>(violations);
        for (Request request : requests.values()) {
            checkAnswer(request, killedAt, all);
        }
        for (ScriptedDatabase.Attempt attempt : attempts) {
            Request request = requests.get(attempt.id());
            if (request != null) {
                checkAttempt(request, attempt, all);
            }
        }
        return all;
    }

    private void checkAnswer(Request request, long killedAt, List<Violation> all) {
        if (request.abandonedAt != 0) {
            return;
        }
        long due = request.answerDueAt();
        long endedAt = request.answeredAt != 0 ? request.answeredAt : request.closedAt;
        boolean closedBeforeRead = request.closedAt != 0
                && request.closedAt - request.sentAt
                        < CLOSE_RACE_WINDOW + pausedWithin(request.sentAt, request.closedAt);
        if (request.answeredAt == 0 && !closedBeforeRead) {
            String cause = endedAt >= killedAt ? ", connection ended by SIGKILL" : "";
            all.add(new Violation("lost answer", request.id, request + sinceSigterm(request) + cause));
        } else if (request.answeredAt > due + ANSWER_TOLERANCE + pausedWithin(due, request.answeredAt)) {
            all.add(new Violation("late answer", request.id, request.toString()));
        }
    }

    private void checkAttempt(Request request, ScriptedDatabase.Attempt attempt, List<Violation> all) {
        long delay = attempt.receivedAt() - request.abandonedAt;
        if (request.abandonedAt != 0
                && delay > ABANDON_TOLERANCE + pausedWithin(request.abandonedAt, attempt.receivedAt())) {
            all.add(new Violation(
                    "sent after the client had abandoned the request",
                    request.id,
                    request + ", " + attempt.server() + " +" + TimeUnit.NANOSECONDS.toMillis(delay) + " ms after"));
        }
        long sentDeadlineMillis = Long.parseLong(attempt.statement().replaceAll("(?s).*?,d=(\\d+),.*", "$1"));
        long remaining = request.sentAt + TimeUnit.MILLISECONDS.toNanos(request.deadlineMillis) - attempt.receivedAt();
        if (TimeUnit.MILLISECONDS.toNanos(sentDeadlineMillis)
                > remaining + DEADLINE_TOLERANCE + pausedWithin(request.sentAt, attempt.receivedAt())) {
            all.add(new Violation(
                    "deadline exceeds the remaining time",
                    request.id,
                    request + ", deadline sent " + sentDeadlineMillis + " ms"));
        }
    }
}
