package crankwick.broker;

import java.util.Set;

/**
 * What a team may ask of the broker.
 *
 * @param classes the classes it may call; empty for all
 * @param ratePerSecond requests a second, with a second's worth saved up; 0 for no limit
 * @param outstanding requests taken and not yet answered; 0 for no limit
 * @param deadlineCap the longest wait it is given, in microseconds; 0 for no limit
 */
public record Contract(Set<Integer> classes, double ratePerSecond, int outstanding, long deadlineCap) {
    /** No limits. */
    public static final Contract UNLIMITED = new Contract(Set.of(), 0, 0, 0);
}
