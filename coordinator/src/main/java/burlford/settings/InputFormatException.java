package burlford.settings;

/** A frame of the simulator or a settings text is malformed; the message says where. */
public final class InputFormatException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    public InputFormatException(String message) {
        super(message);
    }
}
