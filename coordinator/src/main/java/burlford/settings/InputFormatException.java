package burlford.settings;

/** The input breaks the wire's format; the message says where. */
public final class InputFormatException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    public InputFormatException(String message) {
        super(message);
    }
}
