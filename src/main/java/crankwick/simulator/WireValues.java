package crankwick.simulator;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.Role;
import java.util.Map;

/** Maps the enumeration values of the simulator's protocol to those of the router. */
final class WireValues {
    /** The results of attempts and health checks. */
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

    private static final int ROLE_BITS = 2;
    private static final Role[] ROLES_BY_CODE = {Role.UNKNOWN, Role.PRIMARY, Role.REPLICA, Role.UNKNOWN};

    private WireValues() {}

    /** Decodes the role from the number that combines role and replication position in an attempt's outcome. */
    static Role decodeRole(long roleAndPosition) {
        return ROLES_BY_CODE[(int) (roleAndPosition & (1 << ROLE_BITS) - 1)];
    }

    /**
     * Decodes the replication position, in milliseconds from the time origin, from the number that combines role and
     * position in an attempt's outcome; 0 if absent.
     */
    static long decodePositionMillis(long roleAndPosition) {
        return roleAndPosition >> ROLE_BITS;
    }
}
