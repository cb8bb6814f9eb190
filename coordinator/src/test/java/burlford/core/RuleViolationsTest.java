package burlford.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RuleViolationsTest {

    /** Guards against a violation that is found and leaves no trace in the counters. */
    @Test
    void eachViolationIsCountedByItsRule() {
        Counters counters = new Counters();
        RuleViolations violations = new RuleViolations(counters);
        violations.add(RuleViolations.Rule.ANSWER_LATE, "q1");
        violations.add(RuleViolations.Rule.ANSWER_LATE, "q2");
        violations.add(RuleViolations.Rule.CLOSED_UNANSWERED, "client");
        assertThat(counters.get("violations.answer_late")).isEqualTo(2);
        assertThat(counters.get("violations.closed_unanswered")).isEqualTo(1);
    }
}
