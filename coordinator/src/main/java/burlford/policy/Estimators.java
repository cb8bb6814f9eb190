package burlford.policy;

/** Estimators of the decision module. No decisions and no tuned values: every parameter comes from the caller. */
final class Estimators {

    private Estimators() { }

    /** Returns the weight, from 1 down to 0, that is left of a value noted at since; 0 if since is NEVER. */
    static double decayFactor(long since, double now, double halfLife) {
        return since == Decide.NEVER ? 0 : Math.pow(0.5, (now - since) / halfLife);
    }

    /**
     * Moves an estimate of a quantile towards it by one sample.
     *
     * @param step relative size of the move, before it is weighted by the quantile
     * @return the new estimate
     */
    static double stepToQuantile(double estimate, double sample, double quantile, double step) {
        return estimate * (1 + step * (sample > estimate ? quantile : quantile - 1));
    }

    /**
     * Returns the highest mean of a sum such that the mean plus z standard deviations stays within the bound. The sum
     * is what a number of senders send within a window, each at regular intervals of its own, so that each sends its
     * share of the mean rounded up or down. Therefore the standard deviation is at most the square root of the mean,
     * and at most half the square root of the number of senders; and the sum exceeds the mean by that number at most.
     */
    static double maxMeanWithin(double bound, int senders, double z) {
        return Math.max(bound + z * z / 2 - z * Math.sqrt(bound + z * z / 4),
                bound - Math.min(senders, z * Math.sqrt(senders) / 2));
    }

    /** Returns a 64-bit hash of two numbers. */
    static long mixHash(long a, long b) {
        long hash = (a ^ b * 0x9E3779B97F4A7C15L) * 0xD6E8FEB86659FD93L;
        hash = (hash ^ hash >>> 32) * 0xD6E8FEB86659FD93L;
        return hash ^ hash >>> 32;
    }

    /** Counts of successes and failures that decay exponentially. The half-life is passed with each call. */
    static final class DecayingCounts {
        private double successes;
        private double failures;
        private long updatedAt = Decide.NEVER;

        void add(double newSuccesses, double newFailures, long now, double halfLife) {
            double factor = decayFactor(updatedAt, now, halfLife);
            successes = successes * factor + newSuccesses;
            failures = failures * factor + newFailures;
            updatedAt = now;
        }

        double successes(long now, double halfLife) {
            return successes * decayFactor(updatedAt, now, halfLife);
        }

        double failures(long now, double halfLife) {
            return failures * decayFactor(updatedAt, now, halfLife);
        }
    }

    /**
     * A line fitted by least squares to points whose weights decay with each further point. Its slope is not negative,
     * and its intercept is at least 1.
     */
    static final class LinearFit {
        /** Decayed sums of 1, x, x * x, y and x * y. */
        private final double[] weightedSums = new double[5];
        double intercept;
        double slope;

        /**
         * Adds a point and fits the line again.
         *
         * @param decayPerSample factor on the weights of all earlier points
         * @param minInterceptShare lower limit of the intercept, as a share of the mean of y
         */
        void add(double x, double y, double decayPerSample, double minInterceptShare) {
            double[] terms = {1, x, x * x, y, x * y};
            for (int i = 0; i < weightedSums.length; i++) {
                weightedSums[i] = weightedSums[i] * decayPerSample + terms[i];
            }
            double weight = weightedSums[0];
            double meanY = weightedSums[3] / weight;
            double squaredDeviations = weightedSums[2] - weightedSums[1] * weightedSums[1] / weight;
            double fittedSlope = squaredDeviations > 1e-6 * weight
                    ? (weightedSums[4] - weightedSums[1] * meanY) / squaredDeviations : 0;
            slope = Math.max(0, Math.min(fittedSlope,
                    (1 - minInterceptShare) * meanY / Math.max(1e-6, weightedSums[1] / weight)));
            intercept = Math.max(1, meanY - slope * weightedSums[1] / weight);
        }

        double predict(double x) {
            return intercept + slope * x;
        }
    }
}
