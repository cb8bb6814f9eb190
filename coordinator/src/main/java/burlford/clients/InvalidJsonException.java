package burlford.clients;

/** A body is not the JSON object that it has to be; the message says why. */
public final class InvalidJsonException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidJsonException(String message) {
        super(message);
    }
}
