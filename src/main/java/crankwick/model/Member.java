package crankwick.model;

/** One member of a group: its process state, role, workload and replication progress. */
final class Member {
    /** State of a member's process. */
    enum ProcessState {
        UP,
        HUNG,
        DOWN,
        /** The member's process is down after an overload while it was warming up; a restart is ignored. */
        COLLAPSED
    }

    private final int index;
    private final MemberWorkload workload;
    private final ReplicaProgress progress;
    private final WarmUp warmUp;
    private ProcessState state = ProcessState.UP;
    private boolean draining;
    private boolean claimsPrimary;

    Member(int index, ModelSettings settings, long now) {
        this.index = index;
        workload = new MemberWorkload(settings.coresPerMember());
        progress = new ReplicaProgress(now);
        warmUp = new WarmUp(settings);
    }

    int index() {
        return index;
    }

    MemberWorkload workload() {
        return workload;
    }

    ReplicaProgress progress() {
        return progress;
    }

    WarmUp warmUp() {
        return warmUp;
    }

    /**
     * Time of the last process start, in microseconds, which identifies the process incarnation; a large negative value
     * if the member has not restarted.
     */
    long startedAt() {
        return warmUp.startedAt();
    }

    ProcessState state() {
        return state;
    }

    void setState(ProcessState next) {
        state = next;
    }

    boolean isUp() {
        return state == ProcessState.UP;
    }

    boolean isHung() {
        return state == ProcessState.HUNG;
    }

    /** Whether connections are refused because the process has ended. */
    boolean refusesConnections() {
        return state == ProcessState.DOWN || state == ProcessState.COLLAPSED;
    }

    boolean isDraining() {
        return draining;
    }

    void setDraining(boolean drains) {
        draining = drains;
    }

    /** Whether the member reports the primary role; a deposed primary does so until it is demoted. */
    boolean claimsPrimary() {
        return claimsPrimary;
    }

    void setClaimsPrimary(boolean claims) {
        claimsPrimary = claims;
    }
}
