package crankwick.failover;

import java.util.Arrays;

/**
 * Records the idempotency keys of requests that may have executed. An entry lives from the sending of the key's first
 * attempt until the end of the key window and the retention period after it. If that attempt is proven not to have
 * executed, the key's next attempt restarts the key window.
 *
 * <p>Entries are stored in parallel arrays, chained by hash, and expire on a hashed timing wheel (Varghese and Lauck,
 * "Hashed and hierarchical timing wheels", 1987): an operation takes constant time on average, and an entry takes
 * {@value #BYTES_PER_ENTRY} bytes including its share of the chain heads, regardless of the number of entries.
 *
 * <p>Keys are identified by their {@link KeyHash} only; if two keys collide, the worst effect is that a request fails.
 */
final class KeyRegistry {
    /**
     * The memory that one entry of the registry takes: 8 bytes each for hash, send time and expiry, 4 bytes each for
     * two links and a chain head, 1 byte for the state.
     */
    static final int BYTES_PER_ENTRY = 37;

    /** The time of an event that has not happened. */
    static final long NEVER = Long.MAX_VALUE;

    private static final int NONE = -1;
    private static final int INITIAL_CAPACITY = 64;
    /**
     * The time covered by one slot of the timing wheel; an entry that has not expired when its slot is processed is put
     * back into the wheel.
     */
    private static final long TICK_MICROS = 8_192;

    private static final int SLOTS = 1_024;
    private static final byte FREE = 0;
    private static final byte IN_FLIGHT = 1;
    private static final byte OUTCOME_UNKNOWN = 2;
    private static final byte EXECUTED = 3;
    private static final byte NOT_EXECUTED = 4;

    private final int maxKeys;
    private final KeyHash keyHash;
    private long[] hashes;
    private long[] sentAt;
    private long[] expiresAt;
    private int[] nextInChain;
    private int[] nextInSlot;
    private byte[] states;
    private int[] chainHeads;
    private final int[] slots = new int[SLOTS];
    private int firstFree = NONE;
    private int allocatedEntries;
    private int size;
    private long currentTick = Long.MIN_VALUE;

    /** Creates a registry for up to {@code maxKeys} keys; the arrays grow to that size as needed. */
    KeyRegistry(int maxKeys, long seed) {
        this.maxKeys = maxKeys;
        keyHash = new KeyHash(seed);
        Arrays.fill(slots, NONE);
        resizeArrays(Math.min(maxKeys, INITIAL_CAPACITY));
    }

    private void resizeArrays(int capacity) {
        hashes = hashes == null ? new long[capacity] : Arrays.copyOf(hashes, capacity);
        sentAt = sentAt == null ? new long[capacity] : Arrays.copyOf(sentAt, capacity);
        expiresAt = expiresAt == null ? new long[capacity] : Arrays.copyOf(expiresAt, capacity);
        nextInChain = nextInChain == null ? new int[capacity] : Arrays.copyOf(nextInChain, capacity);
        nextInSlot = nextInSlot == null ? new int[capacity] : Arrays.copyOf(nextInSlot, capacity);
        states = states == null ? new byte[capacity] : Arrays.copyOf(states, capacity);
        chainHeads = new int[Integer.highestOneBit(Math.max(2, capacity) * 2 - 1)];
        Arrays.fill(chainHeads, NONE);
        for (int entry = 0; entry < allocatedEntries; entry++) {
            if (states[entry] != FREE) {
                addToChain(entry);
            }
        }
    }

    private void addToChain(int entry) {
        int chain = chainIndexOf(hashes[entry]);
        nextInChain[entry] = chainHeads[chain];
        chainHeads[chain] = entry;
    }

    private int chainIndexOf(long hash) {
        return (int) (hash >>> Integer.SIZE) & chainHeads.length - 1;
    }

    /** Returns the hash that identifies a group's key in this registry. */
    long hash(long groupId, String key) {
        return keyHash.of(groupId, key);
    }

