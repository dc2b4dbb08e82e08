package crankwick.broker;

/** Whether a team's contract admits a request. */
sealed interface AdmissionDecision {
    /** Admitted: the request counts against {@code budget} and expires after {@code timeout} microseconds. */
    record Admitted(TeamBudget budget, long timeout) implements AdmissionDecision {}

    /** Denied: {@code reply} is the final reply. */
    record Denied(Reply reply) implements AdmissionDecision {}
}
