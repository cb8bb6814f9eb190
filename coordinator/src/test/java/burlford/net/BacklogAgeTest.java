package burlford.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import org.junit.jupiter.api.Test;

class BacklogAgeTest {

    private static final int MAX_ACCEPTS_PER_READ = 16;

    private long earliestArrivalAt = 100;
    private final EmbeddedChannel listener = new EmbeddedChannel(new BacklogAge(() -> earliestArrivalAt),
            new ChannelInboundHandlerAdapter() {
                @Override
                public void exceptionCaught(io.netty.channel.ChannelHandlerContext ctx, Throwable cause) { }
            });

    /** Accepts the given number of connections in one read; returns since when the last of them may have waited. */
    private long accept(int count) {
        EmbeddedChannel[] accepted = new EmbeddedChannel[count];
        for (int i = 0; i < count; i++) {
            accepted[i] = new EmbeddedChannel();
        }
        listener.writeInbound((Object[]) accepted);
        return accepted[count - 1].attr(BacklogAge.WAITING_SINCE).get();
    }

    /** Guards against connections that count as new though an earlier iteration left them in the backlog. */
    @Test
    void connectionsLeftByAnIterationKeepItsArrivalTime() {
        assertThat(accept(MAX_ACCEPTS_PER_READ)).isEqualTo(100);
        earliestArrivalAt = 200;
        assertThat(accept(MAX_ACCEPTS_PER_READ)).isEqualTo(100);
        assertThat(accept(1)).isEqualTo(100);
        earliestArrivalAt = 300;
        assertThat(accept(1)).isEqualTo(300);
    }

    /**
     * Guards against the same after a failed accept, as without free descriptors, also if accepts before it succeeded.
     */
    @Test
    void connectionsLeftByAFailedAcceptKeepItsArrivalTime() {
        endReadWithFailedAccept();
        earliestArrivalAt = 200;
        endReadWithFailedAccept();
        assertThat(accept(1)).isEqualTo(100);
        fireAcceptFailure();
        earliestArrivalAt = 300;
        assertThat(accept(1)).isEqualTo(100);
        earliestArrivalAt = 400;
        assertThat(accept(1)).isEqualTo(400);
    }

    /** Fires the events in Netty's order: the end of the read, then the failure of its last accept. */
    private void endReadWithFailedAccept() {
        listener.pipeline().fireChannelReadComplete();
        fireAcceptFailure();
    }

    private void fireAcceptFailure() {
        listener.pipeline().fireExceptionCaught(new IOException("Too many open files"));
    }
}
