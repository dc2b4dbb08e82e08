package crankwick.routing.api;

/** What an endpoint does with a read for which it lags too far. */
public enum StaleReadPolicy {
    SERVE,
    REJECT,
    WAIT
}
