package burlford.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class QueryIdRulesTest {

    private static final long NOW = 5_000_000;

    /** Guards against an id of a class that must not run twice that is free again after a while. */
    @Test
    void idThatMayHaveRunIsNeverFreeWhereARepeatDoesHarm() {
        assertThat(QueryIdRules.retainedUntil(NOW, true, false, false)).isEqualTo(Long.MAX_VALUE);
        assertThat(QueryIdRules.retainedUntil(NOW, true, false, true)).isGreaterThan(NOW).isLessThan(Long.MAX_VALUE);
    }

    @Test
    void idThatWasNotSentOrWasAnsweredWholeIsFree() {
        assertThat(QueryIdRules.retainedUntil(NOW, false, false, false)).isEqualTo(QueryIdRules.NOT_RETAINED);
        assertThat(QueryIdRules.retainedUntil(NOW, true, true, false)).isEqualTo(QueryIdRules.NOT_RETAINED);
    }
}
