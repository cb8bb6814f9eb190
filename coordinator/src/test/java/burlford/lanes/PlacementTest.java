package burlford.lanes;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.lanes.Placement.LaneLoad;
import burlford.lanes.Placement.Move;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Where new connections go, and when some leave a lane that is behind. */
class PlacementTest {

    private static final long LOOK = 250_000;

    private static LaneLoad lane(int lane, long open, long connections) {
        return new LaneLoad(lane, true, open, connections, 1000);
    }

    @Test
    void fewestOpenQueriesThenFewestConnections() {
        Placement p = new Placement(3, 1);
        assertThat(p.place(List.of(lane(0, 5, 1), lane(1, 2, 9), lane(2, 2, 8)))).isEqualTo(2);
        assertThat(p.place(List.of(lane(0, 0, 1), new LaneLoad(1, false, 0, 0, 0), lane(2, 2, 8)))).isZero();
        assertThat(p.place(List.of(new LaneLoad(0, false, 0, 0, 0)))).isEqualTo(-1);
    }

    @Test
    void connectionsOfIdleLanesComeOutEvenAndTiesFallBySeed() {
        for (int n : new int[] {16, 1000}) {
            Placement p = new Placement(4, 7);
            long[] held = new long[4];
            List<Integer> first = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                int lane = p.place(List.of(lane(0, 0, held[0]), lane(1, 0, held[1]), lane(2, 0, held[2]), lane(3, 0,
                        held[3])));
                held[lane]++;
                first.add(lane);
            }
            assertThat(held).containsOnly(n / 4);
            assertThat(first.subList(0, 4)).containsExactlyInAnyOrder(0, 1, 2, 3);
        }
        assertThat(new Placement(4, 7).place(List.of(lane(0, 0, 0), lane(1, 0, 0))))
                .isEqualTo(new Placement(4, 7).place(List.of(lane(0, 0, 0), lane(1, 0, 0))));
    }

    @Test
    void movesOnlyAfterSeveralLooksAndThenLeavesBothAlone() {
        Placement p = new Placement(2, 1);
        List<LaneLoad> uneven = List.of(lane(0, 60, 40), lane(1, 2, 10));
        List<Integer> movedAt = new ArrayList<>();
        for (int look = 0; look < 40; look++) {
            List<Move> moves = p.rebalance(look * LOOK, uneven);
            for (Move m : moves) {
                assertThat(m.from()).isZero();
                assertThat(m.to()).isEqualTo(1);
                assertThat(m.connections()).isBetween(1, 20);
                movedAt.add(look);
            }
        }
        assertThat(movedAt.get(0)).isGreaterThanOrEqualTo(Placement.CHECKS_UNTIL_OVERLOADED - 1);
        for (int i = 1; i < movedAt.size(); i++) {
            assertThat((movedAt.get(i) - movedAt.get(i - 1)) * LOOK).isGreaterThanOrEqualTo(Placement.MOVE_COOLDOWN_US);
        }
    }

    @Test
    void aPassingPeakMovesNothing() {
        Placement p = new Placement(2, 1);
        for (int look = 0; look < 200; look++) {
            boolean peak = look % 8 < 1;
            assertThat(p.rebalance(look * LOOK, List.of(lane(0, peak ? 40 : 5, 40), lane(1, 6, 10)))).isEmpty();
        }
    }

    @Test
    void aLaneLateWithItsTurnsGivesSomeAway() {
        Placement p = new Placement(2, 1);
        List<Move> moves = new ArrayList<>();
        for (int look = 0; look < 8; look++) {
            moves.addAll(p.rebalance(look * LOOK, List.of(new LaneLoad(0, true, 5, 8, 120_000), new LaneLoad(1, true, 5,
                    8, 500))));
        }
        assertThat(moves).hasSize(1);
        assertThat(moves.get(0).from()).isZero();
    }

    /** Connections that each keep so many queries open, come and go: the lanes come together and stay so. */
    @Test
    void underChurnTheLanesComeTogetherAndDoNotSwing() {
        Random random = new Random(5);
        Placement p = new Placement(4, 3);
        List<int[]> connections = new ArrayList<>(); // lane, queries
        for (int i = 0; i < 200; i++) {
            connections.add(new int[] {i < 150 ? 0 : random.nextInt(4), 1 + random.nextInt(3)});
        }
        int moves = 0;
        for (int look = 0; look < 400; look++) {
            List<LaneLoad> views = views(connections);
            for (Move m : p.rebalance(look * LOOK, views)) {
                moves++;
                connections.stream().filter(c -> c[0] == m.from()).limit(m.connections()).forEach(c -> c[0] = m.to());
            }
            connections.remove(random.nextInt(connections.size()));
            connections.add(new int[] {p.place(views(connections)), 1 + random.nextInt(3)});
        }
        long[] open = views(connections).stream().mapToLong(LaneLoad::openUnits).toArray();
        long most = java.util.Arrays.stream(open).max().getAsLong();
        long mean = java.util.Arrays.stream(open).sum() / 4;
        assertThat(most).isLessThanOrEqualTo(mean * 3 / 2 + 5);
        assertThat(moves).isBetween(1, 40);
    }

    private static List<LaneLoad> views(List<int[]> connections) {
        List<LaneLoad> views = new ArrayList<>();
        for (int lane = 0; lane < 4; lane++) {
            int l = lane;
            views.add(lane(lane, connections.stream().filter(c -> c[0] == l).mapToLong(c -> c[1]).sum(),
                    connections.stream().filter(c -> c[0] == l).count()));
        }
        return views;
    }
}
