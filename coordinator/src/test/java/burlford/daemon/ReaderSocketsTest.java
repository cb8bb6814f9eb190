package burlford.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import burlford.core.ReaderEntry;
import burlford.policy.Aggregator.ListKind;
import burlford.policy.Aggregator.Status;
import burlford.policy.ClientPresence;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Connections to readers that fail or come up late, between a coordinator and stand-in readers on the loopback. */
class ReaderSocketsTest extends ReaderSocketsFixture {

    private static final long SHORT_DEADLINE_US = 300_000;
    /** After so long without a word a reader is asked whether it is alive. */
    private static final long SILENCE_US = 260_000;
    private static final int TURNS_TO_CONNECT = 100;
    /** More bytes than the buffers of a connection take. */
    private static final int LONG_QUERIES = 6;
    private static final int LONG_TEXT_BYTES = 6_000_000;
    private static final int READ_MS = 2_000;

    /** Guards against a failed socket() that was told to the coordinator on another thread, beside its event loop. */
    @Test
    void failedSocketIsReportedOnTheEventLoop() throws Exception {
        start(2, s -> { });
        held.release();
        failures.set(1);
        ask("q");
        until(() -> !ends.isEmpty());
        assertThat(ends).containsExactly("answered");
        assertThat(threads).containsExactly(Thread.currentThread());
        failures.set(100);
        coordinator.updateReaders(ListKind.CHANGES, List.of(entry(0, Status.GONE), entry(1, Status.GONE)));
        coordinator.updateReaders(ListKind.CHANGES, List.of(entry(0, Status.READY), entry(1, Status.READY)));
        ask("q2");
        until(() -> ends.size() == 2);
        assertThat(ends).containsExactly("answered", "refused");
        assertThat(threads).containsOnly(Thread.currentThread());
    }

    /** Guards against a part sent to a reader that had drained while the connection to it was coming up. */
    @Test
    void partIsNotSentToAReaderThatDrainedBeforeItsConnectionCameUp() throws Exception {
        start(1, s -> { });
        ask("q");
        until(() -> held.heldCount() == 1);
        coordinator.updateReaders(ListKind.CHANGES, List.of(entry(0, Status.DRAINING)));
        held.release();
        assertSentOnceTheReaderIsReadyAgain();
    }

    /** Guards against a part sent to a reader that was gone from the list before the connection to it came up. */
    @Test
    void partIsNotSentToAReaderThatWentBeforeItsConnectionCameUp() throws Exception {
        start(2, s -> { });
        ask("q");
        until(() -> held.heldCount() == 1);
        coordinator.updateReaders(ListKind.WHOLE, List.of());
        held.release();
        until(() -> !ends.isEmpty());
        assertThat(ends).containsExactly("refused");
        assertThat(audit.attempts).isEmpty();
    }

    /** Guards against a part sent for a client that had left, where parts may not be cancelled. */
    @Test
    void partOfAClientThatLeftIsNotSentWhenItsConnectionComesUp() throws Exception {
        start(1, s -> ((ObjectNode) s.get("allowed")).put("mayCancel", false));
        long number = ask("q");
        until(() -> held.heldCount() == 1);
        coordinator.clientLeft(number);
        held.release();
        letAnotherThrough();
        assertThat(audit.attempts.keySet()).containsExactly("after.0");
        assertThat(coordinator.isIdle()).isTrue();
    }

    /** Guards against a part sent for a query that had been answered as failed, where parts may not be cancelled. */
    @Test
    void partOfAQueryThatEndedIsNotSentWhenItsConnectionComesUp() throws Exception {
        start(1, s -> ((ObjectNode) s.get("allowed")).put("mayCancel", false));
        askFor("q", SHORT_DEADLINE_US);
        until(() -> !ends.isEmpty());
        held.release();
        letAnotherThrough();
        assertThat(audit.attempts.keySet()).containsExactly("after.0");
    }

    /** Guards against a query that the kill found unanswered: open at SIGTERM, and its client would wait longer. */
    @Test
    void queryThatIsOpenAtTheShutdownEndsByItsTime() throws Exception {
        start(1, s -> { });
        ask("q");
        until(() -> held.heldCount() == 1);
        long endBy = turns.now() + SHORT_DEADLINE_US;
        coordinator.answerAllBy(endBy);
        until(() -> turns.now() >= endBy);
        assertThat(ends).containsExactly("failed");
        assertThat(turns.counters.get("queries.failed.shutdown")).isEqualTo(1);
    }

