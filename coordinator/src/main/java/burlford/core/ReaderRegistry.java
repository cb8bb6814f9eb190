package burlford.core;

import burlford.policy.Aggregator.ListKind;
import java.util.List;
import java.util.function.Consumer;

/** Holds the reader list, which the sources of the list update. One event loop calls it. */
public interface ReaderRegistry {

    /** Applies a reader list or changes of it. */
    void updateReaders(ListKind kind, List<ReaderEntry> entries);

    /** The current reader list. */
    List<ReaderEntry> readers();

    /** Sets the action that runs after each update of the reader list, with the kind of the update. */
    void onReadersUpdated(Consumer<ListKind> action);

    /** The settings in force. */
    Site site();

    Counters counters();

    /** Microseconds on the coordinator's clock. */
    long now();
}
