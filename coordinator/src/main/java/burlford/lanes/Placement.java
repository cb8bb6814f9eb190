package burlford.lanes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides which lane gets a new client connection and how many connections move away from an overloaded lane. A new
 * connection goes to the lane with the fewest open queries and parts, then to the one with the fewest connections; a
 * seeded random choice breaks ties. A lane is overloaded if, at several checks in a row, it had far more open queries
 * and parts than the mean or far more lag than the lane with the least. It then gives a fraction of its connections to
 * the lane with the fewest open queries and parts that is neither above the thresholds nor in its cooldown; a cooldown
 * begins for both lanes. Pure: the caller supplies the loads and the time. All times are microseconds.
 */
public final class Placement {

    /** Consecutive checks above the thresholds after which a lane counts as overloaded. */
    static final int CHECKS_UNTIL_OVERLOADED = 4;
    /** Time after a move in which neither lane takes part in another, so that its effect shows first. */
    static final long MOVE_COOLDOWN_US = 2_000_000;
    /** Thresholds: OVERLOAD_FACTOR times the mean of open units, or the least lag, plus the respective margin. */
    private static final double OVERLOAD_FACTOR = 1.5;
    private static final double OVERLOAD_MARGIN_UNITS = 4;
    private static final double OVERLOAD_LAG_MARGIN_US = 20_000;
    /** Weight of a new sample in the moving averages of open units and lag. */
    private static final double SMOOTHING_WEIGHT = 0.3;
    /** Fraction of the surplus connections that one move takes; its effect is observed before the next move. */
    private static final double MOVED_FRACTION = 0.5;

    /** A lane's load: its open queries and parts, its client connections, and its heartbeat lag in microseconds. */
    public record LaneLoad(int lane, boolean serving, long openUnits, long connections, long lagUs) { }

    /** A number of connections without an open request that are to move from one lane to another. */
    public record Move(int from, int to, int connections) { }

    private final SplittableRandom random;
    private final double[] smoothedOpen;
    private final double[] smoothedLagUs;
    private final int[] overloadedChecks;
    private final long[] cooldownUntil;

    /** Creates the placement of lanes numbered from 0; the seed determines how ties are broken. */
    public Placement(int lanes, long seed) {
        random = new SplittableRandom(seed);
        smoothedOpen = new double[lanes];
        smoothedLagUs = new double[lanes];
        overloadedChecks = new int[lanes];
        cooldownUntil = new long[lanes];
        Arrays.fill(cooldownUntil, Long.MIN_VALUE);
    }

    /** Returns the lane for a new connection; -1 if no lane is serving. */
    public int place(List<LaneLoad> lanes) {
        LaneLoad best = null;
        int ties = 0;
        for (LaneLoad load : lanes) {
            if (!load.serving()) {
                continue;
            }
            int comparison = best == null ? -1 : load.openUnits() != best.openUnits() ? Long.compare(load.openUnits(),
                    best.openUnits()) : Long.compare(load.connections(), best.connections());
            ties = comparison < 0 ? 1 : comparison == 0 ? ties + 1 : ties;
            if (comparison < 0 || comparison == 0 && random.nextInt(ties) == 0) {
                best = load;
            }
        }
        return best == null ? -1 : best.lane();
    }

    /** Clears the history of a lane that has been restarted. */
    public void reset(int lane) {
        smoothedOpen[lane] = 0;
        smoothedLagUs[lane] = 0;
        overloadedChecks[lane] = 0;
        cooldownUntil[lane] = Long.MIN_VALUE;
    }

    /**
     * Checks all lanes and returns the moves to make; a lane takes part in at most one of them. To be called at regular
     * intervals.
     */
    public List<Move> rebalance(long now, List<LaneLoad> lanes) {
        List<LaneLoad> serving = lanes.stream().filter(LaneLoad::serving).toList();
        for (LaneLoad load : serving) {
            smoothedOpen[load.lane()] += SMOOTHING_WEIGHT * (load.openUnits() - smoothedOpen[load.lane()]);
            smoothedLagUs[load.lane()] += SMOOTHING_WEIGHT * (load.lagUs() - smoothedLagUs[load.lane()]);
        }
        double meanOpen = serving.stream().mapToDouble(load -> smoothedOpen[load.lane()]).average().orElse(0);
        double minLag = serving.stream().mapToDouble(load -> smoothedLagUs[load.lane()]).min().orElse(0);
        List<Move> moves = new ArrayList<>();
        for (LaneLoad load : serving) {
            int lane = load.lane();
            boolean overloaded = smoothedOpen[lane] > OVERLOAD_FACTOR * meanOpen + OVERLOAD_MARGIN_UNITS
                    || smoothedLagUs[lane] > OVERLOAD_FACTOR * minLag + OVERLOAD_LAG_MARGIN_US;
            overloadedChecks[lane] = overloaded ? overloadedChecks[lane] + 1 : 0;
            if (overloadedChecks[lane] < CHECKS_UNTIL_OVERLOADED || now < cooldownUntil[lane]) {
                continue;
            }
            LaneLoad target = null;
            for (LaneLoad other : serving) {
                boolean eligible = other != load && overloadedChecks[other.lane()] == 0
                        && now >= cooldownUntil[other.lane()];
                if (eligible && (target == null || smoothedOpen[other.lane()] < smoothedOpen[target.lane()])) {
                    target = other;
                }
            }
            int count = target == null ? 0 : connectionsToMove(load, target);
            if (count > 0) {
                moves.add(new Move(lane, target.lane(), count));
                for (int affected : new int[] {lane, target.lane()}) {
                    cooldownUntil[affected] = now + MOVE_COOLDOWN_US;
                    overloadedChecks[affected] = 0;
                }
            }
        }
        return moves;
    }

    /**
     * Returns how many connections to move. Connections cause different amounts of work, so the number follows from the
     * lanes' open units: MOVED_FRACTION of the share that would equalize both lanes, or of a quarter of the connections
     * if the overloaded lane has no more open units than the other.
     */
    private int connectionsToMove(LaneLoad from, LaneLoad to) {
        double gap = smoothedOpen[from.lane()] - smoothedOpen[to.lane()];
        double share = smoothedOpen[from.lane()] > 0 && gap > 0 ? gap / 2 / smoothedOpen[from.lane()] : 0.25;
        return from.connections() < 2 ? 0 : (int) Math.max(1, Math.floor(MOVED_FRACTION * share * from.connections()));
    }
}
