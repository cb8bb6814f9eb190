package burlford.servers;

import burlford.net.HeapCumulator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.util.List;

/** Splits the bytes from a reader into frames, and keeps what follows the last one without being a frame. */
final class FrameSplitter extends ByteToMessageDecoder {

    /** The kept bytes are only looked at to judge the frame before them. */
    private static final int MAX_KEPT_BYTES = 256;

    private byte[] impossibleFrame = {};

    FrameSplitter() {
        setCumulator(new HeapCumulator());
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (in.readableBytes() < Frame.LENGTH_BYTES) {
            return;
        }
        int length = in.getIntLE(in.readerIndex());
        if (length < 0 || length > Frame.MAX_BYTES - Frame.LENGTH_BYTES) {
            impossibleFrame = firstBytes(in);
            in.skipBytes(in.readableBytes());
            throw new CorruptedFrameException("a frame of the impossible length " + length);
        }
        if (in.readableBytes() >= Frame.LENGTH_BYTES + length) {
            in.skipBytes(Frame.LENGTH_BYTES);
            out.add(in.readRetainedSlice(length));
        }
    }

    /** Number of bytes that have arrived of a frame which is not complete. */
    int partialFrameBytes() {
        return actualReadableBytes();
    }

    /** The first bytes behind the last complete frame: of a frame that is not complete, or of no frame at all. */
    byte[] bytesBehindLastFrame() {
        return impossibleFrame.length > 0 ? impossibleFrame : firstBytes(internalBuffer());
    }

    private static byte[] firstBytes(ByteBuf in) {
        return ByteBufUtil.getBytes(in, in.readerIndex(), Math.min(in.readableBytes(), MAX_KEPT_BYTES));
    }
}
