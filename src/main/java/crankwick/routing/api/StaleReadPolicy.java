package crankwick.routing.api;

/** What a server does with a read for which it lags too far. */
public enum StaleReadPolicy {
    SERVE,
    REJECT,
    WAIT
}
