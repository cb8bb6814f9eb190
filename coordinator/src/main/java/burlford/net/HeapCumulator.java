package burlford.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * Joins what a decoder has left undecoded with what is read next, in a heap buffer that is as long as both. A receive
 * buffer that was kept for the few bytes at its end would take up to 64 KiB of the memory outside the heap.
 */
public final class HeapCumulator implements ByteToMessageDecoder.Cumulator {

    @Override
    public ByteBuf cumulate(ByteBufAllocator allocator, ByteBuf undecoded, ByteBuf input) {
        if (!undecoded.isReadable()) {
            undecoded.release();
            return onHeap(input);
        }
        if (!input.isReadable() && !isWasteful(undecoded)) {
            input.release();
            return undecoded;
        }
        ByteBuf joined = Unpooled.buffer(undecoded.readableBytes() + input.readableBytes());
        joined.writeBytes(undecoded).writeBytes(input);
        undecoded.release();
        input.release();
        return joined;
    }

    private static ByteBuf onHeap(ByteBuf input) {
        if (!input.isDirect()) {
            return input;
        }
        ByteBuf copy = Unpooled.copiedBuffer(input);
        input.release();
        return copy;
    }

    private static boolean isWasteful(ByteBuf buffer) {
        return buffer.readableBytes() < buffer.capacity() / 2;
    }
}
