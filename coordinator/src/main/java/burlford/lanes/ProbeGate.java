package burlford.lanes;

import java.util.concurrent.ConcurrentHashMap;

/** One probe out to one reader, whichever lane asks. Any lane may call. */
public final class ProbeGate {

    private final ConcurrentHashMap<String, Object> out = new ConcurrentHashMap<>();

    /** False: another lane's question is out, and what comes of it will be told to all. */
    public boolean claim(String reader, Object lane) {
        return out.putIfAbsent(reader, lane) == null;
    }

    public void release(String reader, Object lane) {
        out.remove(reader, lane);
    }

    /** A lane ended: what it asked is not answered any more. */
    public void releaseAll(Object lane) {
        out.values().removeIf(l -> l == lane);
    }
}
