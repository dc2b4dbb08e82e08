package crankwick.simulator;

/** Malformed input from the simulator; the message contains the line number, the fault and the start of the line. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
