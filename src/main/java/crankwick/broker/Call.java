package crankwick.broker;

/**
 * A request as its caller put it. Times and positions are microseconds, NONE where absent.
 *
 * @param ref the broker's number for it, never used twice
 * @param id its caller's name for it, which databases see; no two open requests may share one
 * @param team whose contract it falls under
 * @param cls its class, as a position in the settings
 * @param after the log position that it must see
 * @param patience how long the caller waits from now
 * @param key its idempotency key; null for none
 * @param bytes how many bytes holding its statement takes
 */
public record Call(
        long ref,
        String id,
        String team,
        int cls,
        long group,
        long session,
        long after,
        long patience,
        String key,
        int bytes) {}
