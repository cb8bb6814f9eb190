package burlford.core;

import burlford.policy.Aggregator.ListKind;
import java.util.List;

/** Whoever holds the list of readers: those who follow a source of it tell it here. One event loop calls it. */
public interface ReaderRegistry {

    /** The list, or what changed of it. */
    void updateReaders(ListKind kind, List<ReaderEntry> entries);

    /** The list as held now. */
    List<ReaderEntry> readers();

    /** Runs after each change of the list. */
    void onReadersUpdated(Runnable action);

    Site site();

    Counters counters();

    /** Microseconds on the coordinator's clock. */
    long now();
}
