package burlford.servers;

import burlford.core.Utf8;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A frame of the readers' wire: a little-endian length of what follows, a message type (one letter) and a payload.
 * Types sent to readers: D (a part), K (cancel), U (probe), I (ping). Types received: O (answer), U (load report), I
 * (answer to a ping), Z (the reader could not use a frame).
 */
record Frame(char type, byte[] payload) {

    /** Longest frame that is accepted: longer than any value that a reader may give. */
    static final int MAX_BYTES = 1 << 17;
    static final int LENGTH_BYTES = 4;

    ByteBuf encode() {
        return Unpooled.buffer(LENGTH_BYTES + 1 + payload.length).writeIntLE(1 + payload.length).writeByte(type)
                .writeBytes(payload);
    }

    static Frame of(char type, String payload) {
        return new Frame(type, payload.getBytes(StandardCharsets.UTF_8));
    }

    /** The payload from an offset on as text; throws CorruptedFrameException where it is not valid UTF-8. */
    String text(int offset) {
        try {
            return Utf8.decode(payload, offset);
        } catch (Utf8.MalformedTextException e) {
            throw new CorruptedFrameException("the payload of frame " + type + " is not valid UTF-8", e);
        }
    }

    /** Decodes the frames that a LengthFieldBasedFrameDecoder has split off. */
    static final class Decoder extends MessageToMessageDecoder<ByteBuf> {
        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
            if (!in.isReadable()) {
                throw new CorruptedFrameException("frame without a message type");
            }
            char type = (char) in.readUnsignedByte();
            byte[] payload = new byte[in.readableBytes()];
            in.readBytes(payload);
            out.add(new Frame(type, payload));
        }
    }
}
