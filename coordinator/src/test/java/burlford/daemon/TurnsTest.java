package burlford.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** A loop that was busy for long reads what has lain unread: its clients' time ran meanwhile. */
class TurnsTest {

    private static final long BUSY = 600_000;
    private long now = 5_000_000;

    @Test
    void requestsReadBehindALongTurnCountFromWhenThatTurnLooked() throws Exception {
        Turns turns = new Turns(Thread.currentThread(), () -> now);
        turns.loop.execute(() -> {
            assertThat(turns.unreadSince()).isEqualTo(now);
            now += BUSY;
        });
        turns.turn();
        long[] since = new long[2];
        turns.loop.execute(() -> {
            since[0] = turns.unreadSince();
            now += 1_000;
            since[1] = turns.unreadSince();
        });
        turns.turn();
        assertThat(since).containsExactly(5_000_000, 5_000_000);
        // A turn that was short again.
        turns.loop.execute(() -> since[0] = turns.unreadSince());
        turns.turn();
        assertThat(since[0]).isEqualTo(now - 1_000);
        turns.loop.shutdownGracefully();
    }
}
