package crankwick.app;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * What the peers of a proxy saw in one run of the soak, and the rules judged from it. Instants are nanoseconds of
 * {@link System#nanoTime}. The tolerances are wider than the operators, as a busy machine wakes test threads late.
 */
final class SoakRecord {
    /** An attempt may reach a database so long after its client has gone. */
    private static final long LEAVE_TOLERANCE = TimeUnit.MILLISECONDS.toNanos(400);
    /** An answer may come so long after its request's time. */
    private static final long ANSWER_TOLERANCE = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** The time told to a database may exceed what is left by so much. */
    private static final long DEADLINE_TOLERANCE = TimeUnit.MILLISECONDS.toNanos(400);
    /** A connection that ends so soon after a request may have ended before the request was read. */
    private static final long CROSSING = TimeUnit.MILLISECONDS.toNanos(250);

    /** How often the test's own process is looked at, and from when on it was held up itself. */
    private static final long WATCH_EVERY = TimeUnit.MILLISECONDS.toNanos(5);

    private static final long HELD_UP = TimeUnit.MILLISECONDS.toNanos(20);

    /** One request as its client saw it; 0 for an instant that has not come. */
    static final class Request {
        final String id;
        final long askedAt;
        final long waitMs;
        /** The one before it on its connection, behind whose answer its own comes; null for none. */
        private final Request before;

        volatile long goneAt;
        volatile long answeredAt;
        volatile long closedAt;

        Request(String id, long askedAt, long waitMs, Request before) {
            this.id = id;
            this.askedAt = askedAt;
            this.waitMs = waitMs;
            this.before = before;
        }

        /** When its time is over; waiting for the answers before its own does not count. */
        private long dueAt() {
            long due = askedAt + TimeUnit.MILLISECONDS.toNanos(waitMs);
            return before == null ? due : Math.max(due, before.answeredAt);
        }

        @Override
        public String toString() {
            return "request " + id + " waits " + waitMs + " ms: gone " + since(goneAt) + ", answered "
                    + since(answeredAt) + ", closed " + since(closedAt);
        }

        private String since(long instant) {
            return instant == 0 ? "-" : "+" + TimeUnit.NANOSECONDS.toMillis(instant - askedAt) + " ms";
        }
    }

    /** A time in which the proxy was stopped, or this process, whose peers then note all that they see too late. */
    private record Stop(long from, long to) {}

    /** A rule that a request broke. */
    record Break(String rule, String id, String what) {}

    /** When the proxy was told to end; 0 before. */
    private volatile long terminatedAt;

    final Map<String, Request> requests = new ConcurrentHashMap<>();
    final List<Break> breaks = new CopyOnWriteArrayList<>();
    private volatile boolean over;
    private final List<Stop> stops = new CopyOnWriteArrayList<>();

    void terminated() {
        terminatedAt = System.nanoTime();
    }

    private String sinceSigterm(Request request) {
        long millis = TimeUnit.NANOSECONDS.toMillis(request.askedAt - terminatedAt);
        return ", asked " + millis + " ms after SIGTERM";
    }

    /** Notes from now on when this process is held up, by its collector or a full machine. */
    void watchOwnPauses() {
        Thread watch = new Thread(
                () -> {
                    for (long from = System.nanoTime(); !over; from = System.nanoTime()) {
                        LockSupport.parkNanos(WATCH_EVERY);
                        long now = System.nanoTime();
                        if (now - from > WATCH_EVERY + HELD_UP) {
                            stopped(from, now);
                        }
                    }
                },
                "watch");
        watch.setDaemon(true);
        watch.start();
    }

    void stopped(long from, long to) {
        stops.add(new Stop(from, to));
    }

    void answered(Request request, TestWireClient.Answer answer) {
        request.answeredAt = System.nanoTime();
        boolean served = answer.kind().equals("SERVED");
        if (served && !answer.value().endsWith(":" + request.id)) {
            breaks.add(new Break("wrong", request.id, request + ", value " + answer.value()));
        }
    }

    /** The time in which the process was stopped within a span. */
    private long stoppedIn(long from, long to) {
        return stops.stream()
                .mapToLong(stop -> Math.max(0, Math.min(to, stop.to) - Math.max(from, stop.from)))
                .sum();
    }

    /** Judges all requests, the proxy having been killed at that instant. */
    List<Break> judge(List<ScriptedDatabase.Attempt> attempts, long killedAt) {
        over = true;
        List<Break> all = new ArrayList<>(breaks);
        for (Request request : requests.values()) {
            judgeAnswer(request, killedAt, all);
        }
        for (ScriptedDatabase.Attempt attempt : attempts) {
            Request request = requests.get(attempt.id());
            if (request != null) {
                judgeAttempt(request, attempt, all);
            }
        }
        return all;
    }

    private void judgeAnswer(Request request, long killedAt, List<Break> all) {
        if (request.goneAt != 0) {
            return;
        }
        long due = request.dueAt();
        long end = request.answeredAt != 0 ? request.answeredAt : request.closedAt;
        boolean crossed = request.closedAt != 0
                && request.closedAt - request.askedAt < CROSSING + stoppedIn(request.askedAt, request.closedAt);
        if (request.answeredAt == 0 && !crossed) {
            String found = end >= killedAt ? ", found by the kill" : "";
            all.add(new Break("lost", request.id, request + sinceSigterm(request) + found));
        } else if (request.answeredAt > due + ANSWER_TOLERANCE + stoppedIn(due, request.answeredAt)) {
            all.add(new Break("late answer", request.id, request.toString()));
        }
    }

    private void judgeAttempt(Request request, ScriptedDatabase.Attempt attempt, List<Break> all) {
        long after = attempt.receivedAt() - request.goneAt;
        if (request.goneAt != 0 && after > LEAVE_TOLERANCE + stoppedIn(request.goneAt, attempt.receivedAt())) {
            all.add(new Break(
                    "sent after its client had gone",
                    request.id,
                    request + ", " + attempt.server() + " +" + TimeUnit.NANOSECONDS.toMillis(after) + " ms after"));
        }
        long told = Long.parseLong(attempt.statement().replaceAll("(?s).*?,d=(\\d+),.*", "$1"));
        long left = request.askedAt + TimeUnit.MILLISECONDS.toNanos(request.waitMs) - attempt.receivedAt();
        if (TimeUnit.MILLISECONDS.toNanos(told)
                > left + DEADLINE_TOLERANCE + stoppedIn(request.askedAt, attempt.receivedAt())) {
            all.add(new Break("deadline", request.id, request + ", told " + told + " ms"));
        }
    }
}
