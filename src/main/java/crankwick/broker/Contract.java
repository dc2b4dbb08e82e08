package crankwick.broker;

import java.util.Set;

/**
 * What a team may request of the broker.
 *
 * @param allowedClasses the indexes of the classes that it may request; empty for all
 * @param ratePerSecond requests per second, with a burst of one second's; 0 for no limit
 * @param maxOutstanding requests received and not yet answered; 0 for no limit
 * @param maxTimeout the longest timeout of a request, in microseconds; 0 for no limit
 */
public record Contract(Set<Integer> allowedClasses, double ratePerSecond, int maxOutstanding, long maxTimeout) {
    /** No limits. */
    public static final Contract UNLIMITED = new Contract(Set.of(), 0, 0, 0);

    /** True if the team may request this class. */
    boolean allows(int classIndex) {
        return allowedClasses.isEmpty() || allowedClasses.contains(classIndex);
    }

    /** The time that a request with {@code timeout} is given. */
    long capTimeout(long timeout) {
        return maxTimeout > 0 ? Math.min(timeout, maxTimeout) : timeout;
    }
}
