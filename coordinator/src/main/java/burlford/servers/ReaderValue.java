package burlford.servers;

import io.netty.handler.codec.CorruptedFrameException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The value in a reader's answer: UTF-8 text without NUL, which each frame that a reader may send has in its length.
 */
final class ReaderValue {

    private ReaderValue() { }

    /** The value that a frame's payload holds from an offset on; throws CorruptedFrameException where it is none. */
    static String decode(Frame frame, int offset) {
        String value = frame.text(offset);
        if (value.indexOf('\0') >= 0) {
            throw new CorruptedFrameException("a value with a NUL: its frame may have taken in the one behind it");
        }
        return value;
    }

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
