package crankwick.routing;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoutingRequest;
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
    static final class EndpointState {
        final String id;
        final int zone;
        final EndpointGroup group;
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
        /** The first probe since it was last heard, or AbsentValue.NONE. */
        long silentSince = AbsentValue.NONE;
        /** It refused to connect, and was not heard since. */
        boolean down;
        /** Smoothed share of attempts that fail; when it was ejected and until when; faults that fade. */
        double failures;

        long ejectedSince;
        long ejectedUntil = AbsentValue.NONE;
        final DecayingCount recentFaults;

        EndpointState(Endpoint m, EndpointGroup group, DecayingCount recentFaults) {
            this.recentFaults = recentFaults;
            id = m.id();
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
    static final class PendingRequest {
        final RoutingRequest request;
        final RequestClass kind;
        final EndpointGroup group;
        final long token;
        /** When its client first asked. */
        final long askedAt;

        final List<EndpointState> tried = new ArrayList<>(2);
        int attempts;
        EndpointState server;
        long sentAt;
        long checkAt;
        boolean closed;
        /** Where an attempt may have run, and when that was sent. */
        EndpointState mayHaveRunAt;

        long mayHaveRunSince;

        PendingRequest(RoutingRequest request, RequestClass kind, EndpointGroup group, long token, long askedAt) {
            this.request = request;
            this.kind = kind;
            this.group = group;
            this.token = token;
            this.askedAt = askedAt;
        }
    }

    /** A primary and its replicas, with what waits for them. */
    static final class EndpointGroup {
        final long id;
        final List<EndpointState> members = new ArrayList<>();
        /** One queue a class. */
        final List<ArrayDeque<PendingRequest>> waiting = new ArrayList<>();
        /** Last commits by session. */
        final SessionTokenStore tokens = new SessionTokenStore();

        final LinkedHashMap<Long, PendingRequest> outstanding = new LinkedHashMap<>();
        /** The earliest look that is armed. */
        long nextLookAt = Long.MAX_VALUE;

        EndpointState primary;
        /** The write that seeks the primary. */
        PendingRequest primarySeeker;

        EndpointGroup(long id, int classes) {
            this.id = id;
            for (int i = 0; i < classes; i++) {
                waiting.add(new ArrayDeque<>());
            }
        }
    }
}
