package crankwick.broker;

import java.util.Set;

/**
 * The limits on a team's requests.
 *
 * @param allowedClasses the indexes of the request classes that the team may use; empty for all
 * @param ratePerSecond the maximum request rate, with bursts of up to one second's requests and at least one request; 0
 *     for no limit
 * @param maxOutstanding the maximum number of admitted requests that are neither replied to nor abandoned; 0 for no
 *     limit
 * @param maxTimeout the maximum timeout of a request, in microseconds; 0 for no limit
 */
public record Contract(Set<Integer> allowedClasses, double ratePerSecond, int maxOutstanding, long maxTimeout) {
    /** A contract without limits. */
    public static final Contract UNLIMITED = new Contract(Set.of(), 0, 0, 0);

    /** True if the team may use this request class. */
    boolean allows(int classIndex) {
        return allowedClasses.isEmpty() || allowedClasses.contains(classIndex);
    }

    /** Limits a request's timeout to the contract's maximum. */
    long capTimeout(long timeout) {
        return maxTimeout > 0 ? Math.min(timeout, maxTimeout) : timeout;
    }
}
