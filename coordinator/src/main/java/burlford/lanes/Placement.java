package burlford.lanes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Which lane gets a new connection, and which connections leave a lane that is behind. A connection goes to the lane
 * with the fewest open queries, then the fewest connections; ties are broken by a seeded draw. A lane is behind once
 * it had far more open queries than the mean, or was far later with its turns, at several looks in a row; it then
 * gives a part of its connections to the lane that had least, and both are left alone for a while. Pure: it is told
 * what it goes by, and the time.
 */
public final class Placement {

    /** Looks in a row before a lane counts as behind, and for how long a move is left to show what it did. */
    static final int CHECKS_UNTIL_OVERLOADED = 4;
    static final long MOVE_COOLDOWN_US = 2_000_000;
    /** Behind: so many times the mean of open queries and so many more, or so much later (microseconds). */
    private static final double FAR = 1.5;
    private static final double FAR_MORE = 4;
    private static final double LATE = 20_000;
    /** The weight of a new look in what is held of a lane. */
    private static final double NEWEST = 0.3;
    /** The part of the surplus of connections that one move takes: what it does is seen before the next. */
    private static final double PART = 0.5;

    /** A lane as last seen. lag: microseconds from when it was told something until it heard. */
    public record LaneLoad(int lane, boolean serving, long openUnits, long connections, long lag) { }

    /** So many connections that are between requests are to go from one lane to another. */
    public record Move(int from, int to, int connections) { }

    private final SplittableRandom random;
    private final double[] open;
    private final double[] lag;
    private final int[] behind;
    private final long[] leftAloneUntil;

    public Placement(int lanes, long seed) {
        random = new SplittableRandom(seed);
        open = new double[lanes];
        lag = new double[lanes];
        behind = new int[lanes];
        leftAloneUntil = new long[lanes];
        Arrays.fill(leftAloneUntil, Long.MIN_VALUE);
    }

    /** The lane for a new connection; -1 where none serves. */
    public int place(List<LaneLoad> lanes) {
        LaneLoad best = null;
        int ties = 0;
        for (LaneLoad v : lanes) {
            if (!v.serving()) {
                continue;
            }
            int order = best == null ? -1 : v.openUnits() != best.openUnits() ? Long.compare(v.openUnits(),
                    best.openUnits()) : Long.compare(v.connections(), best.connections());
            ties = order < 0 ? 1 : order == 0 ? ties + 1 : ties;
            if (order < 0 || order == 0 && random.nextInt(ties) == 0) {
                best = v;
            }
        }
        return best == null ? -1 : best.lane();
    }

    /** Forgets what was seen of a lane: it was started anew. */
    public void reset(int lane) {
        open[lane] = 0;
        lag[lane] = 0;
        behind[lane] = 0;
        leftAloneUntil[lane] = Long.MIN_VALUE;
    }

    /** A look at all lanes, at even intervals; says what is to move, at most once for each lane. */
    public List<Move> rebalance(long now, List<LaneLoad> lanes) {
        List<LaneLoad> serving = lanes.stream().filter(LaneLoad::serving).toList();
        for (LaneLoad v : serving) {
            open[v.lane()] += NEWEST * (v.openUnits() - open[v.lane()]);
            lag[v.lane()] += NEWEST * (v.lag() - lag[v.lane()]);
        }
        double meanOpen = serving.stream().mapToDouble(v -> open[v.lane()]).average().orElse(0);
        double leastLag = serving.stream().mapToDouble(v -> lag[v.lane()]).min().orElse(0);
        List<Move> moves = new ArrayList<>();
        for (LaneLoad v : serving) {
            int lane = v.lane();
            boolean far = open[lane] > FAR * meanOpen + FAR_MORE || lag[lane] > FAR * leastLag + LATE;
            behind[lane] = far ? behind[lane] + 1 : 0;
            if (behind[lane] < CHECKS_UNTIL_OVERLOADED || now < leftAloneUntil[lane]) {
                continue;
            }
            LaneLoad least = null;
            for (LaneLoad other : serving) {
                boolean fit = other != v && behind[other.lane()] == 0 && now >= leftAloneUntil[other.lane()];
                if (fit && (least == null || open[other.lane()] < open[least.lane()])) {
                    least = other;
                }
            }
            int count = least == null ? 0 : surplus(v, least);
            if (count > 0) {
                moves.add(new Move(lane, least.lane(), count));
                for (int moved : new int[] {lane, least.lane()}) {
                    leftAloneUntil[moved] = now + MOVE_COOLDOWN_US;
                    behind[moved] = 0;
                }
            }
        }
        return moves;
    }

    /** Connections differ in what they ask, so what moves is a share of them by the open queries they stand for. */
    private int surplus(LaneLoad from, LaneLoad to) {
        double gap = open[from.lane()] - open[to.lane()];
        double share = open[from.lane()] > 0 && gap > 0 ? gap / 2 / open[from.lane()] : 0.25;
        return from.connections() < 2 ? 0 : (int) Math.max(1, Math.floor(PART * share * from.connections()));
    }
}
