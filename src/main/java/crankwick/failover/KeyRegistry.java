package crankwick.failover;

import java.util.Arrays;

/**
 * The keys that may have run, each from the sending of the first attempt that may have until its window and
 * the memory after it are over. Entries stand in parallel arrays, chained by hash, and end on a hashed timing
 * wheel (Varghese and Lauck, "Hashed and hierarchical timing wheels", 1987): an operation takes constant time
 * and an entry {@value #BYTES} bytes with its share of the chains, whatever the number of entries.
 *
 * <p>A key is known by a 64-bit hash over it and its group, seeded: with a million keys in memory the chance
 * that any two share one is under one in ten million, and such a pair is only failed where it might have run.
 */
final class KeyRegistry {
    /** Eight each for hash, sending and end, four each for two links, two chains' heads and the state. */
    static final int BYTES = 37;

    private static final int NONE = -1;
    /** A slot of the wheel, in microseconds; and how many there are: longer windows go round again. */
    private static final long TICK = 8_192;

    private static final int SLOTS = 1_024;
    private static final byte FREE = 0;
    private static final byte OUT = 1;
    private static final byte DOUBT = 2;
    private static final byte APPLIED = 3;
    private static final byte DROPPED = 4;

    private final int most;
    private final long seed;
    private long[] hashes;
    private long[] sentAt;
    private long[] endsAt;
    private int[] nextInChain;
    private int[] nextInSlot;
    private byte[] states;
    private int[] chains;
    private final int[] slots = new int[SLOTS];
    private int free = NONE;
    private int used;
    private int size;
    private long tick = Long.MIN_VALUE;

    /** Keeps up to {@code most} keys; the arrays grow to that as needed. */
    KeyRegistry(int most, long seed) {
        this.most = most;
        this.seed = seed;
        Arrays.fill(slots, NONE);
        allocate(Math.min(most, 64));
    }

    private void allocate(int capacity) {
        hashes = hashes == null ? new long[capacity] : Arrays.copyOf(hashes, capacity);
        sentAt = sentAt == null ? new long[capacity] : Arrays.copyOf(sentAt, capacity);
        endsAt = endsAt == null ? new long[capacity] : Arrays.copyOf(endsAt, capacity);
        nextInChain = nextInChain == null ? new int[capacity] : Arrays.copyOf(nextInChain, capacity);
        nextInSlot = nextInSlot == null ? new int[capacity] : Arrays.copyOf(nextInSlot, capacity);
        states = states == null ? new byte[capacity] : Arrays.copyOf(states, capacity);
        chains = new int[Integer.highestOneBit(Math.max(2, capacity) * 2 - 1)];
        Arrays.fill(chains, NONE);
        for (int entry = 0; entry < used; entry++) {
            if (states[entry] != FREE) {
                chain(entry);
            }
        }
    }

    private void chain(int entry) {
        int head = chainOf(hashes[entry]);
        nextInChain[entry] = chains[head];
        chains[head] = entry;
    }

    private int chainOf(long hash) {
        return (int) (hash >>> 32) & chains.length - 1;
    }

    /** The name that a key of a group goes by here. */
    long hash(long group, String key) {
        long h = seed ^ group * 0x9E3779B97F4A7C15L;
        for (int i = 0; i < key.length(); i++) {
            h = (h ^ key.charAt(i)) * 0xD6E8FEB86659FD93L;
            h ^= h >>> 32;
        }
        return mix(h);
    }

    /** The finalizer of SplitMix64 (Steele, Lea and Flood, 2014). */
    private static long mix(long z) {
        long a = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        long b = (a ^ a >>> 27) * 0x94D049BB133111EBL;
        return b ^ b >>> 31;
    }

    /**
     * An attempt is sent. The first one that may have run dates the window: a later one changes nothing.
     *
     * @param keptFor how long the key is to be known from now on
     * @return false if there is no room
     */
    boolean sent(long hash, long now, long keptFor) {
        advance(now);
        int entry = find(hash);
        if (entry != NONE) {
            if (states[entry] == DROPPED || endsAt[entry] <= now) {
                sentAt[entry] = now;
                endsAt[entry] = now + keptFor;
                states[entry] = OUT;
            }
            return true;
        }
        if (free == NONE && used == hashes.length) {
            if (used >= most) {
                return false;
            }
            allocate(Math.min(most, used * 2));
        }
        if (free != NONE) {
            entry = free;
            free = nextInChain[entry];
        } else {
            entry = used++;
        }
        hashes[entry] = hash;
        sentAt[entry] = now;
        endsAt[entry] = now + keptFor;
        states[entry] = OUT;
        size++;
        chain(entry);
        inSlot(entry);
        return true;
    }

    /** An attempt has ended: served, proven not to have run, or neither. */
    void ended(long hash, boolean served, boolean provenNotRun) {
        int entry = find(hash);
        if (entry == NONE) {
            return;
        }
        if (served) {
            states[entry] = APPLIED;
        } else if (!provenNotRun) {
            states[entry] = states[entry] == APPLIED ? APPLIED : DOUBT;
        } else if (states[entry] == OUT) {
            states[entry] = DROPPED;
        }
    }

    /** When the first attempt that may have run was sent; Long.MAX_VALUE if none may have. */
    long ranSince(long hash, long now) {
        advance(now);
        int entry = find(hash);
        return entry == NONE || states[entry] == DROPPED || endsAt[entry] <= now ? Long.MAX_VALUE : sentAt[entry];
    }

    /** Keys in memory. */
    int size() {
        return size;
    }

    private int find(long hash) {
        int entry = chains[chainOf(hash)];
        while (entry != NONE && hashes[entry] != hash) {
            entry = nextInChain[entry];
        }
        return entry;
    }

    private void inSlot(int entry) {
        int slot = (int) Math.floorMod(Math.floorDiv(endsAt[entry], TICK) + 1, (long) SLOTS);
        nextInSlot[entry] = slots[slot];
        slots[slot] = entry;
    }

    /** Ends what is due. Work is bounded by the entries that end and one turn of the wheel. */
    private void advance(long now) {
        long to = Math.floorDiv(now, TICK);
        if (tick == Long.MIN_VALUE) {
            tick = to;
        }
        long from = Math.max(tick, to - SLOTS);
        for (long t = from + 1; t <= to; t++) {
            int slot = (int) Math.floorMod(t, (long) SLOTS);
            int entry = slots[slot];
            slots[slot] = NONE;
            while (entry != NONE) {
                int next = nextInSlot[entry];
                if (endsAt[entry] <= now) {
                    end(entry);
                } else {
                    inSlot(entry);
                }
                entry = next;
            }
        }
        tick = Math.max(tick, to);
    }

    private void end(int entry) {
        int head = chainOf(hashes[entry]);
        int before = NONE;
        for (int at = chains[head]; at != entry; at = nextInChain[at]) {
            before = at;
        }
        if (before == NONE) {
            chains[head] = nextInChain[entry];
        } else {
            nextInChain[before] = nextInChain[entry];
        }
        states[entry] = FREE;
        nextInChain[entry] = free;
        free = entry;
        size--;
    }
}
