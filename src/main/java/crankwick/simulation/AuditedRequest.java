package crankwick.simulation;

/** A request of a client, as the audit follows it. */
final class AuditedRequest {
    /** Whether a write could have been served, by the kind of change; COLD: to a primary that is not warm. */
    enum Reach {
        NOT,
        UNPLANNED,
        PLANNED,
        COLD
    }

    final long ref;
    final int group;
    final String key;
    final long takenAt;
    final long expires;
    boolean answered;
    boolean served;
    boolean lost;
    boolean inFlight;
    String outAt;
    long outSince;
    long ranSince = Long.MAX_VALUE;
    Reach reach = Reach.NOT;

    AuditedRequest(long ref, int group, String key, long takenAt, long expires) {
        this.ref = ref;
        this.group = group;
        this.key = key;
        this.takenAt = takenAt;
        this.expires = expires;
    }
}
