package burlford.core;

import burlford.policy.Dispatcher.Send;

/** An attempt of a part at a reader. All times are microseconds on the coordinator's clock. */
public final class Call {
    /** The call's id on the wire: the query's id, a dot and the shard. */
    public final String partId;
    public final int shard;
    public final Send send;
    /** The query's text, which each of its parts carries. */
    public final byte[] text;
    public final long sentAt;
    /** When the coordinator stops waiting for the answer. */
    public final long waitsUntil;
    /** Start time of the reader process that the call is meant for, as in the reader list. */
    final long readerStartedAt;
    Timers.Timer timeout;
    boolean ended;
    /** Its frame has been written, at least in part. */
    boolean writeStarted;
    /** Passed to the transport; before that the call waits for the end of the event-loop iteration. */
    boolean handedToTransport;

    Call(String partId, int shard, Send send, byte[] text, long sentAt, long waitsUntil,
            long readerStartedAt) {
        this.partId = partId;
        this.shard = shard;
        this.send = send;
        this.text = text;
        this.sentAt = sentAt;
        this.waitsUntil = waitsUntil;
        this.readerStartedAt = readerStartedAt;
    }
}
