package burlford.servers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A frame of the readers' wire: a length that covers what follows, least byte first, a letter and the rest. */
record Frame(char type, byte[] payload) {

    /** Longer than any value a reader may give. */
    static final int MAX_BYTES = 1 << 17;
    static final int LENGTH_BYTES = 4;

    ByteBuf encode() {
        return Unpooled.buffer(LENGTH_BYTES + 1 + payload.length).writeIntLE(1 + payload.length).writeByte(type)
                .writeBytes(payload);
    }

    static Frame of(char letter, String rest) {
        return new Frame(letter, rest.getBytes(StandardCharsets.UTF_8));
    }

    /** Its rest from an offset on as text; what is not valid text makes the frame a bad one. */
    String text(int from) {
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(payload, from, payload.length - from))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new CorruptedFrameException("frame " + type + " is not valid text", e);
        }
    }

    /** Takes what a LengthFieldBasedFrameDecoder cut out. */
    static final class Decoder extends MessageToMessageDecoder<ByteBuf> {
        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
            if (!in.isReadable()) {
                throw new CorruptedFrameException("frame without a letter");
            }
            char letter = (char) in.readUnsignedByte();
            byte[] rest = new byte[in.readableBytes()];
            in.readBytes(rest);
            out.add(new Frame(letter, rest));
        }
    }
}
