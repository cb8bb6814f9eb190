package burlford.servers;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.StandardCharsets;

/** The value in a reader's answer: UTF-8 text. */
final class ReaderValue {

    private ReaderValue() { }

    /**
     * Whether the bytes could be the rest of a value whose frame was given too small a length: UTF-8, perhaps cut in
     * the middle of a character, and without NUL.
     */
    static boolean couldContinueWith(byte[] bytes) {
        for (byte b : bytes) {
            if (b == 0) {
                return false;
            }
        }
        return !StandardCharsets.UTF_8.newDecoder()
                .decode(ByteBuffer.wrap(bytes), CharBuffer.allocate(bytes.length), false).isError();
    }
}
