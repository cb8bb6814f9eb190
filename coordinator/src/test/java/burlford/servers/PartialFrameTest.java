package burlford.servers;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

/** Frames of readers that do not end. */
class PartialFrameTest {

    private static final int LENGTH = 100_000;
    private static final int MAX_BYTES = 1_000;

    /** Guards against receive buffers, outside the heap, that are kept for frames which do not end. */
    @Test
    void receiveBufferIsNotKeptForAFrameThatDoesNotEnd() {
        FrameSplitter splitter = new FrameSplitter();
        EmbeddedChannel channel = new EmbeddedChannel(splitter);
        ByteBuf received = Unpooled.directBuffer().writeIntLE(LENGTH).writeByte('O');
        channel.writeInbound(received);
        assertThat(received.refCnt()).isZero();
        assertThat(splitter.partialFrameBytes()).isEqualTo(Frame.LENGTH_BYTES + 1);
        channel.close();
    }

    /** Guards against the same frames on very many connections, which together take more than there is. */
    @Test
    void framesThatDoNotEndAreBoundedTogether() {
        PartialFrameBudget budget = new PartialFrameBudget(MAX_BYTES);
        assertThat(budget.tryChange(0, MAX_BYTES)).isTrue();
        assertThat(budget.tryChange(0, 1)).isFalse();
        assertThat(budget.tryChange(MAX_BYTES, 0)).isTrue();
        assertThat(budget.tryChange(0, 1)).isTrue();
    }
}