    /** Guards against a part sent for a client whose end was read in the same turn, behind what led to the part. */
    @Test
    void partOfAClientThatLeftInTheSameTurnIsNotSent() throws Exception {
        start(1, s -> { });
        held.release();
        letAnotherThrough();
        long number = ask("q");
        coordinator.clientLeft(number);
        turn();
        assertThat(audit.attempts.keySet()).containsExactly("after.0");
        ends.clear();
        letAnotherThrough();
        assertThat(audit.attempts.keySet()).containsExactly("after.0");
    }

    /** Guards against a part sent to a reader of which the same turn, later, reads that it drains. */
    @Test
    void partIsNotSentToAReaderThatDrainsInTheSameTurn() throws Exception {
        start(1, s -> { });
        held.release();
        letAnotherThrough();
        ends.clear();
        ask("q");
        coordinator.updateReaders(ListKind.CHANGES, List.of(entry(0, Status.DRAINING)));
        turn();
        assertSentOnceTheReaderIsReadyAgain();
    }

    /** Guards against a part sent at the end of a long turn, in which its query's time had ended. */
    @Test
    void partOfAQueryWhoseTimeEndedWithinTheTurnIsNotSent() throws Exception {
        start(1, s -> { });
        held.release();
        letAnotherThrough();
        ends.clear();
        askFor("q", SHORT_DEADLINE_US);
        awaitTime(turns.now() + SHORT_DEADLINE_US);
        turn();
        assertThat(ends).hasSize(1).doesNotContain("answered");
        letAnotherThrough();
        assertThat(audit.attempts.keySet()).containsExactly("after.0");
    }

    /** Guards against a part sent when its connection came up, before the same turn read that its client had left. */
    @Test
    void partOfAClientThatLeavesInTheTurnInWhichItsConnectionComesUpIsNotSent() throws Exception {
        start(1, s -> { });
        held.release();
        long number = ask("q");
        turns.timers.runDue(turns.now());
        for (int i = 0; i < TURNS_TO_CONNECT; i++) { // of the loop alone: nothing is swept
            turns.loop.runNow();
            Thread.sleep(1);
        }
        coordinator.clientLeft(number);
        letAnotherThrough();
        assertThat(audit.attempts.keySet()).containsExactly("after.0");
    }

    /** Guards against parts sent for a client whose end the event loop has not come to. */
    @Test
    void partsOfAClientThatIsFoundGoneAreNotSent() throws Exception {
        start(1, s -> { });
        held.release();
        letAnotherThrough();
        ask("q");
        presence = ClientPresence.LEFT;
        turn();
        presence = ClientPresence.CONNECTED;
        assertThat(coordinator.isIdle()).isTrue();
        assertThat(turns.counters.get("queries.left")).isEqualTo(1);
        letAnotherThrough();
        assertThat(audit.attempts.keySet()).containsExactly("after.0");
    }

    /** Guards against parts sent for a client whose end cannot be reached behind all that it sends. */
    @Test
    void partsOfAClientOfWhichNothingIsKnownAreNotSent() throws Exception {
        start(1, s -> { });
        held.release();
        letAnotherThrough();
        ask("q");
        presence = ClientPresence.UNKNOWN;
        turn();
        presence = ClientPresence.CONNECTED;
        assertThat(coordinator.isIdle()).isTrue();
        assertThat(ends).contains("refused");
        letAnotherThrough();
        assertThat(audit.attempts.keySet()).containsExactly("after.0");
    }

    /** Queries with long texts, of which the last is not written: the reader does not read. */
    private List<Long> fillTheSocketOf(StalledReader reader) throws Exception {
        start(0, s -> {
            ((ObjectNode) s.get("allowed")).put("maxOpen", 4 * LONG_QUERIES).put("multiplex", LONG_QUERIES);
            ((ObjectNode) s.get("rules")).put("cold", 1); // else it would be in slow start
        });
        held.release();
        coordinator.updateReaders(ListKind.WHOLE, List.of(reader.entry(Status.READY)));
        List<Long> numbers = new ArrayList<>(List.of(ask("short")));
        text = "e".repeat(LONG_TEXT_BYTES);
        for (int i = 0; i < LONG_QUERIES; i++) {
            numbers.add(ask("q" + i));
        }
        for (int i = 0; i < TURNS_TO_CONNECT; i++) {
            turn();
            Thread.sleep(1);
        }
        return numbers;
    }

