package crankwick.simulator;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.Role;
import java.util.Map;

/** The words and numbers of the simulator's wire, and what they mean. */
final class WireWords {
    /** Results of attempts and health checks. */
    static final Map<String, AttemptResult> RESULTS = Map.of(
            "Ok",
            AttemptResult.OK,
            "Failed",
            AttemptResult.ERROR,
            "QueueFull",
            AttemptResult.REJECTED_OVERLOADED,
            "TimedOut",
            AttemptResult.TIMEOUT,
            "ConnectError",
            AttemptResult.UNREACHABLE,
            "ResetByPeer",
            AttemptResult.RESET,
            "Canceled",
            AttemptResult.CANCELLED,
            "Ignored",
            AttemptResult.NOT_SENT,
            "Miss",
            AttemptResult.INELIGIBLE_REPLICA);

    static final Map<String, EndpointUpdateKind> UPDATE_KINDS = Map.of(
            "update",
            EndpointUpdateKind.INCREMENTAL,
            "replace",
            EndpointUpdateKind.FULL,
            "restored",
            EndpointUpdateKind.RESTORED,
            "unavailable",
            EndpointUpdateKind.UNAVAILABLE);

    static final Map<String, EndpointStatus> STATUSES =
            Map.of("live", EndpointStatus.LIVE, "quiescing", EndpointStatus.DRAINING, "dead", EndpointStatus.REMOVED);

    private static final int NOTE_ROLE_BITS = 2;
    private static final Role[] NOTE_ROLES = {Role.UNKNOWN, Role.PRIMARY, Role.REPLICA, Role.UNKNOWN};

    private WireWords() {}

    /** The role in the note of an attempt's outcome. */
    static Role roleOfNote(long note) {
        return NOTE_ROLES[(int) (note & (1 << NOTE_ROLE_BITS) - 1)];
    }

    /** The position in the note of an attempt's outcome, in milliseconds from the time origin; 0 for none. */
    static long positionOfNote(long note) {
        return note >> NOTE_ROLE_BITS;
    }
}
