package burlford.core;

import java.util.Locale;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Counts what must never happen and is found to have happened all the same. Each rule is decided elsewhere, in
 * {@code policy}; this is the check at run time that the decision held until its effect.
 */
public final class RuleViolations {

    private static final Logger LOG = Logger.getLogger(RuleViolations.class.getName());
    /** Of one rule's violations only so many are logged. */
    private static final int MAX_LOGGED_PER_RULE = 20;

    /** A rule that is checked at run time. */
    public enum Rule {
        /** A final answer was given {@link #LATE_ANSWER_US} after its deadline, or its submission if that was later. */
        ANSWER_LATE,
        /** An attempt of a part was written while another one of it was in flight. */
        TWO_ATTEMPTS_OUT,
        /** An attempt was written for a query that had ended. */
        SENT_AFTER_END,
        /** A connection was closed from this side over a request without an answer. */
        CLOSED_UNANSWERED,
        /** More was held for clients than their share of the memory. */
        MEMORY_OVERDRAWN
    }

    /** An answer that comes later than this after its deadline counts as lost. */
    public static final long LATE_ANSWER_US = 500_000;
    private static final String COUNTER_PREFIX = "violations.";

    private final Counters counters;

    public RuleViolations(Counters counters) {
        this.counters = counters;
    }

    /** Counts a violation and logs it. what: names the query, part or client. */
    public void add(Rule rule, Object what) {
        String counter = COUNTER_PREFIX + rule.name().toLowerCase(Locale.ROOT);
        counters.add(counter);
        if (counters.get(counter) <= MAX_LOGGED_PER_RULE) {
            LOG.log(Level.SEVERE, "rule violated: {0}: {1}", new Object[] {rule, what});
        }
    }
}
