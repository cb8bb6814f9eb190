package burlford.core;

import burlford.policy.Dispatcher.Send;

/** One attempt of a part on its way to a reader. deadline: when the coordinator stops waiting. */
public final class Call {
    public final String partId;
    public final int shard;
    public final Send send;
    public final byte[] text;
    public final long sentAt;
    public final long deadline;
    /** When the reader had started that it is meant for. */
    final long readerStartedAt;
    Timers.Timer timeout;
    boolean ended;
    /** The readers' side has it; before that it waits for the end of its turn. */
    boolean handedOver;

    Call(String partId, int shard, Send send, byte[] text, long sentAt, long deadline,
            long readerStartedAt) {
        this.partId = partId;
        this.shard = shard;
        this.send = send;
        this.text = text;
        this.sentAt = sentAt;
        this.deadline = deadline;
        this.readerStartedAt = readerStartedAt;
    }
}
