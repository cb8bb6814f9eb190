package burlford.core;

import burlford.policy.Aggregator.Status;

/** An entry of the reader list. startedAt: when the reader started, wall-clock microseconds; 0: long ago. */
public record ReaderEntry(String id, String host, int port, String zone, int cell, Status status, double size,
        long startedAt) { }
