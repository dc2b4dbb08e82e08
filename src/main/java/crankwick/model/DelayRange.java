package crankwick.model;

/**
 * A range from which delays are drawn uniformly.
 *
 * @param minMicros the minimum delay, in microseconds
 * @param maxMicros the exclusive upper bound, in microseconds; equal to the minimum for a fixed delay
 */
public record DelayRange(long minMicros, long maxMicros) {}