    /** Guards against parts that waited in a full socket and were sent when their reader read again. */
    @Test
    void partsOfClientsThatLeftAreNotSentFromAFullSocket() throws Exception {
        try (StalledReader reader = new StalledReader()) {
            fillTheSocketOf(reader).forEach(coordinator::clientLeft);
            turn();
            reader.readFor(READ_MS, this::turn);
            assertThat(reader.parts()).contains("short.0").doesNotContain("q" + (LONG_QUERIES - 1) + ".0");
        }
    }

    /** Guards against a second attempt out where the word that gives the first one up waits behind a full socket. */
    @Test
    void attemptIsGivenUpByClosingWhereItsCancelWouldWait() throws Exception {
        try (StalledReader reader = new StalledReader()) {
            long written = fillTheSocketOf(reader).get(0);
            coordinator.clientLeft(written);
            assertThat(turns.counters.get("readers.connections.full")).isEqualTo(1);
        }
    }

    /** Guards against the same where the reader drains meanwhile. */
    @Test
    void partsAreNotSentFromAFullSocketToAReaderThatDrains() throws Exception {
        try (StalledReader reader = new StalledReader()) {
            fillTheSocketOf(reader);
            coordinator.updateReaders(ListKind.CHANGES, List.of(reader.entry(Status.DRAINING)));
            turn();
            reader.readFor(READ_MS, this::turn);
            assertThat(reader.parts()).contains("short.0").doesNotContain("q" + (LONG_QUERIES - 1) + ".0");
        }
    }

    /** Guards against a part sent to a reader of whose drain discovery had told while the turn went on. */
    @Test
    void partIsNotSentToAReaderWhoseDrainIsFoundWhenItIsHandedOver() throws Exception {
        start(1, s -> { });
        held.release();
        letAnotherThrough();
        ends.clear();
        coordinator.onBeforeSend(() -> coordinator.updateReaders(ListKind.CHANGES, List.of(entry(0, Status.DRAINING))));
        ask("q");
        turn();
        coordinator.onBeforeSend(() -> { });
        assertSentOnceTheReaderIsReadyAgain();
    }

    /** Guards against a part that goes to a reader in slow start on the turn of the process that ran there before. */
    @Test
    void partIsNotSentToAReaderThatRestartedBeforeItsConnectionCameUp() throws Exception {
        start(1, s -> { });
        ask("q");
        until(() -> held.heldCount() == 1);
        ReaderEntry before = entry(0, Status.READY);
        coordinator.updateReaders(ListKind.CHANGES, List.of(new ReaderEntry(before.id(), before.host(), before.port(),
                "", 0, Status.READY, 1, turns.now())));
        assertThat(turns.counters.get("attempts.moot")).isEqualTo(1);
    }

    /** Guards against answers that had come and were taken for a silence of their reader in a long turn. */
    @Test
    void answerThatHasComeIsReadBeforeItsReaderIsSilent() throws Exception {
        start(1, s -> {
            ((ObjectNode) s.get("allowed")).put("connectTimeout", 250_000);
            s.get("classes").forEach(c -> ((ObjectNode) c).put("deadline", 800_000));
        });
        held.release();
        letAnotherThrough();
        ends.clear();
        text = "hold";
        ask("q");
        until(() -> readers.get(0).heldCount() == 1);
        awaitTime(turns.now() + SILENCE_US);
        readers.get(0).releaseHeld();
        Thread.sleep(TURNS_TO_CONNECT);
        turns.timers.runDue(turns.now());
        assertThat(turns.counters.get("readers.connections.asked")).isZero();
        assertThat(ends).containsExactly("answered");
    }

    /** Of two decisions to send the part of q, one came to nothing. */
    private void assertSentOnceTheReaderIsReadyAgain() {
        coordinator.updateReaders(ListKind.CHANGES, List.of(entry(0, Status.READY)));
        until(() -> !ends.isEmpty());
        assertThat(ends).containsExactly("answered");
        assertThat(audit.attempts.get("q.0")).isEqualTo(1);
        assertThat(turns.counters.get("attempts.moot")).isEqualTo(1);
    }
}
