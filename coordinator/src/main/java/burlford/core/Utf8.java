package burlford.core;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Strict conversion between bytes and text. The JDK's own methods replace what they cannot convert, so that different
 * inputs become the same text; these throw.
 */
public final class Utf8 {

    private static final char MAX_ASCII = 0x7f;

    /** The bytes are not UTF-8, or the text has half of a surrogate pair. */
    public static final class MalformedTextException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedTextException(String message) {
            super(message);
        }
    }

    private Utf8() { }

    /** The text that the bytes encode. */
    public static String decode(byte[] bytes) throws MalformedTextException {
        return decode(bytes, 0);
    }

    /** The text that the bytes from an offset on encode. */
    public static String decode(byte[] bytes, int offset) throws MalformedTextException {
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes, offset, bytes.length - offset))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new MalformedTextException("not valid UTF-8");
        }
    }

    /** The text of an HTTP header field or request target, which the HTTP library gives with a character a byte. */
    public static String decodeLatin1(String bytes) throws MalformedTextException {
        return isAscii(bytes) ? bytes : decode(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static boolean isAscii(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) > MAX_ASCII) {
                return false;
            }
        }
        return true;
    }

    /** Whether every surrogate in the text is one of a pair, so that the text can be encoded. */
    public static boolean isWellFormed(String text) {
        return StandardCharsets.UTF_8.newEncoder().canEncode(text);
    }
}
