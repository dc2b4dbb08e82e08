package crankwick.broker;

import java.util.Set;

/**
 * What a team may ask of the broker.
 *
 * @param allowedClasses the classes it may call; empty for all
 * @param ratePerSecond requests a second, with a second's worth saved up; 0 for no limit
 * @param maxOutstanding requests taken and not yet answered; 0 for no limit
 * @param maxTimeout the longest wait it is given, in microseconds; 0 for no limit
 */
public record Contract(Set<Integer> allowedClasses, double ratePerSecond, int maxOutstanding, long maxTimeout) {
    /** No limits. */
    public static final Contract UNLIMITED = new Contract(Set.of(), 0, 0, 0);
}
