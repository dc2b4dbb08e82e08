package crankwick.broker;

import crankwick.routing.api.RequestClass;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Admits requests by the contracts of their teams. */
final class AdmissionController {
    private final List<RequestClass> requestClasses;
    private final Map<String, Contract> contracts;
    private final Map<String, TeamBudget> budgets = new HashMap<>();

    AdmissionController(List<RequestClass> requestClasses, Map<String, Contract> contracts) {
        this.requestClasses = requestClasses;
        this.contracts = Map.copyOf(contracts);
    }

    /**
     * Decides on a request; a rejection says when to retry.
     *
     * @param idInUse whether an open request has the same client's identifier: both would reach the databases by it
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
        if (budget.isOutstandingExhausted()) {
            long latencyObjective = requestClasses.get(request.classIndex()).latencyObjective();
            return rejected(Reply.Reason.OVER_OUTSTANDING, latencyObjective);
        }
        if (!budget.tryAcquireToken(now)) {
            return rejected(Reply.Reason.OVER_RATE, budget.timeUntilToken());
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
