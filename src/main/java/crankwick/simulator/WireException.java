package crankwick.simulator;

/** Malformed wire input; the message names the line at fault. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
