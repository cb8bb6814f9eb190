package burlford.lab;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The audit sees what it is there to see: a check that cannot fail would prove nothing. */
class AuditTest {

    private final Audit audit = new Audit(3);

    private static void longerThanACrossing() throws InterruptedException {
        Thread.sleep(60);
    }

    @Test
    void oneAttemptAfterTheOtherIsFineUpToTheLimit() {
        for (int i = 0; i < 3; i++) {
            audit.recordArrival("q.0", true);
            audit.recordEnd("q.0");
        }
        assertThat(audit.secondCopies.get() + audit.countOpenSecondCopies() + audit.overLimit.get()).isZero();
        audit.recordArrival("q.0", true);
        assertThat(audit.overLimit.get()).isEqualTo(1);
    }

    @Test
    void twoOutAreASecondCopyUnlessTheWordThatGivesOneUpIsOnItsWay() throws InterruptedException {
        audit.recordArrival("q.0", true);
        audit.recordArrival("q.0", true);
        audit.recordEnd("q.0");
        assertThat(audit.secondCopies.get()).isZero();
        audit.recordArrival("q.0", true);
        longerThanACrossing();
        assertThat(audit.countOpenSecondCopies()).isEqualTo(1);
        audit.recordEnd("q.0");
        assertThat(audit.secondCopies.get()).isEqualTo(1);
    }

    @Test
    void aPartWhereItsShardIsNotIsSeen() {
        audit.recordArrival("q.0", false);
        assertThat(audit.wrongShard.get()).isEqualTo(1);
    }
}
