package burlford.settings;

/** The input breaks the wire's format; the message says where. */
public final class BadInput extends RuntimeException {

    private static final long serialVersionUID = 1L;

    public BadInput(String message) {
        super(message);
    }
}
