package crankwick.failover;

import java.util.Arrays;

/**
 * The idempotency keys that may have executed, each from the sending of the first attempt that may have until its
 * window and the retention after it are over. Entries stand in parallel arrays, chained by hash, and expire on a
 * hashed timing wheel (Varghese and Lauck, "Hashed and hierarchical timing wheels", 1987): an operation takes
 * constant time and an entry {@value #BYTES_PER_ENTRY} bytes with its share of the chains, whatever their number.
 *
 * <p>A key is known by its {@link KeyHash} only; of a pair that shares one, a request is failed at worst.
 */
final class KeyRegistry {
    /** Three times 8 for hash, sending and expiry, three times 4 for two links and a chain head, 1 for the state. */
    static final int BYTES_PER_ENTRY = 37;

    /** The time of what has not happened. */
    static final long NEVER = Long.MAX_VALUE;

    private static final int NONE = -1;
    private static final int INITIAL_CAPACITY = 64;
    /** The span of a slot of the wheel; entries that live longer than one turn go round again. */
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
    private int[] chains;
    private final int[] slots = new int[SLOTS];
    private int firstFree = NONE;
    private int used;
    private int size;
    private long currentTick = Long.MIN_VALUE;

    /** Remembers up to {@code maxKeys} keys; the arrays grow to that as needed. */
    KeyRegistry(int maxKeys, long seed) {
        this.maxKeys = maxKeys;
        keyHash = new KeyHash(seed);
        Arrays.fill(slots, NONE);
        allocate(Math.min(maxKeys, INITIAL_CAPACITY));
    }

    private void allocate(int capacity) {
        hashes = hashes == null ? new long[capacity] : Arrays.copyOf(hashes, capacity);
        sentAt = sentAt == null ? new long[capacity] : Arrays.copyOf(sentAt, capacity);
        expiresAt = expiresAt == null ? new long[capacity] : Arrays.copyOf(expiresAt, capacity);
        nextInChain = nextInChain == null ? new int[capacity] : Arrays.copyOf(nextInChain, capacity);
        nextInSlot = nextInSlot == null ? new int[capacity] : Arrays.copyOf(nextInSlot, capacity);
        states = states == null ? new byte[capacity] : Arrays.copyOf(states, capacity);
        chains = new int[Integer.highestOneBit(Math.max(2, capacity) * 2 - 1)];
        Arrays.fill(chains, NONE);
        for (int entry = 0; entry < used; entry++) {
            if (states[entry] != FREE) {
                addToChain(entry);
            }
        }
    }

    private void addToChain(int entry) {
        int head = chainOf(hashes[entry]);
        nextInChain[entry] = chains[head];
        chains[head] = entry;
    }

    private int chainOf(long hash) {
        return (int) (hash >>> Integer.SIZE) & chains.length - 1;
    }

    /** The hash by which a group's key is known here. */
    long hash(long groupId, String key) {
        return keyHash.of(groupId, key);
    }

    /**
     * An attempt is sent. The first one that may have executed starts the window: a later one changes nothing.
     *
     * @param timeToLive how long the key is remembered from now on
     * @return false if no further key can be remembered
     */
    boolean recordAttempt(long hash, long now, long timeToLive) {
        advance(now);
        int entry = find(hash);
        if (entry == NONE) {
            entry = takeFreeEntry();
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

    /** An entry that is free now, or NONE if {@code maxKeys} are in use. */
    private int takeFreeEntry() {
        if (firstFree == NONE && used == hashes.length) {
            if (used >= maxKeys) {
                return NONE;
            }
            allocate(Math.min(maxKeys, used * 2));
        }
        size++;
        if (firstFree == NONE) {
            return used++;
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

    /** An attempt has ended: executed, proven not to have executed, or neither. */
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

    /** When the first attempt that may have executed was sent; {@link #NEVER} if none may have. */
    long mayHaveExecutedSince(long hash, long now) {
        advance(now);
        int entry = find(hash);
        return entry == NONE || states[entry] == NOT_EXECUTED || expiresAt[entry] <= now ? NEVER : sentAt[entry];
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

    private void addToSlot(int entry) {
        int slot = (int) Math.floorMod(Math.floorDiv(expiresAt[entry], TICK_MICROS) + 1, (long) SLOTS);
        nextInSlot[entry] = slots[slot];
        slots[slot] = entry;
    }

    /** Removes expired entries. Work is bounded by the entries that expire and one turn of the wheel. */
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
        int head = chainOf(hashes[entry]);
        int previous = NONE;
        for (int at = chains[head]; at != entry; at = nextInChain[at]) {
            previous = at;
        }
        if (previous == NONE) {
            chains[head] = nextInChain[entry];
        } else {
            nextInChain[previous] = nextInChain[entry];
        }
        states[entry] = FREE;
        nextInChain[entry] = firstFree;
        firstFree = entry;
        size--;
    }
}
