package crankwick.model;

/**
 * Delays that are drawn uniformly.
 *
 * @param minMicros the shortest delay, in microseconds
 * @param maxMicros the bound that a delay stays below, in microseconds; equal to the shortest for a fixed one
 */
public record DelayRange(long minMicros, long maxMicros) {}
