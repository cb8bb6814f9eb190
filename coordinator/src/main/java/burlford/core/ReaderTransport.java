package burlford.core;

/** What the coordinator asks of the readers' side. Results come back through the coordinator's calls. */
public interface ReaderTransport {

    /** Sends one part. The call ends by one report to the coordinator, unless it is given up first. */
    void send(Call call);

    /** Gives a call up: the reader is told, and nothing more is reported of it. */
    void cancel(Call call);

    /** Takes back a call of which nothing was written yet; false: it may be on its way. */
    boolean withdraw(Call call);

    /** Asks a reader for its load; ends by one report to the coordinator. */
    void probe(String reader);

    void closeIdle(String reader);

    /** The list changed: whom to reach where. */
    void updateReader(ReaderEntry entry);

    void removeReader(String reader);
}
