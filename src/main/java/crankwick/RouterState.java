package crankwick;

import crankwick.RouterApi.Member;
import crankwick.RouterApi.Request;
import crankwick.RouterApi.RequestClass;
import crankwick.RouterApi.Role;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;

/** What {@link Router} keeps of each server, request and group: plain fields, all of them its own to set. */
final class RouterState {
    /** The time of what has never happened; far from overflow in differences. */
    static final long NEVER = Long.MIN_VALUE / 2;

    private RouterState() {}

    /** A member of a group, as this gateway knows it. */
    static final class Server {
        final String id;
        final int zone;
        final Group group;
        boolean listed = true;
        long unlistedAt = NEVER;
        boolean draining;
        long startedAt;
        double coldCredit;
        long creditAt;
        /** The highest log position told, and when it was. */
        long position = Long.MIN_VALUE;

        long positionAt = NEVER;
        Role role = Role.UNKNOWN;
        long roleAsOf = Long.MIN_VALUE;
        /** The last report: requests waiting, share of busy cores. */
        double queued;

        double utilization;
        long reportAt = NEVER;
        /** In typical durations of a class. */
        double latency;

        long latencyAt = NEVER;
        double limit;
        int inFlight;
        long sentAt = NEVER;
        long missedAt = NEVER;
        long lastHeardAt = NEVER;
        long probedAt = NEVER;
        boolean probeOut;
        /** The first probe since it was last heard, or NONE. */
        long silentSince = RouterApi.NONE;
        /** It refused to connect, and was not heard since. */
        boolean down;
        /** Smoothed share of attempts that fail; when it was ejected and until when; faults that fade. */
        double failures;

        long ejectedSince;
        long ejectedUntil = RouterApi.NONE;
        final DecayingCount recentFaults;

        Server(Member m, Group group, DecayingCount recentFaults) {
            this.recentFaults = recentFaults;
            id = m.server();
            zone = m.zone();
            this.group = group;
        }

        /** Listed, or not any more from now on. */
        void setListed(boolean isListed, long now) {
            unlistedAt = listed && !isListed ? now : unlistedAt;
            listed = isListed;
        }

        /** Takes all evidence of a position: it never falls. */
        void learnPosition(long told, long now) {
            if (told > position) {
                position = told;
                positionAt = now;
            }
        }
    }

    /** A request that is owed its final answer, or whose attempt is still out. */
    static final class Pending {
        final Request request;
        final RequestClass kind;
        final Group group;
        final long token;
        /** When its client first asked. */
        final long askedAt;

        final List<Server> tried = new ArrayList<>(2);
        int attempts;
        Server server;
        long sentAt;
        long checkAt;
        boolean closed;
        /** Where an attempt may have run, and when that was sent. */
        Server mayHaveRunAt;

        long mayHaveRunSince;

        Pending(Request request, RequestClass kind, Group group, long token, long askedAt) {
            this.request = request;
            this.kind = kind;
            this.group = group;
            this.token = token;
            this.askedAt = askedAt;
        }
    }

    /** A primary and its replicas, with what waits for them. */
    static final class Group {
        final long id;
        final List<Server> members = new ArrayList<>();
        /** One queue a class. */
        final List<ArrayDeque<Pending>> waiting = new ArrayList<>();
        /** Last commits by session. */
        final SessionPositions tokens = new SessionPositions();

        final LinkedHashMap<Long, Pending> outstanding = new LinkedHashMap<>();
        /** The earliest look that is armed. */
        long nextLookAt = Long.MAX_VALUE;

        Server primary;
        /** The write that seeks the primary. */
        Pending primarySeeker;

        Group(long id, int classes) {
            this.id = id;
            for (int i = 0; i < classes; i++) {
                waiting.add(new ArrayDeque<>());
            }
        }
    }
}
