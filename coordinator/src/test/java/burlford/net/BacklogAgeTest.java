package burlford.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import org.junit.jupiter.api.Test;

class BacklogAgeTest {

    private static final int MOST_ACCEPTED = 16;

    private long unreadSince = 100;
    private final EmbeddedChannel listener = new EmbeddedChannel(new BacklogAge(() -> unreadSince),
            new ChannelInboundHandlerAdapter() {
                @Override
                public void exceptionCaught(io.netty.channel.ChannelHandlerContext ctx, Throwable cause) { }
            });

    private long accept(int count) {
        EmbeddedChannel[] accepted = new EmbeddedChannel[count];
        for (int i = 0; i < count; i++) {
            accepted[i] = new EmbeddedChannel();
        }
        listener.writeInbound((Object[]) accepted);
        return accepted[count - 1].attr(BacklogAge.WAITING_SINCE).get();
    }

    /** Guards against connections taken to be new that an earlier turn had left in the backlog. */
    @Test
    void whatATurnLeavesInTheBacklogCountsFromThatTurn() {
        assertThat(accept(MOST_ACCEPTED)).isEqualTo(100);
        unreadSince = 200;
        assertThat(accept(MOST_ACCEPTED)).isEqualTo(100);
        assertThat(accept(1)).isEqualTo(100);
        unreadSince = 300;
        assertThat(accept(1)).isEqualTo(300);
    }

    /** Guards against the same where an accept failed, as without free descriptors, also behind one that did not. */
    @Test
    void whatAFailedAcceptLeavesCountsFromThen() {
        failAccept();
        unreadSince = 200;
        failAccept();
        assertThat(accept(1)).isEqualTo(100);
        fail();
        unreadSince = 300;
        assertThat(accept(1)).isEqualTo(100);
        unreadSince = 400;
        assertThat(accept(1)).isEqualTo(400);
    }

    /** As netty tells it: a read ends, and then that its last accept failed. */
    private void failAccept() {
        listener.pipeline().fireChannelReadComplete();
        fail();
    }

    private void fail() {
        listener.pipeline().fireExceptionCaught(new IOException("Too many open files"));
    }
}