    /**
     * Records that an attempt is sent. The first attempt that may have executed starts the key window; later attempts
     * do not extend it.
     *
     * @param timeToLive how long the key stays in the registry from {@code now}, if this attempt starts the key window
     * @return false if the key is new and the registry is full
     */
    boolean recordAttempt(long hash, long now, long timeToLive) {
        advance(now);
        int entry = find(hash);
        if (entry == NONE) {
            entry = allocateEntry();
            if (entry == NONE) {
                return false;
            }
            hashes[entry] = hash;
            startWindow(entry, now, timeToLive);
            addToChain(entry);
            addToSlot(entry);
        } else if (states[entry] == NOT_EXECUTED || expiresAt[entry] <= now) {
            startWindow(entry, now, timeToLive);
        }
        return true;
    }

    /** Returns a free entry, or NONE if {@code maxKeys} entries are in use. */
    private int allocateEntry() {
        if (firstFree == NONE && allocatedEntries == hashes.length) {
            if (allocatedEntries >= maxKeys) {
                return NONE;
            }
            resizeArrays(Math.min(maxKeys, allocatedEntries * 2));
        }
        size++;
        if (firstFree == NONE) {
            return allocatedEntries++;
        }
        int entry = firstFree;
        firstFree = nextInChain[entry];
        return entry;
    }

    private void startWindow(int entry, long now, long timeToLive) {
        sentAt[entry] = now;
        expiresAt[entry] = now + timeToLive;
        states[entry] = IN_FLIGHT;
    }

    /** Records the result of an attempt: executed, proven not executed, or unknown if both flags are false. */
    void recordResult(long hash, boolean executed, boolean provenNotExecuted) {
        int entry = find(hash);
        if (entry == NONE) {
            return;
        }
        if (executed) {
            states[entry] = EXECUTED;
        } else if (!provenNotExecuted) {
            states[entry] = states[entry] == EXECUTED ? EXECUTED : OUTCOME_UNKNOWN;
        } else if (states[entry] == IN_FLIGHT) {
            states[entry] = NOT_EXECUTED;
        }
    }

    /**
     * Returns the send time of the key's first attempt that may have executed or is in flight, or {@link #NEVER} if
     * there is none.
     */
    long mayHaveExecutedSince(long hash, long now) {
        advance(now);
        int entry = find(hash);
        return entry == NONE || states[entry] == NOT_EXECUTED || expiresAt[entry] <= now ? NEVER : sentAt[entry];
    }

    /** Returns the number of keys in the registry. */
    int size() {
        return size;
    }

    private int find(long hash) {
        int entry = chainHeads[chainIndexOf(hash)];
        while (entry != NONE && hashes[entry] != hash) {
            entry = nextInChain[entry];
        }
        return entry;
    }

    private void addToSlot(int entry) {
        int slot = (int) Math.floorMod(Math.floorDiv(expiresAt[entry], TICK_MICROS) + 1, (long) SLOTS);
        nextInSlot[entry] = slots[slot];
        slots[slot] = entry;
    }

    /**
     * Removes expired entries. Visits only the slots that have come due since the last call, at most one turn of the
     * wheel, and the entries in them.
     */
    private void advance(long now) {
        long lastTick = Math.floorDiv(now, TICK_MICROS);
        if (currentTick == Long.MIN_VALUE) {
            currentTick = lastTick;
        }
        long firstTick = Math.max(currentTick, lastTick - SLOTS) + 1;
        for (long tick = firstTick; tick <= lastTick; tick++) {
            int slot = (int) Math.floorMod(tick, (long) SLOTS);
            int entry = slots[slot];
            slots[slot] = NONE;
            while (entry != NONE) {
                int next = nextInSlot[entry];
                if (expiresAt[entry] <= now) {
                    remove(entry);
                } else {
                    addToSlot(entry);
                }
                entry = next;
            }
        }
        currentTick = Math.max(currentTick, lastTick);
    }

    private void remove(int entry) {
        int chain = chainIndexOf(hashes[entry]);
        int previous = NONE;
        for (int current = chainHeads[chain]; current != entry; current = nextInChain[current]) {
            previous = current;
        }
        if (previous == NONE) {
            chainHeads[chain] = nextInChain[entry];
        } else {
            nextInChain[previous] = nextInChain[entry];
        }
        states[entry] = FREE;
        nextInChain[entry] = firstFree;
        firstFree = entry;
        size--;
    }
}
