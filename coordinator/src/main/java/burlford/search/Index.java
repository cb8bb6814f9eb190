package burlford.search;

import java.util.List;

/**
 * What an index of the operator's file stands for. tenantHeader, deadlineHeader: null where none is named.
 * deadlineMs: how long a client waits that says nothing of it, and the longest it may ask for.
 */
public record Index(String name, int queryClass, int tenant, String tenantHeader, boolean keyFromRouting,
        List<Integer> shards, long deadlineMs, String deadlineHeader) { }
