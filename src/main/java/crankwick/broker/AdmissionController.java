package crankwick.broker;

import crankwick.routing.api.RequestClass;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Admits requests within the limits of their teams' contracts. */
final class AdmissionController {
    private final List<RequestClass> requestClasses;
    private final Map<String, Contract> contracts;
    private final Map<String, TeamBudget> budgets = new HashMap<>();

    AdmissionController(List<RequestClass> requestClasses, Map<String, Contract> contracts) {
        this.requestClasses = requestClasses;
        this.contracts = Map.copyOf(contracts);
    }

    /**
     * Admits or denies a request; a rejection carries a retry-after time.
     *
     * @param idInUse whether an unfinished request has the same client request ID; such a request is denied, because
     *     databases could not tell the two apart
     */
    AdmissionDecision decide(ClientRequest request, boolean idInUse, long now) {
        Contract contract = contracts.get(request.team());
        TeamBudget budget = budgets.computeIfAbsent(request.team(), team -> new TeamBudget(contract, now));
        if (idInUse) {
            return failed(Reply.Reason.ID_IN_USE);
        }
        if (!contract.allows(request.classIndex())) {
            return failed(Reply.Reason.CLASS_NOT_ALLOWED);
        }
        if (budget.isOutstandingLimitReached()) {
            long latencyObjective = requestClasses.get(request.classIndex()).latencyObjective();
            return rejected(Reply.Reason.OVER_OUTSTANDING, latencyObjective);
        }
        if (!budget.tryAcquireToken(now)) {
            return rejected(Reply.Reason.OVER_RATE, budget.timeUntilNextToken());
        }
        return new AdmissionDecision.Admitted(budget, contract.capTimeout(request.timeout()));
    }

    private static AdmissionDecision failed(Reply.Reason reason) {
        return new AdmissionDecision.Denied(new Reply.Failed(reason));
    }

    private static AdmissionDecision rejected(Reply.Reason reason, long retryAfter) {
        return new AdmissionDecision.Denied(new Reply.Rejected(reason, retryAfter));
    }
}
