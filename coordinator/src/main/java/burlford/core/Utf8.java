package burlford.core;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Strict conversion between bytes and text. The JDK's own methods replace what they cannot convert, so that different
 * inputs become the same text; these throw.
 */
public final class Utf8 {

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
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
        } catch (CharacterCodingException e) {
            throw new MalformedTextException("not valid UTF-8");
        }
    }

    /** The text of an HTTP header field or request target, which the HTTP library gives with a character a byte. */
    public static String decodeLatin1(String bytes) throws MalformedTextException {
        return decode(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Whether every surrogate in the text is one of a pair, so that the text can be encoded. */
    public static boolean isWellFormed(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (Character.isHighSurrogate(c) && i + 1 < text.length() && Character.isLowSurrogate(text.charAt(i + 1))) {
                i++;
            } else if (Character.isSurrogate(c)) {
                return false;
            }
        }
        return true;
    }
}
