package crankwick.model;

/**
 * The group's current leader, and the leadership epoch, which ends with each change of the leadership state: tasks
 * guarded by an earlier epoch do nothing.
 */
final class Leadership {
    /** The index that {@link #leader()} returns if the group has no leader. */
    static final int NO_LEADER = -1;

    private enum State {
        LEADER_ACTIVE,
        /** The group's leader is unresponsive but not declared failed yet: it resumes its role if it recovers. */
        DETECTING_FAILURE,
        ELECTING
    }

    private State state = State.LEADER_ACTIVE;
    private int latestLeader;
    private long epoch;
    private long lastHeartbeatAt;

    Leadership(long now) {
        lastHeartbeatAt = now;
    }

    /** The index of the current leader, or {@link #NO_LEADER}. */
    int leader() {
        return state == State.LEADER_ACTIVE ? latestLeader : NO_LEADER;
    }

    int latestLeader() {
        return latestLeader;
    }

    boolean hasLeader() {
        return state == State.LEADER_ACTIVE;
    }

    boolean isLeader(Member member) {
        return state == State.LEADER_ACTIVE && member.index() == latestLeader;
    }

    /** Whether a member is the current leader or, if the group has none, the previous leader. */
    boolean isLatestLeader(Member member) {
        return member.index() == latestLeader;
    }

    /** Whether the leader is unresponsive but not declared failed, so that it resumes its role if it recovers. */
    boolean isDetectingFailure() {
        return state == State.DETECTING_FAILURE;
    }

    void markLost(long now) {
        state = State.DETECTING_FAILURE;
        lastHeartbeatAt = now;
        epoch++;
    }

    void declareFailed() {
        state = State.ELECTING;
        epoch++;
    }

    /** The handover delay of a draining leader has passed; the caller then elects its successor immediately. */
    void beginHandover(long now) {
        state = State.ELECTING;
        lastHeartbeatAt = now;
        epoch++;
    }

    void resume() {
        state = State.LEADER_ACTIVE;
        epoch++;
    }

    void elect(Member member) {
        state = State.LEADER_ACTIVE;
        latestLeader = member.index();
        epoch++;
    }

    /** Time of the leader's last heartbeat in microseconds; replicas know of every write committed before it. */
    long lastHeartbeatAt() {
        return lastHeartbeatAt;
    }

    void heartbeat(long now) {
        lastHeartbeatAt = now;
    }

    /** Wraps a task so that it does nothing if the epoch has changed between this call and its run. */
    Runnable guardedByEpoch(Runnable task) {
        long expected = epoch;
        return () -> {
            if (epoch == expected) {
                task.run();
            }
        };
    }
}
