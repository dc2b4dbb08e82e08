package crankwick.broker;

/** Whether a team's contract admits a request. */
sealed interface AdmissionDecision {
    /** It is admitted at the cost of {@code budget}; its caller is answered within {@code timeout} microseconds. */
    record Admitted(TeamBudget budget, long timeout) implements AdmissionDecision {}

    /** It is denied, with its final answer. */
    record Denied(Reply reply) implements AdmissionDecision {}
}
