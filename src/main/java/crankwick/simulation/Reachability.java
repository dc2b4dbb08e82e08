package crankwick.simulation;

/** Whether a write affected by a failover could have been served, and the kind of the failover. */
enum Reachability {
    /** The write is not counted as reachable: not yet classified, not reachable, or counted already. */
    UNKNOWN("unknown"),
    UNPLANNED("unplanned"),
    PLANNED("planned"),
    /** The write could have been served, but the new primary was still warming up when it was elected. */
    WARMING_UP("cold");

    private final String figure;

    Reachability(String figure) {
        this.figure = figure;
    }

    /** The suffix of this kind's names in the figures of a run. */
    String figure() {
        return figure;
    }
}
