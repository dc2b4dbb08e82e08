package crankwick.routing;

import crankwick.routing.api.RequestClass;
import java.util.ArrayList;
import java.util.List;

/** The order in which request classes are served: by priority weight divided by latency objective, descending. */
final class ClassPriorities {
    private final List<Integer> servingOrder = new ArrayList<>();
    private final double maxPriorityWeight;

    ClassPriorities(List<RequestClass> requestClasses) {
        double max = 0;
        for (int i = 0; i < requestClasses.size(); i++) {
            servingOrder.add(i);
            max = Math.max(max, requestClasses.get(i).priorityWeight());
        }
        maxPriorityWeight = max;
        servingOrder.sort((a, b) -> Double.compare(
                weightPerObjectiveMicro(requestClasses.get(b)), weightPerObjectiveMicro(requestClasses.get(a))));
    }

    private static double weightPerObjectiveMicro(RequestClass requestClass) {
        return requestClass.priorityWeight() / requestClass.latencyObjective();
    }

    /** Returns the class indices, highest priority first. */
    List<Integer> servingOrder() {
        return servingOrder;
    }

    double maxPriorityWeight() {
        return maxPriorityWeight;
    }
}
