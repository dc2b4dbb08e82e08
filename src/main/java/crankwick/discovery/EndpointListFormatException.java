package crankwick.discovery;

/** Thrown for an invalid endpoint list or entry; the message states the reason. */
public final class EndpointListFormatException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    EndpointListFormatException(String message) {
        super(message);
    }

    EndpointListFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
