package crankwick.model;

/** Who leads the group, and the epoch that outdates what was scheduled under an earlier leader. */
final class Leadership {
    /** The index that stands for no leader. */
    static final int NO_LEADER = -1;

    private enum State {
        LED,
        /** The last leader is gone and not yet declared failed: it resumes if it comes back. */
        DETECTING_FAILURE,
        ELECTING
    }

    private State state = State.LED;
    private int mostRecentLeader;
    private long epoch;
    private long lastHeartbeatAt;

    Leadership(long now) {
        lastHeartbeatAt = now;
    }

    /** The index of the leader, or {@link #NO_LEADER}. */
    int leader() {
        return state == State.LED ? mostRecentLeader : NO_LEADER;
    }

    int mostRecentLeader() {
        return mostRecentLeader;
    }

    boolean hasLeader() {
        return state == State.LED;
    }

    boolean isLeader(Member member) {
        return state == State.LED && member.index() == mostRecentLeader;
    }

    /** Whether a member led last, or does now. */
    boolean isMostRecentLeader(Member member) {
        return member.index() == mostRecentLeader;
    }

    /** Whether a leader that is back may simply resume. */
    boolean isDetectingFailure() {
        return state == State.DETECTING_FAILURE;
    }

    void lose(long now) {
        state = State.DETECTING_FAILURE;
        lastHeartbeatAt = now;
        epoch++;
    }

    void declareFailed() {
        state = State.ELECTING;
        epoch++;
    }

    /** The leader has drained: an election follows at once. */
    void handOver(long now) {
        state = State.ELECTING;
        lastHeartbeatAt = now;
        epoch++;
    }

    void resume() {
        state = State.LED;
        epoch++;
    }

    void elect(Member member) {
        state = State.LED;
        mostRecentLeader = member.index();
        epoch++;
    }

    /** Up to when replicas know that they have heard of every write. */
    long lastHeartbeatAt() {
        return lastHeartbeatAt;
    }

    void heartbeat(long now) {
        lastHeartbeatAt = now;
    }

    /** A task that does nothing once the present epoch is over. */
    Runnable inThisEpoch(Runnable task) {
        long expected = epoch;
        return () -> {
            if (epoch == expected) {
                task.run();
            }
        };
    }
}
