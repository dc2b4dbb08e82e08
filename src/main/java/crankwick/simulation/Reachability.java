package crankwick.simulation;

/** Whether a write that met a failover could have been served, by the kind of that failover. */
enum Reachability {
    UNKNOWN("unknown"),
    UNPLANNED("unplanned"),
    PLANNED("planned"),
    /** The new primary was still warming up. */
    WARMING_UP("cold");

    private final String figure;

    Reachability(String figure) {
        this.figure = figure;
    }

    /** Its name in the figures of a run. */
    String figure() {
        return figure;
    }
}
