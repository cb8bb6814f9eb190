package burlford.policy;

/** Arithmetic the module measures with: no decision and no tuned value, all figures are the caller's. */
final class Estimators {

    private Estimators() { }

    /** What is left of something noted at a time, when it halves every so often; nought if it was never noted. */
    static double decayFactor(long since, double now, double halfLife) {
        return since == Decide.NEVER ? 0 : Math.pow(0.5, (now - since) / halfLife);
    }

    /** Moves a mark by a step towards its quantile of what is seen. */
    static double stepToQuantile(double mark, double seen, double quantile, double step) {
        return mark * (1 + step * (seen > mark ? quantile : quantile - 1));
    }

    /**
     * The most that n together may do on the mean, each with gaps of its own between its turns, so that what they
     * do in any span passes a bound no more often than z spreads are passed: each does its share rounded up or down,
     * so the sum's spread is at most its root, and at most half the root of n; without chance it is n at most.
     */
    static double maxMeanWithin(double bound, int n, double z) {
        return Math.max(bound + z * z / 2 - z * Math.sqrt(bound + z * z / 4),
                bound - Math.min(n, z * Math.sqrt(n) / 2));
    }

    /** A hash of two numbers. */
    static long mixHash(long a, long b) {
        long h = (a ^ b * 0x9E3779B97F4A7C15L) * 0xD6E8FEB86659FD93L;
        h = (h ^ h >>> 32) * 0xD6E8FEB86659FD93L;
        return h ^ h >>> 32;
    }

    /** Faded counts of what was served and what came to nothing. */
    static final class DecayingCounts {
        private double successes;
        private double failures;
        private long updatedAt = Decide.NEVER;

        void add(double served, double lost, long now, double halfLife) {
            double kept = decayFactor(updatedAt, now, halfLife);
            successes = successes * kept + served;
            failures = failures * kept + lost;
            updatedAt = now;
        }

        double successes(long now, double halfLife) {
            return successes * decayFactor(updatedAt, now, halfLife);
        }

        double failures(long now, double halfLife) {
            return failures * decayFactor(updatedAt, now, halfLife);
        }
    }

    /** A line fitted by least squares to points that are forgotten at a given rate; it never falls. */
    static final class LinearFit {
        private final double[] sums = new double[5];
        double intercept;
        double slope;

        /** leastShare: the line's start is at least this share of the mean. */
        void add(double x, double y, double forget, double leastShare) {
            double[] point = {1, x, x * x, y, x * y};
            for (int i = 0; i < sums.length; i++) {
                sums[i] = sums[i] * forget + point[i];
            }
            double n = sums[0];
            double mean = sums[3] / n;
            double spread = sums[2] - sums[1] * sums[1] / n;
            double rise = spread > 1e-6 * n ? (sums[4] - sums[1] * mean) / spread : 0;
            slope = Math.max(0, Math.min(rise, (1 - leastShare) * mean / Math.max(1e-6, sums[1] / n)));
            intercept = Math.max(1, mean - slope * sums[1] / n);
        }

        double predict(double x) {
            return intercept + slope * x;
        }
    }
}
