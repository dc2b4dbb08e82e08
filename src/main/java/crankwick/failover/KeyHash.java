package crankwick.failover;

/**
 * A seeded 64-bit hash over an idempotency key and its group: with one million keys in memory, the probability of
 * any collision is below one in ten million.
 */
final class KeyHash {
    private static final long GROUP_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final long CHARACTER_MULTIPLIER = 0xD6E8FEB86659FD93L;
    private static final int CHARACTER_SHIFT = 32;
    private static final long FIRST_MIX_MULTIPLIER = 0xBF58476D1CE4E5B9L;
    private static final int FIRST_MIX_SHIFT = 30;
    private static final long SECOND_MIX_MULTIPLIER = 0x94D049BB133111EBL;
    private static final int SECOND_MIX_SHIFT = 27;
    private static final int LAST_MIX_SHIFT = 31;

    private final long seed;

    KeyHash(long seed) {
        this.seed = seed;
    }

    long of(long groupId, String key) {
        long hash = seed ^ groupId * GROUP_MULTIPLIER;
        for (int i = 0; i < key.length(); i++) {
            hash = (hash ^ key.charAt(i)) * CHARACTER_MULTIPLIER;
            hash ^= hash >>> CHARACTER_SHIFT;
        }
        return mix(hash);
    }

    /** The finalizer of SplitMix64 (Steele, Lea and Flood, 2014). */
    private static long mix(long value) {
        long first = (value ^ value >>> FIRST_MIX_SHIFT) * FIRST_MIX_MULTIPLIER;
        long second = (first ^ first >>> SECOND_MIX_SHIFT) * SECOND_MIX_MULTIPLIER;
        return second ^ second >>> LAST_MIX_SHIFT;
    }
}
