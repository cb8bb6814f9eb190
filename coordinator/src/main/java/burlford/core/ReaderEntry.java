package burlford.core;

import burlford.policy.Aggregator.Status;

/** A reader as the list names it. startedAt: microseconds of wall clock, 0 for long ago. */
public record ReaderEntry(String id, String host, int port, String zone, int cell, Status status, double size,
        long startedAt) { }
