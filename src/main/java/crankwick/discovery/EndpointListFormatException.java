package crankwick.discovery;

/** A text that should be a list of endpoints is none; the message says why. */
public final class EndpointListFormatException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    EndpointListFormatException(String message) {
        super(message);
    }

    EndpointListFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
