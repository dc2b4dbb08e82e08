package crankwick.broker;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of finished requests that must not execute again: a client whose connection ended may send a request once
 * more under the same id. The number of ids is bounded; the oldest are forgotten first.
 */
final class ExecutedRequestIds {
    private static final int MAX_IDS = 4_096;
    /** Clients send a request again at once, so that later uses of an id are other requests. */
    private static final long RETENTION_MICROS = 10_000_000;

    /** When each id is forgotten, in the order of insertion. */
    private final Map<String, Long> expiryById = new LinkedHashMap<>();

    void add(String clientRequestId, long now) {
        removeExpired(now);
        expiryById.remove(clientRequestId);
        expiryById.put(clientRequestId, now + RETENTION_MICROS);
        if (expiryById.size() > MAX_IDS) {
            Iterator<String> oldestFirst = expiryById.keySet().iterator();
            oldestFirst.next();
            oldestFirst.remove();
        }
    }

    boolean contains(String clientRequestId, long now) {
        Long expiry = expiryById.get(clientRequestId);
        return expiry != null && now < expiry;
    }

    private void removeExpired(long now) {
        Iterator<Long> oldestFirst = expiryById.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next() <= now) {
            oldestFirst.remove();
        }
    }
}
