package crankwick;

import java.util.List;

/**
 * The types that {@link Router} speaks: its settings, the events it is told and the actions it takes.
 * Times, durations and log positions are microseconds on the caller's clock; a position is the time up to
 * which a server has applied every commit. {@link #NONE} stands for an absent long, NaN for an absent figure.
 */
public interface RouterApi {
    /** An absent time, position, duration or key. */
    long NONE = -1;

    /** How far a request may be repeated once it may have run. */
    enum Repeat {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which servers discard the repeats of a keyed request. */
    enum Scope {
        ALL,
        ZONE,
        GROUP
    }

    /** What a request needs of the data it meets. */
    enum Need {
        WRITE,
        FRESH,
        SESSION,
        BOUNDED,
        ANY
    }

    /** What a server does with a read for which it lags too far. */
    enum WhenBehind {
        SERVE,
        REFUSE,
        WAIT
    }

    /** How the list of servers shows roles. */
    enum ListRole {
        OFF,
        START,
        LATE
    }

    /** A server's place in its group. */
    enum Role {
        UNKNOWN,
        PRIMARY,
        REPLICA
    }

    /** A server's standing in the list. */
    enum Standing {
        LIVE,
        DRAINING,
        GONE
    }

    /** What a membership event brings. */
    enum ListKind {
        CHANGES,
        FULL,
        RESTORED,
        UNAVAILABLE
    }

    /**
     * How an attempt or a probe ended. DROPPED: its connection was not refused, but broke before the last
     * byte was written. STALE: one kept from earlier work broke at once under it; it tells of that alone.
     */
    enum Result {
        OK(false),
        ERROR(false),
        FULL(true),
        TIMEOUT(false),
        UNREACHABLE(true),
        DROPPED(true),
        RESET(false),
        STALE(false),
        CANCELLED(false),
        NOT_SENT(true),
        MISS(true);

        private final boolean provesNotRun;

        Result(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }

        /** True if the attempt is known not to have run. */
        public boolean provesNotRun() {
            return provesNotRun;
        }
    }

    /** A class of request; {@code aim} earns full worth, {@code lateWorth} is the share earned afterwards. */
    record RequestClass(
            Need need,
            long bound,
            Repeat repeat,
            Scope scope,
            long keyTtl,
            long aim,
            long deadline,
            double worth,
            double lateWorth) {}

    /** The figures of the rules. */
    record Rules(
            long answerSlack,
            long drainGrace,
            boolean onlyDrainingBinds,
            double startCapacity,
            long rampTime,
            double fallMultiple,
            long tipAfter) {}

    /** What the site allows. */
    record Limits(
            boolean probes,
            boolean cancels,
            boolean retryAfter,
            long maxRetryAfter,
            int maxAttempts,
            long connectTimeout) {}

    /** Points lost per crossing of zones, probe, and share of work wasted. */
    record Prices(double crossZone, double probe, double waste) {}

    /** Everything a router is told at its start. */
    record Settings(
            int instances,
            int zone,
            boolean asksDiscovery,
            boolean answersCarryPosition,
            boolean tokensCarried,
            WhenBehind whenBehind,
            ListRole listRole,
            Rules rules,
            Limits limits,
            Prices prices,
            List<RequestClass> classes) {
        /** Checks every field; throws IllegalArgumentException naming the one at fault. */
        public Settings {
            require(instances >= 1, "instances");
            require(whenBehind != null, "whenBehind");
            require(listRole != null, "listRole");
            require(rules != null, "rules");
            require(rules.answerSlack >= 0, "rules.answerSlack");
            require(rules.drainGrace >= 0, "rules.drainGrace");
            require(rules.startCapacity > 0 && rules.startCapacity <= 1, "rules.startCapacity");
            require(rules.rampTime >= 0, "rules.rampTime");
            require(rules.fallMultiple > 0, "rules.fallMultiple");
            require(rules.tipAfter >= 0, "rules.tipAfter");
            require(limits != null, "limits");
            require(limits.maxRetryAfter >= 0, "limits.maxRetryAfter");
            require(limits.maxAttempts >= 1, "limits.maxAttempts");
            require(limits.connectTimeout >= 0, "limits.connectTimeout");
            require(prices != null, "prices");
            require(prices.crossZone >= 0, "prices.crossZone");
            require(prices.probe >= 0, "prices.probe");
            require(prices.waste >= 0, "prices.waste");
            require(classes != null && !classes.isEmpty(), "classes");
            classes = List.copyOf(classes);
            for (int i = 0; i < classes.size(); i++) {
                RequestClass c = classes.get(i);
                require(c.need != null, "classes[" + i + "].need");
                require(c.repeat != null, "classes[" + i + "].repeat");
                require(c.scope != null, "classes[" + i + "].scope");
                require(c.keyTtl >= 0, "classes[" + i + "].keyTtl");
                require(c.bound >= 0, "classes[" + i + "].bound");
                require(c.aim > 0, "classes[" + i + "].aim");
                require(c.deadline > 0, "classes[" + i + "].deadline");
                require(c.worth >= 0, "classes[" + i + "].worth");
                require(c.lateWorth >= 0, "classes[" + i + "].lateWorth");
            }
        }

        private static void require(boolean holds, String field) {
            if (!holds) {
                throw new IllegalArgumentException("unusable setting: " + field);
            }
        }
    }

    /** What a server says of itself, as old as the report; absent figures are NONE or NaN. */
    record Report(long position, Role role, double backlog, double utilization, double inFlight) {}

    /** One line of the list of servers. */
    record Member(String server, int zone, long group, Role role, Standing standing, long startedAt) {}

    /** Something the router is told. */
    sealed interface Event {}

    /** A client's request; {@code tokenAge} is the time since its session's last commit where carried. */
    record Request(long id, int cls, long group, long session, long tokenAge, long expires) implements Event {}

    /** The end of an attempt; {@code closed} if the request has had its final answer. */
    record Outcome(
            long id,
            int attempt,
            boolean closed,
            Result result,
            long duration,
            String server,
            Role role,
            long position,
            Report report)
            implements Event {}

    /** The answer to a probe. */
    record ProbeResult(String server, Result result, long duration, Report report) implements Event {}

    /** News from the list of servers. */
    record Membership(ListKind kind, List<Member> members) implements Event {}

    /** A timer that was armed has fallen due. */
    record Timer(long ref) implements Event {}

    /** The client has left; no answer is owed. */
    record Gone(long id) implements Event {}

    /** The answer has begun to stream: the attempt belongs to the client. */
    record Started(long id) implements Event {}

    /** What a router does; the caller carries it out at once and in order. */
    interface Actions {
        /** Starts an attempt that times out after {@code patience}; NONE: when the client gives up. */
        void send(long id, String server, long patience);

        /** Final answer: refused, a further try is harmless. */
        void refuse(long id, long retryAfter);

        /** Final answer: failed, its effect unknown. */
        void fail(long id);

        /** Asks a server for its report. */
        void probe(String server);

        /** Stops waiting for an attempt. */
        void cancel(long id, int attempt);

        /** Asks for a {@link Timer} event. */
        void arm(long fromNow, long ref);

        /** Asks discovery for changes from now on. */
        void watch();

        /** Asks discovery for the whole list once. */
        void fetch();

        /** A line for the operators. */
        void log(String line);
    }
}
