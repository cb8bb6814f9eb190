package burlford.lanes;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.lanes.Placement.LaneLoad;
import burlford.lanes.Placement.Move;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against uneven placement of new connections, and against connections that move needlessly or back and forth
 * between lanes when their loads change.
 */
class PlacementTest {

    private static final long CHECK_INTERVAL_US = 250_000;

    private static LaneLoad lane(int lane, long open, long connections) {
        return new LaneLoad(lane, true, open, connections, 1000);
    }

    @Test
    void choosesFewestOpenUnitsThenFewestConnections() {
        Placement placement = new Placement(3, 1);
        assertThat(placement.place(List.of(lane(0, 5, 1), lane(1, 2, 9), lane(2, 2, 8)))).isEqualTo(2);
        assertThat(placement.place(List.of(lane(0, 0, 1), new LaneLoad(1, false, 0, 0, 0), lane(2, 2, 8)))).isZero();
        assertThat(placement.place(List.of(new LaneLoad(0, false, 0, 0, 0)))).isEqualTo(-1);
    }

    @Test
    void idleLanesGetEqualConnectionsAndSameSeedGivesSameChoice() {
        for (int count : new int[] {16, 1000}) {
            Placement placement = new Placement(4, 7);
            long[] held = new long[4];
            List<Integer> placements = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                int lane = placement.place(List.of(lane(0, 0, held[0]), lane(1, 0, held[1]), lane(2, 0, held[2]),
                        lane(3, 0, held[3])));
                held[lane]++;
                placements.add(lane);
            }
            assertThat(held).containsOnly(count / 4);
            assertThat(placements.subList(0, 4)).containsExactlyInAnyOrder(0, 1, 2, 3);
        }
        assertThat(new Placement(4, 7).place(List.of(lane(0, 0, 0), lane(1, 0, 0))))
                .isEqualTo(new Placement(4, 7).place(List.of(lane(0, 0, 0), lane(1, 0, 0))));
    }

    @Test
    void movesOnlyAfterSeveralOverloadedChecksAndThenCoolsDown() {
        Placement placement = new Placement(2, 1);
        List<LaneLoad> uneven = List.of(lane(0, 60, 40), lane(1, 2, 10));
        List<Integer> movedAt = new ArrayList<>();
        for (int check = 0; check < 40; check++) {
            List<Move> moves = placement.rebalance(check * CHECK_INTERVAL_US, uneven);
            for (Move m : moves) {
                assertThat(m.from()).isZero();
                assertThat(m.to()).isEqualTo(1);
                assertThat(m.connections()).isBetween(1, 20);
                movedAt.add(check);
            }
        }
        assertThat(movedAt.get(0)).isGreaterThanOrEqualTo(Placement.CHECKS_UNTIL_OVERLOADED - 1);
        for (int i = 1; i < movedAt.size(); i++) {
            assertThat((movedAt.get(i) - movedAt.get(i - 1)) * CHECK_INTERVAL_US)
                    .isGreaterThanOrEqualTo(Placement.MOVE_COOLDOWN_US);
        }
    }

    @Test
    void shortPeaksMoveNoConnections() {
        Placement placement = new Placement(2, 1);
        for (int check = 0; check < 200; check++) {
            boolean peak = check % 8 < 1;
            assertThat(placement.rebalance(check * CHECK_INTERVAL_US,
                    List.of(lane(0, peak ? 40 : 5, 40), lane(1, 6, 10)))).isEmpty();
        }
    }

    @Test
    void laggingLaneGivesConnectionsAway() {
        Placement placement = new Placement(2, 1);
        List<Move> moves = new ArrayList<>();
        for (int check = 0; check < 8; check++) {
            moves.addAll(placement.rebalance(check * CHECK_INTERVAL_US,
                    List.of(new LaneLoad(0, true, 5, 8, 120_000), new LaneLoad(1, true, 5, 8, 500))));
        }
        assertThat(moves).hasSize(1);
        assertThat(moves.get(0).from()).isZero();
    }

    /** While connections with one to three open queries each open and close, the loads of the lanes converge. */
    @Test
    void lanesConvergeUnderChurnWithoutOscillating() {
        Random random = new Random(5);
        Placement placement = new Placement(4, 3);
        List<int[]> connections = new ArrayList<>(); // {lane, open queries}
        for (int i = 0; i < 200; i++) {
            connections.add(new int[] {i < 150 ? 0 : random.nextInt(4), 1 + random.nextInt(3)});
        }
        int moves = 0;
        for (int check = 0; check < 400; check++) {
            List<LaneLoad> loads = loads(connections);
            for (Move m : placement.rebalance(check * CHECK_INTERVAL_US, loads)) {
                moves++;
                connections.stream().filter(c -> c[0] == m.from()).limit(m.connections()).forEach(c -> c[0] = m.to());
            }
            connections.remove(random.nextInt(connections.size()));
            connections.add(new int[] {placement.place(loads(connections)), 1 + random.nextInt(3)});
        }
        long[] open = loads(connections).stream().mapToLong(LaneLoad::openUnits).toArray();
        long most = java.util.Arrays.stream(open).max().getAsLong();
        long mean = java.util.Arrays.stream(open).sum() / 4;
        assertThat(most).isLessThanOrEqualTo(mean * 3 / 2 + 5);
        assertThat(moves).isBetween(1, 40);
    }

    private static List<LaneLoad> loads(List<int[]> connections) {
        List<LaneLoad> loads = new ArrayList<>();
        for (int lane = 0; lane < 4; lane++) {
            int l = lane;
            loads.add(lane(lane, connections.stream().filter(c -> c[0] == l).mapToLong(c -> c[1]).sum(),
                    connections.stream().filter(c -> c[0] == l).count()));
        }
        return loads;
    }
}
