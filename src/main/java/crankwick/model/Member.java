package crankwick.model;

/** One member of a group: its process, role, work and progress. */
final class Member {
    /** What a member's process does. */
    enum ProcessState {
        UP,
        HUNG,
        DOWN,
        /** Down after an overload, for good. */
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

    /** When its process last started; tells one incarnation from the next. */
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

    /** The process has ended, so that connections are refused. */
    boolean refusesConnections() {
        return state == ProcessState.DOWN || state == ProcessState.COLLAPSED;
    }

    boolean isDraining() {
        return draining;
    }

    void setDraining(boolean drains) {
        draining = drains;
    }

    /** Whether it believes itself the primary, rightly or not. */
    boolean claimsPrimary() {
        return claimsPrimary;
    }

    void setClaimsPrimary(boolean claims) {
        claimsPrimary = claims;
    }
}
