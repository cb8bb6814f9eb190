package burlford.lanes;

import java.util.concurrent.ConcurrentHashMap;

/** Limits the process to one probe in flight per reader. Thread-safe. */
public final class ProbeGate {

    private final ConcurrentHashMap<String, Object> inFlight = new ConcurrentHashMap<>();

    /**
     * Claims the probe to a reader for a lane. False if a probe is already in flight; the lane that sent it notifies
     * all lanes of its result.
     */
    public boolean claim(String reader, Object lane) {
        return inFlight.putIfAbsent(reader, lane) == null;
    }

    /** Ends a lane's claim after its probe has ended. */
    public void release(String reader, Object lane) {
        inFlight.remove(reader, lane);
    }

    /** Ends all claims of a lane that has ended or been fenced, since its probes will not be reported any more. */
    public void releaseAll(Object lane) {
        inFlight.values().removeIf(holder -> holder == lane);
    }
}
