package crankwick.broker;

/** Whether a team's contract admits a request. */
sealed interface AdmissionDecision {
    /** The request is admitted: it counts against {@code budget} and expires after {@code timeout} microseconds. */
    record Admitted(TeamBudget budget, long timeout) implements AdmissionDecision {}

    /** The request is denied: {@code reply} is its final reply. */
    record Denied(Reply reply) implements AdmissionDecision {}
}
