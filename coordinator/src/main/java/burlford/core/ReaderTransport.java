package burlford.core;

/** The outgoing side towards the readers. The results of calls and probes are reported to the {@link Coordinator}. */
public interface ReaderTransport {

    /** Sends a call. Its end is reported to the coordinator once, unless it is cancelled or withdrawn before. */
    void send(Call call);

    /** Cancels a call: the reader is notified, and nothing more is reported of the call. */
    void cancel(Call call);

    /** Withdraws a call that is not completely written yet; false where it is: the reader may get it. */
    boolean withdraw(Call call);

    /** Sends a probe, whose end is reported to the coordinator once. */
    void probe(String reader);

    /** Closes the idle connections to a reader. */
    void closeIdle(String reader);

    /** A reader's entry in the reader list is new or has changed. */
    void updateReader(ReaderEntry entry);

    /** A reader has left the reader list. */
    void removeReader(String reader);
}
